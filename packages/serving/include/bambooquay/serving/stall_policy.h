// Decides when a call leaves an upstream that has sent nothing for a while, and
// when it is ended instead.
#pragma once

#include <cstdint>

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

/// What an upstream has shown of itself lately, in reports of its agent or in
/// responses to any call of this entry.
enum class SignOfLife : std::uint8_t {
  kRecent,   ///< It is working, perhaps slowly.
  kUnknown,  ///< It has no agent, or none that has reported yet.
  kNone,     ///< Its reports have stopped, and so have all of its responses.
};

/// What is known about an attempt that is silent.
struct SilentAttempt {
  /// Time since its last event, or since it was sent.
  Duration silent_for{};
  /// Time since the caller got its last event, or sent the request; also
  /// counts earlier attempts.
  Duration caller_waits_for{};
  /// Whether it has sent an event.
  bool started = false;
  SignOfLife upstream = SignOfLife::kUnknown;
};

/// For engines under load. They pause all streams while they process long
/// prompts, so silence alone is no reason to leave one: at another upstream the
/// prompt would be processed again, which adds to the load. A call leaves early
/// only if its upstream gives no other sign of life, and otherwise before its
/// caller would give up.
///
/// Also for machines that stand still: a call that nothing else can take is
/// ended while its caller still has the time to come back.
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
  /// @returns whether a call that should move and cannot is ended.
  [[nodiscard]] bool ShouldGiveUp(const SilentAttempt& attempt) const;
  /// @returns the silence after which callers abandon a stream.
  [[nodiscard]] Duration CallerPatience() const;
  /// @returns the silence towards a caller after which its call is ended if no
  ///   upstream is at work on it. The rest of the caller's patience is for a
  ///   new request of its own, which has all attempts and upstreams before it.
  [[nodiscard]] Duration MaxCallerWait() const;

 private:
  /// Silence after which an upstream that may be lost is left.
  [[nodiscard]] Duration SuspectAfter(bool started) const;

  StallLimits m_limits;
};

}  // namespace bambooquay
