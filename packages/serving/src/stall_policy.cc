// Decides when a call leaves an upstream that has sent nothing for a while.
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
// Share of the caller's patience after which even a busy upstream is left. The
// rest is for the first event from the next one.
constexpr double kBusyPatienceShare = 0.5;
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

Duration StallPolicy::TimeUntilMove(const SilentAttempt& attempt) const {
  Duration limit = SuspectAfter(attempt.started);
  if (attempt.upstream_reported) {
    const Duration busy_limit = Multiply(
        std::min(CallerPatience(), m_limits.time_limit), kBusyPatienceShare);
    limit = std::max(limit, busy_limit);
  }
  return std::max(Duration::zero(), limit - attempt.silent_for);
}

}  // namespace bambooquay
