// Limits the rate of requests that all entries together send to a cold engine.
#include "bambooquay/serving/cold_permits.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Upper limit on unused permits. A higher one would help only after a pause
// and, together with the requests that entries send without a permit, would
// exceed the rate that a cold engine can take.
constexpr double kMaxUnusedPermits = 2.0;

}  // namespace

ColdPermits::ColdPermits(const Clock& clock) noexcept
    : m_clock(clock), m_refilled_at(clock.Now()) {}

double ColdPermits::AvailableAt(TimePoint now) const noexcept {
  return std::min(kMaxUnusedPermits,
                  m_available + m_rate * ToSeconds(now - m_refilled_at));
}

bool ColdPermits::TryAcquire() noexcept {
  if (m_rate <= 0.0) {
    return true;
  }
  const TimePoint now = m_clock.Now();
  m_available = AvailableAt(now);
  m_refilled_at = now;
  if (m_available < 1.0) {
    return false;
  }
  m_available -= 1.0;
  return true;
}

Duration ColdPermits::TimeUntilNext() const noexcept {
  const double missing = 1.0 - AvailableAt(m_clock.Now());
  return m_rate <= 0.0 || missing <= 0.0 ? Duration::zero()
                                         : FromSeconds(missing / m_rate);
}

}  // namespace bambooquay
