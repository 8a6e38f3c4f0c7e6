// The rate at which engines read prompts of a model, and what it means for the
// share of the engines that the model needs.
#include "bambooquay/scheduling/reading_rate.h"

#include <algorithm>

namespace bambooquay {
namespace {

// The first event of a call with a shorter prompt comes from other delays as
// much as from reading.
constexpr double kMinTokens = 2000.0;
// Number of samples, and time for which they count: engines change their speed
// and their load within some tens of seconds.
constexpr std::size_t kMaxSamples = 24;
constexpr std::size_t kMinSamples = 3;
constexpr Duration kMaxAge = std::chrono::seconds(40);
// Most calls wait until the prompts before theirs are read. The faster quarter
// hardly does.
constexpr double kQuantile = 0.75;
// A factor beyond these is more likely an error of the estimate.
constexpr double kMinFactor = 0.2;
constexpr double kMaxFactor = 1.5;

}  // namespace

void ReadingRate::Record(double unread_tokens, Duration time) {
  if (unread_tokens < kMinTokens || time <= Duration::zero()) {
    return;
  }
  m_samples.push_back(
      {m_clock->Now(), unread_tokens / (ToSeconds(time) * 1000.0)});
  if (m_samples.size() > kMaxSamples) {
    m_samples.pop_front();
  }
}

double ReadingRate::TokensPerMs() const {
  const TimePoint oldest = m_clock->Now() - kMaxAge;
  std::vector<double> rates;
  for (const Sample& sample : m_samples) {
    if (sample.at >= oldest) {
      rates.push_back(sample.tokens_per_ms);
    }
  }
  if (rates.size() < kMinSamples) {
    return 0.0;
  }
  const auto position =
      static_cast<std::size_t>(static_cast<double>(rates.size()) * kQuantile);
  const auto quantile = rates.begin() + static_cast<std::ptrdiff_t>(position);
  std::ranges::nth_element(rates, quantile);
  return *quantile;
}

WorkFactors FindWorkFactors(const std::vector<ReadingRateReport>& reports) {
  struct Sum {
    double rate = 0.0;
    double weight = 0.0;
  };
  std::map<ModelName, Sum> sums;
  for (const ReadingRateReport& report : reports) {
    if (report.tokens_per_ms > 0.0 && report.weight > 0.0) {
      Sum& sum = sums[report.model];
      sum.rate += report.tokens_per_ms * report.weight;
      sum.weight += report.weight;
    }
  }
  if (sums.empty()) {
    return {};
  }
  std::vector<double> rates;
  std::ranges::transform(sums, std::back_inserter(rates), [](const auto& item) {
    return item.second.rate / item.second.weight;
  });
  const auto median =
      rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
  std::ranges::nth_element(rates, median);
  WorkFactors factors;
  for (const auto& [model, sum] : sums) {
    factors[model] =
        std::clamp(*median / (sum.rate / sum.weight), kMinFactor, kMaxFactor);
  }
  return factors;
}

}  // namespace bambooquay
