// Paces the requests that a cold engine gets from all entries together.
#include "bambooquay/serving/cold_permits.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Permits that may be unused at a time: more would only help after a pause,
// and exceed the bound together with the entries' own parts.
constexpr double kMostPermits = 2.0;

}  // namespace

ColdPermits::ColdPermits(const Clock& clock) noexcept
    : m_clock(clock), m_filled_at(clock.Now()) {}

double ColdPermits::LevelAt(TimePoint now) const noexcept {
  return std::min(kMostPermits,
                  m_level + m_rate * ToSeconds(now - m_filled_at));
}

bool ColdPermits::TryTake() noexcept {
  if (m_rate <= 0.0) {
    return true;
  }
  const TimePoint now = m_clock.Now();
  m_level = LevelAt(now);
  m_filled_at = now;
  if (m_level < 1.0) {
    return false;
  }
  m_level -= 1.0;
  return true;
}

Duration ColdPermits::TimeUntilNext() const noexcept {
  const double missing = 1.0 - LevelAt(m_clock.Now());
  return m_rate <= 0.0 || missing <= 0.0 ? Duration::zero()
                                         : FromSeconds(missing / m_rate);
}

}  // namespace bambooquay
