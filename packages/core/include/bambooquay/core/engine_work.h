// What a model engine works on and how fast it is, as estimated by the agent
// beside it.
#pragma once

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// An estimate of an engine's work. Sent to the entries with its reports.
struct EngineWork {
  /// Rate at which the engine reads prompts, in tokens per millisecond; 0 if it
  /// is not known yet.
  double prompt_tokens_per_ms = 0.0;
  /// Time between two events of a stream while no prompt is read; zero if it is
  /// not known yet.
  Duration event_interval{};
  /// Prompt tokens of accepted calls that the engine has not read yet.
  double unread_prompt_tokens = 0.0;
  /// Prompt tokens of the calls that wait for room on the engine.
  double waiting_prompt_tokens = 0.0;
  int streams = 0;  ///< Runs that have sent an event.
  /// Time that work takes, as a multiple of what it takes when the engine is at
  /// its best; 1 for an engine that has not slowed down.
  double slowness = 1.0;
  double memory_tokens = 0.0;  ///< Size of the KV cache; 0 if it is not known.

  friend bool operator==(const EngineWork&, const EngineWork&) = default;
};

}  // namespace bambooquay
