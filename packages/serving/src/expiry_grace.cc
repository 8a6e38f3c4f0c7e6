// Decides how long an upstream may be used after its row was deleted.
#include "bambooquay/serving/expiry_grace.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Upstreams whose rows expired register again within this time after the return
// of the store.
constexpr Duration kRegistrationTime = std::chrono::seconds(2);
// While the store is away, calls to it that do not wait follow each other at
// most this far apart. The store has returned by this time after the last one
// that failed, even if the failure was noticed later.
constexpr Duration kMaxReturnDelay = std::chrono::milliseconds(1500);

}  // namespace

void ExpiryGrace::RecordFailure(TimePoint call_started_at) {
  m_last_failed_call_at = call_started_at;
  m_responded_at.reset();
}

void ExpiryGrace::RecordResponse() {
  if (m_last_failed_call_at.has_value() && !m_responded_at.has_value()) {
    m_responded_at = m_clock.Now();
  }
}

Duration ExpiryGrace::Remaining() const {
  if (!m_last_failed_call_at.has_value()) {
    return Duration::zero();
  }
  const TimePoint now = m_clock.Now();
  const TimePoint returned_at = std::min(
      m_responded_at.value_or(now), *m_last_failed_call_at + kMaxReturnDelay);
  return std::max(Duration::zero(), returned_at + kRegistrationTime - now);
}

}  // namespace bambooquay
