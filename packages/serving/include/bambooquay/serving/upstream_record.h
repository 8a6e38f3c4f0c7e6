// One upstream's entry in the fleet's list.
#pragma once

#include <cstdint>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_report.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

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

}  // namespace bambooquay
