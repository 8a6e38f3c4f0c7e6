// Predicts how long an engine takes for a call, from the work that it has.
#include "bambooquay/scheduling/work_prediction.h"

#include <algorithm>
#include <cmath>

namespace bambooquay {

std::optional<PredictedTimes> PredictTimes(const EngineWork& engine,
                                           const CallWork& call) noexcept {
  if (engine.prompt_tokens_per_ms <= 0.0) {
    return std::nullopt;
  }
  const auto reading_time = [&](double tokens) {
    return FromSeconds(tokens / engine.prompt_tokens_per_ms / 1000.0);
  };
  PredictedTimes times;
  times.pause_of_streams = reading_time(call.unread_prompt_tokens);
  // A prompt begins to be read with the engine's next step.
  times.first_event =
      reading_time(engine.unread_prompt_tokens + engine.waiting_prompt_tokens) +
      times.pause_of_streams + engine.event_interval / 2;
  // Prompts that are read without a gap delay the same event.
  times.longest_pause = engine.event_interval / 2 + times.first_event;
  times.end = times.first_event + engine.event_interval * call.events;
  return times;
}

PredictionError JudgePrediction(Duration predicted,
                                Duration measured) noexcept {
  constexpr double kQuarter = 0.25;
  const double ratio =
      ToSeconds(predicted) / std::max(ToSeconds(measured), 1e-9);
  if (std::abs(ratio - 1.0) <= kQuarter) {
    return PredictionError::kWithinQuarter;
  }
  return ratio >= 0.5 && ratio <= 2.0 ? PredictionError::kWithinDouble
                                      : PredictionError::kBeyond;
}

std::string_view ToString(PredictionError error) noexcept {
  switch (error) {
    case PredictionError::kWithinQuarter:
      return "quarter";
    case PredictionError::kWithinDouble:
      return "double";
    case PredictionError::kBeyond:
      break;
  }
  return "beyond";
}

}  // namespace bambooquay
