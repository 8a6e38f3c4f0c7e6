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

/// Limits on the changes that one plan may make.
struct PlanLimits {
  /// Whether a model may be evicted, that is unloaded to free memory for
  /// another one. False while the list of engines is still changing: a model
  /// that seems to be missing may be loaded on an engine that is not listed
  /// yet.
  bool may_evict = true;
  /// Upper limit on loads from the weight store that are planned or running.
  int max_store_loads = 2;
};

/// The models that each engine should have loaded.
using PlacementTargets = std::map<UpstreamId, std::vector<ModelName>>;

/// Plans which models each engine should load, with few changes to the models
/// that are loaded now. Every model gets at least one replica, if memory and
/// `limits` allow it, and the remaining memory is assigned by demand. Repeated
/// calls adapt to demand that shifts between models within seconds, and to
/// engines that join or leave.
///
/// @param engines  the engines that may load models. Models on other engines
///   are not taken into account.
/// @param demand  summed over all entries.
/// @returns the target of each assignable engine, sorted by demand with the
///   highest first, because after a power failure every engine is empty and
///   loads one model at a time. Models that an engine has loaded but that are
///   not in its target may be unloaded.
[[nodiscard]] PlacementTargets PlanPlacement(
    const EngineProfile& profile, const std::vector<EngineView>& engines,
    const std::vector<ModelDemand>& demand, const PlanLimits& limits);

}  // namespace bambooquay
