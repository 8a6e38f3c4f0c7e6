// Limits the retries of an entry, so that they cannot multiply the load of a
// service that is failing.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/random.h"

namespace bambooquay {

/// Fleet-wide limits: in any window, the number of retries that reach upstreams
/// is at most `ratio` times the number of requests, plus `slack` retries.
struct RetryLimits {
  double ratio = 0.2;
  double slack = 50.0;
  Duration window = std::chrono::seconds(10);
};

/// One entry's part of the retry budget of one service: a share of the ratio
/// for each request of the last window, and an equal part of the slack. Load it
/// answers: upstreams that fail or stall every call, while entries start again
/// and again.
///
/// Invariants:
/// - The parts of all entries add up to less than the fleet-wide limits. A part
///   that is not a whole number is rounded at random: if all entries rounded
///   up, many of them would exceed the limits together.
/// - A part of the slack builds up over a window, once the entry has had time
/// to
///   hear of the others. So entries that start again and again use it at most
///   twice in a window.
/// - A retry that leaves a silent upstream counts until a window after that
///   upstream has responded, as the abandoned attempt may arrive until then.
class RetryBudget {
 public:
  /// @param running_since  when this entry started.
  RetryBudget(const Clock& clock, RandomSource& random,
              const RetryLimits& limits, TimePoint running_since);

  /// @param entry_count  number of entries that may send retries, including
  ///   silent and leaving ones.
  void SetEntryCount(std::size_t entry_count) noexcept;
  void SetLimits(const RetryLimits& limits) noexcept { m_limits = limits; }
  void CountRequest();
  /// Takes one retry out of the budget.
  /// @returns whether the budget allows it.
  [[nodiscard]] bool TryAcquire();
  /// The same for a retry that leaves an upstream that has not responded, which
  /// may get the abandoned attempt at any time until it responds again.
  [[nodiscard]] bool TryAcquireFromSilent(const UpstreamId& upstream);
  /// Records that an upstream has begun to respond to a call.
  void RecordResponse(const UpstreamId& upstream);
  /// @returns how many retries the budget allows now.
  [[nodiscard]] int RetriesLeft();

 private:
  /// Requests that came within a short time.
  struct RequestCount {
    TimePoint begin;
    int count = 0;
  };
  /// Retries that count until an upstream responds.
  struct HeldRetries {
    int count = 0;
    TimePoint last_acquired_at;
  };

  void RemoveExpired(TimePoint now);
  [[nodiscard]] int MaxRetries(TimePoint now);

  const Clock& m_clock;
  RandomSource& m_random;
  RetryLimits m_limits;
  TimePoint m_running_since;
  double m_entry_count = 1.0;
  /// Oldest first.
  std::deque<RequestCount> m_requests;
  /// When each retry of the last window was sent, or can have arrived last;
  /// oldest first.
  std::deque<TimePoint> m_retries;
  std::unordered_map<UpstreamId, HeldRetries> m_held_retries;
  /// Added to the number of retries before it is rounded down; drawn anew for
  /// each window.
  double m_rounding = 0.0;
  TimePoint m_rounding_since;
};

}  // namespace bambooquay
