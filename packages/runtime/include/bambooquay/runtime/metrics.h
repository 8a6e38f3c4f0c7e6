// Counters, gauges and latency histograms, printed in the
// Prometheus text format.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// All metrics of one process.
///
/// @code
/// metrics.Increment(R"(requests_total{code="200"})");
/// metrics.Observe("entry_seconds", elapsed);
/// @endcode
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// Adds `amount` to a counter. The name may carry Prometheus labels.
  void Increment(const std::string& name, double amount = 1.0);
  /// Registers a gauge that is read when the page is printed.
  void SetGauge(const std::string& name, std::function<double()> read);
  /// Adds a duration to a histogram. The name may carry Prometheus labels.
  void Observe(const std::string& name, Duration duration);
  /// @returns a counter's value, 0 if it was never incremented.
  [[nodiscard]] double Counter(const std::string& name) const;
  /// @returns the page in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

 private:
  struct Histogram;

  std::map<std::string, double> m_counters;
  std::map<std::string, std::function<double()>> m_gauges;
  std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

/// Adds gauges of the log lines that were left out or lost.
void RegisterLogGauges(Metrics& metrics);

}  // namespace bambooquay
