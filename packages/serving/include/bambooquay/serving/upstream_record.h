// What is known of one upstream: its entry in the fleet's list, and what its
// engine reports of itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

struct ResidentModel {
  ModelName name;
  std::vector<AdapterName> adapters;

  friend bool operator==(const ResidentModel&, const ResidentModel&) = default;
};

/// One upstream in the fleet's list.
struct UpstreamRecord {
  UpstreamId id;
  ServiceName service;
  Endpoint address;
  DataCentreId data_centre;
  int slots = 1;
  bool draining = false;
  /// How long it stays cold, counted from when the record was read.
  Duration cold_remaining{};
  /// Start of this life of the upstream, Unix milliseconds.
  std::int64_t born_ms = 0;
  std::vector<ResidentModel> models;
};

/// What an engine says of itself.
struct EngineReport {
  std::int64_t born_ms = 0;
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

}  // namespace bambooquay
