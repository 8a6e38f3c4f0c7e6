// Measures how much is asked of each model.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/forwarded_call.h"

namespace bambooquay {

/// Exponentially weighted rates of requests and prompt tokens by model.
class DemandMeter final : public DemandSink {
 public:
  explicit DemandMeter(const Clock& clock) : m_clock(clock) {}

  void Count(const ServiceName& service, const ModelName& model,
             double prompt_tokens) override;
  /// @returns the current rates; models without demand are left out.
  [[nodiscard]] std::vector<ModelDemand> Rates();

 private:
  /// Each a second.
  struct Average {
    double requests = 0.0;
    double prompt_tokens = 0.0;
  };
  struct Rate {
    Average fast;
    Average slow;
    TimePoint updated_at{};

    void DecayTo(TimePoint now) noexcept;
    void Add(double tokens) noexcept;
  };

  const Clock& m_clock;
  std::map<std::pair<ServiceName, ModelName>, Rate> m_rates;
};

}  // namespace bambooquay
