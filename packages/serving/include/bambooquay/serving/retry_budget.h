// Limits the retries of an entry, so that they cannot multiply the load of a
// service that is failing.
#pragma once

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Fleet-wide limits: in any window, the number of retries is at most `ratio`
/// times the number of requests, plus `slack` retries.
struct RetryLimits {
  double ratio = 0.2;
  double slack = 50.0;
  Duration window = std::chrono::seconds(10);
};

/// One entry's share of the retry budget of one service. It is a token bucket:
/// each request adds a share of the ratio, and the entry's share of the slack
/// is added over each window.
class RetryBudget {
 public:
  RetryBudget(const Clock& clock, const RetryLimits& limits) noexcept;

  /// @param entry_count  number of entries that share the budget.
  void SetEntryCount(std::size_t entry_count) noexcept;
  void SetLimits(const RetryLimits& limits) noexcept { m_limits = limits; }
  void CountRequest() noexcept;
  /// Takes one retry out of the budget.
  /// @returns whether the budget allows it.
  [[nodiscard]] bool TryAcquire() noexcept;
  /// @returns how many retries the budget allows now.
  [[nodiscard]] double RetriesLeft() noexcept;

 private:
  void Refill() noexcept;
  [[nodiscard]] double Capacity() const noexcept;

  const Clock& m_clock;
  RetryLimits m_limits;
  double m_entry_count = 4.0;
  double m_level;
  TimePoint m_refilled_at;
};

}  // namespace bambooquay
