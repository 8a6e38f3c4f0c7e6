// The configuration that operators put in force: routes, services, models,
// organisations and the limits on callers, as the serving path uses them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"
#include "bambooquay/runtime/http_server.h"

namespace bambooquay {

/// What may be repeated.
enum class CallKind : std::uint8_t {
  kIdempotent,     ///< May run any number of times.
  kNonIdempotent,  ///< May run at most once.
  kStream,         ///< A series of events; repeatable only if resumable.
};

struct ServiceShare {
  ServiceName service;
  double weight = 1.0;
};

/// Sends the calls of one host below one path prefix to services.
struct ServingRoute {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  CallKind kind = CallKind::kNonIdempotent;
  Duration timeout{};         ///< Longest time to a complete reply.
  Duration target_latency{};  ///< To the first event or the whole reply.
  /// Longest pause between two events that is still on time.
  Duration max_pause{};
  int priority = 0;  ///< 0 is the most urgent.
  std::vector<ServiceShare> services;
  int max_attempts = 1;  ///< Upstreams that one call may be sent to.
  bool open = false;     ///< Needs no key.
  bool resumable = false;

  /// @returns whether a call may be sent again after it may have run.
  [[nodiscard]] bool repeatable() const noexcept {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStream && resumable);
  }
};

struct ServingModel {
  ModelName name;
  double weights_mb = 0.0;
  Duration load_time{};  ///< From the weight store.
  int adapters = 0;
  double adapter_mb = 0.0;
};

/// What the engines of a service can hold and do.
struct EngineProfile {
  int slots = 1;
  double kv_tokens = 0.0;
  double weights_mb = 0.0;
  int adapter_places = 0;
  double loads_per_second = 0.0;  ///< From the weight store, over all engines.
  std::vector<ServingModel> models;

  [[nodiscard]] const ServingModel* Find(const ModelName& model) const noexcept;
  /// @returns the size of the largest model; 0 without models.
  [[nodiscard]] double LargestModelMb() const noexcept;
  /// @returns the memory that adapters may take on one engine.
  [[nodiscard]] double AdapterReserveMb() const noexcept;
};

struct ServingService {
  ServiceName name;
  int max_connections = 0;       ///< Per upstream, over all callers.
  double cold_per_second = 0.0;  ///< Requests that a cold upstream bears.
  std::optional<EngineProfile> engine;
};

struct ServingOrganisation {
  OrganisationId name;
  std::vector<KeyDigest> keys;
  std::optional<int> priority;  ///< Replaces the route's.
  Tokens plain_cost;            ///< Of a call that states no token counts.
  TokensPerSecond rate;         ///< 0 means no limit.
  Tokens burst;
};

struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<ServingRoute> routes;
  std::vector<ServingService> services;
  std::vector<ServingOrganisation> organisations;
  HttpServerLimits caller_limits;
};

}  // namespace bambooquay
