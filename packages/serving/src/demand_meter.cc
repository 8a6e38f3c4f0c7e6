// Measures the demand for each model.
#include "bambooquay/serving/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace bambooquay {
namespace {

// Time constants of the two moving averages. Demand shifts between models
// within seconds. The larger average counts: the fast one follows a rise, and
// the slow one keeps the demand for a model up while its requests pause.
constexpr Duration kFastTimeConstant = std::chrono::milliseconds(1000);
constexpr Duration kSlowTimeConstant = std::chrono::milliseconds(3500);
// Models with fewer requests per second are left out.
constexpr double kMinReportedRate = 0.02;

}  // namespace

void DemandMeter::ModelRates::DecayTo(TimePoint now) noexcept {
  const double seconds = ToSeconds(now - updated_at);
  const double fast_factor = std::exp(-seconds / ToSeconds(kFastTimeConstant));
  const double slow_factor = std::exp(-seconds / ToSeconds(kSlowTimeConstant));
  fast.requests *= fast_factor;
  fast.prompt_tokens *= fast_factor;
  slow.requests *= slow_factor;
  slow.prompt_tokens *= slow_factor;
  updated_at = now;
}

void DemandMeter::ModelRates::Add(double tokens) noexcept {
  fast.requests += 1.0 / ToSeconds(kFastTimeConstant);
  fast.prompt_tokens += tokens / ToSeconds(kFastTimeConstant);
  slow.requests += 1.0 / ToSeconds(kSlowTimeConstant);
  slow.prompt_tokens += tokens / ToSeconds(kSlowTimeConstant);
}

void DemandMeter::Count(const ServiceName& service, const ModelName& model,
                        double prompt_tokens) {
  if (model.empty()) {
    return;
  }
  ModelRates& model_rates = m_rates[{service, model}];
  model_rates.DecayTo(m_clock.Now());
  model_rates.Add(prompt_tokens);
}

void DemandMeter::RecordReading(const ServiceName& service,
                                const ModelName& model, double unread_tokens,
                                Duration time) {
  if (m_measures_reading && !model.empty()) {
    m_reading_rates.try_emplace({service, model}, m_clock)
        .first->second.Record(unread_tokens, time);
  }
}

std::vector<ModelDemand> DemandMeter::Rates() {
  const TimePoint now = m_clock.Now();
  std::vector<ModelDemand> rates;
  for (auto& [key, model_rates] : m_rates) {
    model_rates.DecayTo(now);
    const double requests =
        std::max(model_rates.fast.requests, model_rates.slow.requests);
    if (requests >= kMinReportedRate) {
      const auto reading = m_reading_rates.find(key);
      rates.push_back({key.first, key.second, requests,
                       std::max(model_rates.fast.prompt_tokens,
                                model_rates.slow.prompt_tokens),
                       reading == m_reading_rates.end()
                           ? 0.0
                           : reading->second.TokensPerMs()});
    }
  }
  return rates;
}

}  // namespace bambooquay
