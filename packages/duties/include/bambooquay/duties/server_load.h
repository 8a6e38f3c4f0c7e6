// The servers and the load of a service, as an entry knows them.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "bambooquay/core/ids.h"
#include "bambooquay/duties/server_count_policy.h"
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {

/// Calls per second by the data centre of the entries that got them.
using CallRates = std::map<DataCentreId, double>;

/// @param demand  by the data centre of the entries.
/// @returns the calls for all models of a service.
[[nodiscard]] CallRates CallRatesOf(
    const ServiceName& service,
    const std::map<DataCentreId, std::vector<ModelDemand>>& demand);

/// @param calls  calls for the service at all entries, refused ones included;
///   nothing if this entry does not know them.
/// @returns the load of each data centre with servers or callers of the
///   service.
[[nodiscard]] std::vector<DataCentreLoad> MeasureServers(
    const ServiceName& service, const UpstreamSet& upstreams,
    const std::optional<CallRates>& calls);

}  // namespace bambooquay
