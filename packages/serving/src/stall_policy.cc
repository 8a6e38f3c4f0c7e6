// Decides when a call leaves an upstream that has sent nothing for a while, and
// when it is ended instead.
#include "bambooquay/serving/stall_policy.h"

#include <algorithm>

namespace bambooquay {
namespace {

// A silent upstream is suspected after this multiple of the latency objective,
// or after this share of the time limit if that is less.
constexpr double kSuspectObjectiveMultiple = 2.0;
constexpr double kSuspectLimitShare = 0.4;
// Between events, the multiple of the longest pause that meets the objective.
constexpr double kSuspectPauseMultiple = 2.0;
// Silence after which an upstream without a sign of life is left, if it is not
// suspected before.
constexpr Duration kMaxLostWait = std::chrono::seconds(1);
// Share of the caller's patience after which even a busy upstream is left, and
// a call without a working upstream is ended. The rest is for the first event
// from the next one.
constexpr double kPatienceShare = 0.5;
// Callers abandon a stream after the longest of this time and these multiples
// of the latency objective and of the longest pause.
constexpr Duration kMinCallerPatience = std::chrono::seconds(2);
constexpr double kPatienceObjectiveMultiple = 4.0;
constexpr double kPatiencePauseMultiple = 8.0;

Duration Multiply(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

Duration StallPolicy::CallerPatience() const {
  return std::max(
      {kMinCallerPatience,
       Multiply(m_limits.target_latency, kPatienceObjectiveMultiple),
       Multiply(m_limits.max_pause, kPatiencePauseMultiple)});
}

Duration StallPolicy::SuspectAfter(bool started) const {
  if (started && m_limits.max_pause > Duration::zero()) {
    return Multiply(m_limits.max_pause, kSuspectPauseMultiple);
  }
  return std::min(Multiply(m_limits.target_latency, kSuspectObjectiveMultiple),
                  Multiply(m_limits.time_limit, kSuspectLimitShare));
}

Duration StallPolicy::MaxCallerWait() const {
  return Multiply(std::min(CallerPatience(), m_limits.time_limit),
                  kPatienceShare);
}

Duration StallPolicy::TimeUntilMove(const SilentAttempt& attempt) const {
  Duration limit = SuspectAfter(attempt.started);
  if (attempt.upstream == SignOfLife::kRecent) {
    limit = std::max(limit, MaxCallerWait());
  } else if (attempt.upstream == SignOfLife::kNone) {
    limit = std::min(limit, kMaxLostWait);
  }
  return std::max(Duration::zero(), limit - attempt.silent_for);
}

bool StallPolicy::ShouldGiveUp(const SilentAttempt& attempt) const {
  return attempt.upstream == SignOfLife::kNone &&
         TimeUntilMove(attempt) == Duration::zero() &&
         attempt.caller_waits_for >= MaxCallerWait();
}

}  // namespace bambooquay
