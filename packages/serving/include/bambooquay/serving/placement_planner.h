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
  std::vector<ModelName> models;  ///< Held now.
  /// Copies that load without the weight store.
  std::vector<ModelName> local_copies;
};

using PlacementTargets = std::map<UpstreamId, std::vector<ModelName>>;

/// Plans from what is held now, with few moves: every model is held by at
/// least one engine, and the rest of the room follows demand. Answers a demand
/// that moves from one model to another within seconds, and engines that come
/// and go.
///
/// @param engines  those that may hold models; the others hold nothing.
/// @param demand  summed over all entries.
/// @returns what each engine is to hold. What an engine holds beyond its
///   target may be dropped.
[[nodiscard]] PlacementTargets PlanPlacement(
    const EngineProfile& profile, const std::vector<EngineView>& engines,
    const std::vector<ModelDemand>& demand);

}  // namespace bambooquay
