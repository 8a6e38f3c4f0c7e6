// Limits the rate of requests that all entries together send to one upstream.
#include "bambooquay/serving/permit_bucket.h"

#include <algorithm>

namespace bambooquay {

PermitBucket::PermitBucket(const Clock& clock) noexcept
    : m_clock(clock), m_refilled_at(clock.Now()) {}

void PermitBucket::SetRate(CallsPerSecond rate, double max_unused) noexcept {
  Refill();
  m_rate = rate;
  m_max_unused = max_unused;
  m_available = std::min(m_available, m_max_unused);
}

double PermitBucket::AvailableAt(TimePoint now) const noexcept {
  return std::min(m_max_unused,
                  m_available + m_rate.value * ToSeconds(now - m_refilled_at));
}

void PermitBucket::Refill() noexcept {
  const TimePoint now = m_clock.Now();
  m_available = AvailableAt(now);
  m_refilled_at = now;
}

bool PermitBucket::IsAvailable() const noexcept {
  return m_rate.value <= 0.0 || AvailableAt(m_clock.Now()) >= 1.0;
}

void PermitBucket::Take() noexcept {
  if (m_rate.value > 0.0) {
    Refill();
    m_available -= 1.0;
  }
}

Duration PermitBucket::TimeUntilNext() const noexcept {
  const double missing = 1.0 - AvailableAt(m_clock.Now());
  return m_rate.value <= 0.0 || missing <= 0.0
             ? Duration::zero()
             : FromSeconds(missing / m_rate.value);
}

}  // namespace bambooquay
