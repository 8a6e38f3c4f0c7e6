// Measures how much is asked of each model.
#include "bambooquay/serving/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace bambooquay {
namespace {

// Demand moves from model to model within some seconds.
constexpr Duration kTimeConstant = std::chrono::milliseconds(2500);
// Rates below this are not worth telling.
constexpr double kLeastRate = 0.02;

}  // namespace

void DemandMeter::Rate::DecayTo(TimePoint now) noexcept {
  const double factor =
      std::exp(-ToSeconds(now - updated_at) / ToSeconds(kTimeConstant));
  requests *= factor;
  prompt_tokens *= factor;
  updated_at = now;
}

void DemandMeter::Count(const ServiceName& service, const ModelName& model,
                        double prompt_tokens) {
  if (model.empty()) {
    return;
  }
  Rate& rate = m_rates[{service, model}];
  rate.DecayTo(m_clock.Now());
  rate.requests += 1.0 / ToSeconds(kTimeConstant);
  rate.prompt_tokens += prompt_tokens / ToSeconds(kTimeConstant);
}

std::vector<ModelDemand> DemandMeter::Rates() {
  const TimePoint now = m_clock.Now();
  std::vector<ModelDemand> rates;
  for (auto& [key, rate] : m_rates) {
    rate.DecayTo(now);
    if (rate.requests >= kLeastRate) {
      rates.push_back(
          {key.first, key.second, rate.requests, rate.prompt_tokens});
    }
  }
  return rates;
}

}  // namespace bambooquay
