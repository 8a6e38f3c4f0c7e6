// An upstream as listed in the store.
#pragma once

#include <cstdint>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_report.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

/// An upstream as listed in the store.
struct UpstreamRecord {
  UpstreamId id;
  ServiceName service;
  /// Empty if it names none.
  SoftwareVersion software_version;
  Endpoint address;
  DataCentreId data_centre;
  int slots = 1;
  bool draining = false;
  /// How long it stays cold, counted from when the record was read.
  Duration cold_remaining{};
  /// Start of this incarnation of the upstream, Unix milliseconds.
  std::int64_t started_at_ms = 0;
  std::vector<LoadedModel> models;
};

}  // namespace bambooquay
