// Predicts how long an engine takes for a call, from the work that it has.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_work.h"

namespace bambooquay {

/// What one call asks of an engine.
struct CallWork {
  /// Prompt tokens that the engine has to read: those that it has not kept.
  double unread_prompt_tokens = 0.0;
  int events = 0;  ///< Events of the response; 0 if it is not a stream.
};

/// Times from the moment at which the call reaches the engine.
struct PredictedTimes {
  Duration first_event{};
  Duration end{};
  /// The longest time between two events of a stream on the engine.
  Duration longest_pause{};
  /// How long reading the call's prompt delays the next event of each stream
  /// on the engine.
  Duration pause_of_streams{};
};

/// @returns when an engine would respond to a call, or nothing if the engine's
///   rate is not known. Prompts are read in the order of their arrival, each
///   at the engine's whole rate; streams go on meanwhile.
[[nodiscard]] std::optional<PredictedTimes> PredictTimes(
    const EngineWork& engine, const CallWork& call) noexcept;

/// How far a prediction was off.
enum class PredictionError : std::uint8_t {
  kWithinQuarter,  ///< By at most a quarter of what was measured.
  kWithinDouble,   ///< Between half and twice of what was measured.
  kBeyond,
};

[[nodiscard]] PredictionError JudgePrediction(Duration predicted,
                                              Duration measured) noexcept;
/// @returns the error as the value of a label.
[[nodiscard]] std::string_view ToString(PredictionError error) noexcept;

}  // namespace bambooquay
