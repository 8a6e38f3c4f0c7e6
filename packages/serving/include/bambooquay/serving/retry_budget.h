// Limits how many attempts beyond the first one an entry makes, so that
// retries cannot multiply the load of a service that is in trouble.
#pragma once

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Fleet-wide limits: in any window, attempts beyond the first of each request
/// stay below `ratio` of the requests plus `slack`.
struct RetryLimits {
  double ratio = 0.2;
  double slack = 50.0;
  Duration window = std::chrono::seconds(10);
};

/// One entry's part of the budget of one service: a bucket that each request
/// fills by a part of the ratio, and time by an equal part of the slack.
class RetryBudget {
 public:
  RetryBudget(const Clock& clock, const RetryLimits& limits) noexcept;

  /// @param entries  how many entries share the budget.
  void SetEntryCount(std::size_t entries) noexcept;
  void SetLimits(const RetryLimits& limits) noexcept { m_limits = limits; }
  void CountRequest() noexcept;
  /// Takes one attempt out of the budget.
  [[nodiscard]] bool TryRetry() noexcept;

 private:
  void Refill() noexcept;
  [[nodiscard]] double Capacity() const noexcept;

  const Clock& m_clock;
  RetryLimits m_limits;
  double m_entries = 4.0;
  double m_level;
  TimePoint m_refilled_at;
};

}  // namespace bambooquay
