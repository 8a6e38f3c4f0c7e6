// Limits the number of requests that an upstream has in flight.
#include "bambooquay/core/concurrency_limit.h"

#include <algorithm>

namespace bambooquay {
namespace {

// A sample up to this multiple of the expected pace counts as warm.
constexpr double kWarmFactor = 1.6;
// A sample above this multiple of the expected pace counts as cold.
constexpr double kColdFactor = 2.5;
// Consecutive samples required before the limit changes.
constexpr std::uint32_t kSamplesToTurnCold = 3;
constexpr std::uint32_t kSamplesToTurnWarm = 3;

}  // namespace

void ConcurrencyLimit::RecordPace(Duration pace,
                                  std::uint32_t in_flight) noexcept {
  const double ratio = ToSeconds(pace) / ToSeconds(m_settings.expected_pace);
  if (ratio > kColdFactor) {
    m_warm_samples = 0;
    if (++m_cold_samples >= kSamplesToTurnCold) {
      m_limit = m_settings.cold;
    }
    return;
  }
  m_cold_samples = 0;
  if (ratio > kWarmFactor) {
    m_warm_samples = 0;
    return;
  }
  if (++m_warm_samples >= kSamplesToTurnWarm && in_flight * 2 >= m_limit) {
    m_limit = std::min(m_limit + 1, m_settings.warm);
  }
}

void ConcurrencyLimit::RecordFailure() noexcept {
  m_limit = m_settings.cold;
  m_warm_samples = 0;
  m_cold_samples = 0;
}

void ConcurrencyLimit::Configure(const ConcurrencySettings& settings) noexcept {
  m_settings = settings;
  m_limit = std::clamp(m_limit, settings.cold, settings.warm);
}

}  // namespace bambooquay
