// Measures the demand for each model.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/scheduling/reading_rate.h"
#include "bambooquay/serving/forwarded_call.h"

namespace bambooquay {

/// Exponentially weighted moving averages of the requests and prompt tokens per
/// second of each model.
class DemandMeter final : public DemandSink {
 public:
  explicit DemandMeter(const Clock& clock) : m_clock(clock) {}

  void Count(const ServiceName& service, const ModelName& model,
             double prompt_tokens) override;
  void RecordReading(const ServiceName& service, const ModelName& model,
                     double unread_tokens, Duration time) override;
  /// Sets whether rates include how fast engines read prompts.
  void SetMeasuresReading(bool measures) noexcept {
    m_measures_reading = measures;
  }
  /// @returns the current rates, without models that have almost no demand.
  [[nodiscard]] std::vector<ModelDemand> Rates();

 private:
  /// Per second.
  struct AverageRates {
    double requests = 0.0;
    double prompt_tokens = 0.0;
  };
  struct ModelRates {
    AverageRates fast;
    AverageRates slow;
    TimePoint updated_at{};

    void DecayTo(TimePoint now) noexcept;
    void Add(double tokens) noexcept;
  };

  const Clock& m_clock;
  std::map<std::pair<ServiceName, ModelName>, ModelRates> m_rates;
  std::map<std::pair<ServiceName, ModelName>, ReadingRate> m_reading_rates;
  bool m_measures_reading = false;
};

}  // namespace bambooquay
