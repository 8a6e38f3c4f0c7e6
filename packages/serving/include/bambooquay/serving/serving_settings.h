// Settings of the serving processes, read from an INI file and validated.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/ini.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/retry_budget.h"

namespace bambooquay {

/// How calls are scheduled. The same for entries and agents.
struct SchedulingSettings {
  /// Whether upstreams are chosen by the predicted work of engines, which the
  /// agents estimate for this.
  bool predicted_work = false;
};

enum class ServingRole : std::uint8_t { kEntry, kAgent };

struct ServingSettings {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint peers;  ///< Datagrams between entries and agents.
  Endpoint admin;  ///< Health, readiness and metrics.
  Endpoint store;
  LogSettings log;
  SchedulingSettings scheduling;
  /// Upper limit on the duration of a planned stop.
  Duration drain_limit = std::chrono::seconds(8);

  /// Entries only: addresses at which other entries are tried before the store
  /// has answered.
  std::vector<Endpoint> seeds;
  Endpoint callers;     ///< Entries only: requests of callers.
  Endpoint readiness;   ///< Entries only: readiness checks.
  RetryLimits retries;  ///< Entries only.

  Endpoint engine;      ///< Agents only: the engine's address.
  ServiceName service;  ///< Agents only: the engine's service.
  /// Agents only: period over which the rate limit on loads from the weight
  /// store is applied.
  Duration load_window = std::chrono::seconds(5);
};

/// Parses and validates the settings of a serving process.
/// @returns the settings, or all errors found.
[[nodiscard]] std::variant<ServingSettings, std::vector<IniError>>
ParseServingSettings(std::string_view text, std::string file, ServingRole role);

}  // namespace bambooquay
