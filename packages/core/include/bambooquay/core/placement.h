// The placement: which models are loaded on which upstream.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "bambooquay/core/configuration.h"
#include "bambooquay/core/ids.h"

namespace bambooquay {

/// Models by upstream.
using Placement = std::map<UpstreamId, std::set<ModelName>>;

/// @returns the placement parsed from JSON, or nothing if malformed.
[[nodiscard]] std::optional<Placement> ParsePlacement(std::string_view json);
[[nodiscard]] std::string SerializePlacement(const Placement& placement);

/// Distributes the models of every service over its upstreams: first one
/// replica of each model, largest models first, then further replicas, in other
/// data centres where possible, while memory lasts. The result is
/// deterministic.
///
/// @returns the models of each upstream; they fit its memory.
[[nodiscard]] Placement ComputeStaticPlacement(
    const Configuration& configuration);

/// Changes `current` as little as possible so that every model has a replica on
/// an available upstream. A missing replica is placed in free memory if there
/// is enough; otherwise it replaces replicas of models that have another
/// available one. The models of unavailable upstreams stay assigned to them, so
/// that they are in place when the upstreams return.
///
/// @param available  upstreams that are alive and not drained.
/// @returns the new placement; the models of each upstream fit its memory.
[[nodiscard]] Placement RepairPlacement(const Configuration& configuration,
                                        const Placement& current,
                                        const std::set<UpstreamId>& available);

}  // namespace bambooquay
