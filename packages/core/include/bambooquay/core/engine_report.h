// What a model engine holds and how busy it is, as it reports.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bambooquay/core/ids.h"

namespace bambooquay {

struct ResidentModel {
  ModelName name;
  std::vector<AdapterName> adapters;

  friend bool operator==(const ResidentModel&, const ResidentModel&) = default;
};

/// What an engine says of itself.
struct EngineReport {
  std::int64_t started_at_ms = 0;
  std::uint64_t orders_accepted = 0;
  bool busy = false;  ///< An order is under way.
  bool draining = false;
  int running = 0;
  int waiting = 0;
  double kv_used = 0.0;
  std::vector<ResidentModel> models;
  /// Adapters on their way to the engine, as `model/adapter`.
  std::vector<std::string> incoming;
  std::vector<ModelName> in_host_memory;
  std::vector<ModelName> on_disk;
};

/// @returns `model/adapter`, or the model's name without an adapter.
[[nodiscard]] std::string AdapterKey(const ModelName& model,
                                     const AdapterName& adapter);

}  // namespace bambooquay
