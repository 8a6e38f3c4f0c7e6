// What it costs callers to send a call to an engine, by predicted times.
#pragma once

#include <optional>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_work.h"
#include "bambooquay/scheduling/work_prediction.h"

namespace bambooquay {

/// What the caller of a call expects.
struct CallNeeds {
  /// Latency objective of the first event, less the time that has passed; zero
  /// without one.
  Duration first_event{};
  /// Longest pause between two events; zero without a bound.
  Duration max_pause{};
  /// Until the call is ended; zero without a limit.
  Duration time_limit{};
  /// Reading rate of the service's usual engine; 0 if it is not known.
  double usual_tokens_per_ms = 0.0;
};

/// The predicted cost of a call on one engine.
struct PredictedCost {
  PredictedTimes times;
  double ms = 0.0;  ///< Expected delay of all callers, in milliseconds.
};

/// Weighs a call's own delay against what reading its prompt does to the
/// streams on the engine, so that long prompts go where few streams are, and
/// streams where few prompts are to be read.
/// @returns nothing if the engine's rate is not known.
[[nodiscard]] std::optional<PredictedCost> PredictCost(
    const EngineWork& engine, const CallWork& call,
    const CallNeeds& needs) noexcept;

}  // namespace bambooquay
