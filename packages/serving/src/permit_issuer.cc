// Grants permits for requests to one upstream.
#include "bambooquay/serving/permit_issuer.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Time whose permits may stay unused for later under a call limit. Calls arrive
// unevenly, and without it part of a high limit would be lost.
constexpr Duration kMaxUnusedTime = std::chrono::milliseconds(250);

}  // namespace

bool PermitIssuer::TryIssue(const PermitBounds& bounds, double share) noexcept {
  if (bounds.call_limit.has_value()) {
    const CallsPerSecond rate{bounds.call_limit->value * share};
    m_limited.SetRate(rate, std::max(PermitBucket::kDefaultMaxUnused,
                                     rate.value * ToSeconds(kMaxUnusedTime)));
  }
  const bool is_available =
      (!bounds.is_cold || m_cold.IsAvailable()) &&
      (!bounds.call_limit.has_value() || m_limited.IsAvailable());
  if (is_available && bounds.is_cold) {
    m_cold.Take();
  }
  if (is_available && bounds.call_limit.has_value()) {
    m_limited.Take();
  }
  return is_available;
}

Duration PermitIssuer::TimeUntilNext(
    const PermitBounds& bounds) const noexcept {
  const Duration until_cold =
      bounds.is_cold ? m_cold.TimeUntilNext() : Duration::zero();
  const Duration until_limited = bounds.call_limit.has_value()
                                     ? m_limited.TimeUntilNext()
                                     : Duration::zero();
  return std::max(until_cold, until_limited);
}

}  // namespace bambooquay
