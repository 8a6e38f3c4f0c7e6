// A model engine's report of its load and of the models it has loaded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/ids.h"

namespace bambooquay {

/// A model loaded on the engine, with its loaded adapters.
struct LoadedModel {
  ModelName name;
  std::vector<AdapterName> adapters;

  friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// A request that the engine has read and is responding to.
struct EngineRun {
  RequestId call;
  double tokens = 0.0;  ///< In the engine's memory.
  int events = 0;       ///< Sent so far.
  int priority = 0;     ///< 0 is the most urgent.

  friend bool operator==(const EngineRun&, const EngineRun&) = default;
};

/// The state of an engine, as reported by the engine.
struct EngineReport {
  /// Start time of the engine in Unix milliseconds; a restart changes it.
  std::int64_t started_at_ms = 0;
  std::uint64_t orders_accepted = 0;
  bool busy = false;  ///< Whether an order is in progress.
  bool draining = false;
  int running = 0;       ///< Requests being processed.
  int waiting = 0;       ///< Requests in the engine's queue.
  double kv_used = 0.0;  ///< KV cache in use, in the engine's own unit.
  /// KV cache in the same unit; 0 if the engine does not say.
  double kv_total = 0.0;
  /// Tokens of the first request in the queue, if the engine says so.
  std::optional<double> next_tokens;
  /// The requests that have begun. Not sent to entries.
  std::vector<EngineRun> runs;
  std::vector<LoadedModel> models;
  /// Adapters being transferred to the engine, as `model/adapter`.
  std::vector<std::string> incoming_adapters;
  /// Models whose weights are in the engine's host memory.
  std::vector<ModelName> in_host_memory;
  /// Models whose weights are on the engine's disk.
  std::vector<ModelName> on_disk;
};

/// @returns `model/adapter`, or just the model's name if `adapter` is empty.
[[nodiscard]] std::string AdapterKey(const ModelName& model,
                                     const AdapterName& adapter);

}  // namespace bambooquay
