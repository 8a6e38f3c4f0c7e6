// The configuration that operators write: routes, services, models,
// organisations and the limits on callers' connections, as the serving path
// uses them.
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

/// Whether calls of a route may be repeated.
enum class CallKind : std::uint8_t {
  kIdempotent,     ///< May run any number of times.
  kNonIdempotent,  ///< May run at most once.
  kStream,         ///< A stream of events; repeatable only if resumable.
};

/// A service and its share of a route's calls.
struct ServiceShare {
  ServiceName service;
  double weight = 1.0;
};

/// Maps the calls to one host below one path prefix to services.
struct ServingRoute {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  CallKind kind = CallKind::kNonIdempotent;
  Duration timeout{};  ///< Longest time until the response is complete.
  /// Latency objective, to the first event or to the complete response.
  Duration target_latency{};
  /// Longest pause between two events that meets the objective.
  Duration max_pause{};
  int priority = 0;  ///< 0 is the most urgent.
  std::vector<ServiceShare> services;
  int max_attempts = 1;      ///< Upstreams that one call may be sent to.
  bool auth_exempt = false;  ///< Calls need no API key.
  /// A broken stream can be resumed after the last event received.
  bool resumable = false;

  /// @returns whether a call may be sent again although it may have run.
  [[nodiscard]] bool repeatable() const noexcept {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStream && resumable);
  }
  /// @returns the services that get any of the route's calls.
  [[nodiscard]] std::vector<ServiceName> UsedServices() const;
};

struct ServingModel {
  ModelName name;
  double weights_mb = 0.0;
  Duration load_time{};  ///< Time to load it from the weight store.
  int adapter_count = 0;
  double adapter_mb = 0.0;  ///< Size of each adapter.
};

/// Capacity of each engine of a service, and the models that it can load.
struct EngineProfile {
  int slots = 1;            ///< Requests that run at the same time.
  double kv_tokens = 0.0;   ///< Capacity of the KV cache.
  double weights_mb = 0.0;  ///< Memory for the weights of models and adapters.
  int adapter_slots = 0;    ///< Adapters that can be loaded at the same time.
  /// Limit on loads from the weight store, over all engines together.
  double loads_per_second = 0.0;
  std::vector<ServingModel> models;

  [[nodiscard]] const ServingModel* Find(const ModelName& model) const noexcept;
  /// @returns the size of the largest model's weights; 0 without models.
  [[nodiscard]] double LargestModelMb() const noexcept;
  /// @returns the memory to reserve for adapters on one engine.
  [[nodiscard]] double AdapterReserveMb() const noexcept;
};

/// Bounds on the number of servers of a service in each data centre.
struct ServerScaling {
  int min_count = 0;
  int max_count = 0;
  Duration boot_time{};  ///< From an order until new servers serve.

  friend bool operator==(const ServerScaling&, const ServerScaling&) = default;
};

struct ServingService {
  ServiceName name;
  int max_connections = 0;  ///< Per upstream, over all callers.
  /// Requests that a cold upstream can take, from all entries; 0 for no limit.
  double cold_requests_per_second = 0.0;
  std::optional<EngineProfile> engine;  ///< Unset for a plain service.
  /// Unset if the number of its servers is not ordered.
  std::optional<ServerScaling> scaling;
};

struct ServingOrganisation {
  OrganisationId name;
  std::vector<KeyDigest> keys;
  std::optional<int> priority;  ///< Overrides the route's priority.
  Tokens default_cost;          ///< Cost of a call without token counts.
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
