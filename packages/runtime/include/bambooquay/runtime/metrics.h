// Counters, gauges and latency histograms in the Prometheus text format.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// The metrics of one process.
///
/// Metric names may include labels in Prometheus syntax. All names are prefixed
/// with `bambooquay_` in the output.
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

  /// Adds `amount` to a counter, which starts at 0.
  void Increment(const std::string& name, double amount = 1.0);
  /// Registers a gauge whose value is read by `read` on each Render().
  void RegisterGauge(const std::string& name, std::function<double()> read);
  /// Adds a duration to a histogram, whose unit is seconds.
  void Observe(const std::string& name, Duration duration);
  /// @returns the value of a counter, or 0 if it was never incremented.
  [[nodiscard]] double Counter(const std::string& name) const;
  /// @returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

 private:
  struct Histogram;

  std::map<std::string, double> m_counters;
  std::map<std::string, std::function<double()>> m_gauges;
  std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

/// Registers gauges for the numbers of log lines that were not written, because
/// of the rate limit or because the reader of the output stalled.
void RegisterLogGauges(Metrics& metrics);

}  // namespace bambooquay
