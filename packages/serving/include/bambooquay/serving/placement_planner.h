// Decides which models each engine of a service should load.
#pragma once

#include <map>
#include <vector>

#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/fleet_configuration.h"

namespace bambooquay {

/// The state of one engine that the planner starts from.
struct EngineView {
  UpstreamId id;
  DataCentreId data_centre;
  /// Models that the engine has loaded or, while it is still carrying out an
  /// earlier plan, the models of that plan.
  std::vector<ModelName> assigned_models;
  /// Models that the engine reports as loaded.
  std::vector<ModelName> loaded_models;
  /// Whether the engine can be given a target. False without a recent report;
  /// its models still count as replicas.
  bool is_assignable = true;
  /// Models whose weights are in host memory or on disk, so that they load
  /// without the weight store.
  std::vector<ModelName> local_copies;
};

struct PlanLimits {
  /// Whether a model may be evicted, that is unloaded to free memory for
  /// another one. False while the list of engines is still changing: a model
  /// that seems to be missing may be loaded on an engine that is not listed
  /// yet.
  bool may_evict = true;
  /// Upper limit on loads from the weight store that are planned or running.
  int max_store_loads = 2;
};

using PlacementTargets = std::map<UpstreamId, std::vector<ModelName>>;

/// Plans which models each engine should load, starting from what is loaded
/// now and changing little: every model gets at least one replica, if memory
/// and `limits` allow it, and the remaining memory is assigned by demand.
/// Repeated calls follow demand that shifts between models within seconds, and
/// engines that join or leave.
///
/// @param engines  the engines that may load models. Models on other engines
///   are not taken into account.
/// @param demand  summed over all entries.
/// @returns the target of each assignable engine, the model with the highest
///   demand first: after a power failure every engine is empty and loads one
///   model at a time. Models that an engine has loaded beyond its target may be
///   unloaded.
[[nodiscard]] PlacementTargets PlanPlacement(
    const EngineProfile& profile, const std::vector<EngineView>& engines,
    const std::vector<ModelDemand>& demand, const PlanLimits& limits);

}  // namespace bambooquay
