// Measures how much is asked of each model.
#include "bambooquay/serving/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace bambooquay {
namespace {

// Demand moves from model to model within some seconds. The larger of two
// rates counts: the fast one notices a rise, the slow one keeps a model whose
// demand pauses.
constexpr Duration kFastTime = std::chrono::milliseconds(1000);
constexpr Duration kSlowTime = std::chrono::milliseconds(3500);
// Rates below this are not worth telling.
constexpr double kLeastRate = 0.02;

}  // namespace

void DemandMeter::Rate::DecayTo(TimePoint now) noexcept {
  const double seconds = ToSeconds(now - updated_at);
  const double fast_factor = std::exp(-seconds / ToSeconds(kFastTime));
  const double slow_factor = std::exp(-seconds / ToSeconds(kSlowTime));
  fast.requests *= fast_factor;
  fast.prompt_tokens *= fast_factor;
  slow.requests *= slow_factor;
  slow.prompt_tokens *= slow_factor;
  updated_at = now;
}

void DemandMeter::Rate::Add(double tokens) noexcept {
  fast.requests += 1.0 / ToSeconds(kFastTime);
  fast.prompt_tokens += tokens / ToSeconds(kFastTime);
  slow.requests += 1.0 / ToSeconds(kSlowTime);
  slow.prompt_tokens += tokens / ToSeconds(kSlowTime);
}

void DemandMeter::Count(const ServiceName& service, const ModelName& model,
                        double prompt_tokens) {
  if (model.empty()) {
    return;
  }
  Rate& rate = m_rates[{service, model}];
  rate.DecayTo(m_clock.Now());
  rate.Add(prompt_tokens);
}

std::vector<ModelDemand> DemandMeter::Rates() {
  const TimePoint now = m_clock.Now();
  std::vector<ModelDemand> rates;
  for (auto& [key, rate] : m_rates) {
    rate.DecayTo(now);
    const double requests = std::max(rate.fast.requests, rate.slow.requests);
    if (requests >= kLeastRate) {
      rates.push_back(
          {key.first, key.second, requests,
           std::max(rate.fast.prompt_tokens, rate.slow.prompt_tokens)});
    }
  }
  return rates;
}

}  // namespace bambooquay
