// The platform's list of running and terminating instances. The list reflects
// changes with a delay.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/core/ids.h"
#include "bambooquay/platform/table_service.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

/// Kind of process that an instance runs.
enum class InstanceRole : std::uint8_t { kEntry, kAgent };

/// An instance in the list.
struct Instance {
  InstanceId id;
  InstanceRole role = InstanceRole::kEntry;
  DataCentreId data_centre;
  UpstreamId upstream;   ///< Agents only.
  Endpoint peer;         ///< Address of the Node RPC interface.
  Endpoint admin;        ///< Address of the administration interface.
  bool leaving = false;  ///< The platform is about to stop the instance.
};

/// The list has not changed since the last successful fetch.
struct InstancesUnchanged {};

using InstanceListResult =
    std::variant<std::vector<Instance>, InstancesUnchanged,
                 PlatformUnavailable>;

/// Fetches the instance list. An unchanged list is not transferred again.
class InstanceList {
 public:
  InstanceList() = default;
  InstanceList(const InstanceList&) = delete;
  InstanceList& operator=(const InstanceList&) = delete;
  virtual ~InstanceList() = default;

  /// Fetches the list, or reports that it has not changed.
  virtual void Fetch(std::function<void(InstanceListResult)> done) = 0;
};

}  // namespace bambooquay
