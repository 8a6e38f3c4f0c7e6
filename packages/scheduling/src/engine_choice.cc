// What it costs callers to send a call to an engine, by predicted times.
#include "bambooquay/scheduling/engine_choice.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Share of the time for which a prompt is read that counts for each stream that
// it delays. Small, as most pauses are within what callers allow.
constexpr double kPausedStreamShare = 0.02;
// The same for each stream whose pause becomes longer than that.
constexpr double kLateStreamShare = 0.2;
// Share of the time in which a usual engine reads the call's prompt that counts
// for the calls after it. Keeps calls where their prompts are kept, whatever
// the speed of the engine.
constexpr double kReadingShare = 1.5;
// Share of the time from a call's first event to its end that counts. A call
// that ends sooner leaves room sooner.
constexpr double kRunTimeShare = 0.1;
// Factor on the time by which the first event is after its objective.
constexpr double kLateFactor = 2.0;
// Cost of a call that would end after its time limit: it is of no use there.
constexpr double kTimeLimitMs = 5000.0;

double ToMs(Duration duration) { return ToSeconds(duration) * 1000.0; }

}  // namespace

std::optional<PredictedCost> PredictCost(const EngineWork& engine,
                                         const CallWork& call,
                                         const CallNeeds& needs) noexcept {
  const auto times = PredictTimes(engine, call);
  if (!times.has_value()) {
    return std::nullopt;
  }
  PredictedCost cost{.times = *times};
  cost.ms = ToMs(times->first_event) +
            kRunTimeShare * ToMs(times->end - times->first_event);
  if (needs.usual_tokens_per_ms > 0.0) {
    cost.ms +=
        kReadingShare * call.unread_prompt_tokens / needs.usual_tokens_per_ms;
  }
  if (needs.first_event > Duration::zero() &&
      times->first_event > needs.first_event) {
    cost.ms += kLateFactor * ToMs(times->first_event - needs.first_event);
  }
  // Prompts that follow each other without a gap delay the same event.
  const Duration longest_pause = engine.event_interval + times->first_event;
  const bool are_late =
      needs.max_pause > Duration::zero() && longest_pause > needs.max_pause;
  cost.ms += engine.streams *
             (are_late ? kLateStreamShare : kPausedStreamShare) *
             ToMs(times->pause_of_streams);
  if (needs.time_limit > Duration::zero() && times->end > needs.time_limit) {
    cost.ms += kTimeLimitMs;
  }
  return cost;
}

}  // namespace bambooquay
