// Decides when a call leaves an upstream that has sent nothing for a while.
#pragma once

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// The times of a route that bound how long its calls may be silent.
struct StallLimits {
  /// Latency objective to the first event, or to the complete response.
  Duration target_latency{};
  /// Longest pause between two events that meets the objective; 0 if the route
  /// has none.
  Duration max_pause{};
  /// Longest time until the response is complete.
  Duration time_limit{};
};

/// What is known about an attempt that is silent.
struct SilentAttempt {
  /// Time since its last event, or since it was sent.
  Duration silent_for{};
  /// Whether it has sent an event.
  bool started = false;
  /// Whether the upstream's agent has reported since the last event. The
  /// upstream is then more likely to be busy than lost.
  bool upstream_reported = false;
};

/// For engines under load. They pause all streams while they process long
/// prompts, so silence alone is no reason to leave one: at another upstream the
/// prompt would be processed again, which adds to the load. A call leaves early
/// only if its upstream gives no other sign of life, and otherwise before its
/// caller would give up.
///
/// @code
/// const StallPolicy policy({route.target_latency, route.max_pause, limit});
/// if (policy.TimeUntilMove(attempt) == Duration::zero()) {
///   // Continue at another upstream, if one is free.
/// }
/// @endcode
class StallPolicy {
 public:
  explicit StallPolicy(const StallLimits& limits) noexcept : m_limits(limits) {}

  /// @returns how much longer to wait before the call should move to another
  ///   upstream; zero if it should move now.
  [[nodiscard]] Duration TimeUntilMove(const SilentAttempt& attempt) const;
  /// @returns the silence after which callers abandon a stream.
  [[nodiscard]] Duration CallerPatience() const;

 private:
  /// Silence after which an upstream without another sign of life is left.
  [[nodiscard]] Duration SuspectAfter(bool started) const;

  StallLimits m_limits;
};

}  // namespace bambooquay
