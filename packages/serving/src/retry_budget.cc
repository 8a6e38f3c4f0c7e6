// Limits the retries of an entry.
#include "bambooquay/serving/retry_budget.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Shares of the fleet-wide limits that all entries together may use. The rest
// is a reserve for uneven load and for restarted entries, whose buckets start
// full.
constexpr double kUsableRatioShare = 0.75;
constexpr double kUsableSlackShare = 0.3;

}  // namespace

RetryBudget::RetryBudget(const Clock& clock, const RetryLimits& limits) noexcept
    : m_clock(clock), m_limits(limits), m_refilled_at(clock.Now()) {
  m_level = Capacity();
}

double RetryBudget::Capacity() const noexcept {
  return std::max(1.0, m_limits.slack * kUsableSlackShare / m_entry_count);
}

void RetryBudget::SetEntryCount(std::size_t entry_count) noexcept {
  m_entry_count = std::max(1.0, static_cast<double>(entry_count));
}

void RetryBudget::Refill() noexcept {
  const TimePoint now = m_clock.Now();
  m_level +=
      Capacity() * ToSeconds(now - m_refilled_at) / ToSeconds(m_limits.window);
  m_refilled_at = now;
  m_level = std::min(m_level, Capacity());
}

void RetryBudget::CountRequest() noexcept {
  Refill();
  m_level = std::min(m_level + m_limits.ratio * kUsableRatioShare, Capacity());
}

bool RetryBudget::TryAcquire() noexcept {
  Refill();
  if (m_level < 1.0) {
    return false;
  }
  m_level -= 1.0;
  return true;
}

double RetryBudget::RetriesLeft() noexcept {
  Refill();
  return m_level;
}

}  // namespace bambooquay
