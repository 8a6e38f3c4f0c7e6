// Decides which models each engine of a service is to hold.
#pragma once

#include <map>
#include <vector>

#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/fleet_configuration.h"

namespace bambooquay {

/// One engine as the planner sees it.
struct EngineView {
  UpstreamId id;
  DataCentreId data_centre;
  /// Held now, or to be held by a plan that is being carried out.
  std::vector<ModelName> models;
  std::vector<ModelName> held;
  /// False for an engine that cannot be told what to hold.
  bool plannable = true;
  /// Copies that load without the weight store.
  std::vector<ModelName> local_copies;
};

struct PlanLimits {
  /// Whether a model may be dropped for another one. Off while the list of
  /// engines is still changing: what seems missing may be on the next one.
  bool may_evict = true;
  /// Loads from the weight store that may be outstanding.
  int store_loads = 2;
};

using PlacementTargets = std::map<UpstreamId, std::vector<ModelName>>;

/// Plans from what is held now, with few moves: every model is held by at
/// least one engine, and the rest of the room follows demand. Answers a demand
/// that moves from one model to another within seconds, and engines that come
/// and go.
///
/// @param engines  those that may hold models; the others hold nothing.
/// @param demand  summed over all entries.
/// @returns what each engine is to hold, the most wanted model first: after a
///   loss of power every engine is empty and loads one model at a time. What an
///   engine holds beyond its target may be dropped.
[[nodiscard]] PlacementTargets PlanPlacement(
    const EngineProfile& profile, const std::vector<EngineView>& engines,
    const std::vector<ModelDemand>& demand, const PlanLimits& limits);

}  // namespace bambooquay
