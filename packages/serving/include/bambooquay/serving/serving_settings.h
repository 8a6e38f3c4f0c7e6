// Settings of the serving processes, read from an INI file and validated.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/ini.h"
#include "bambooquay/core/units.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/log.h"
#include "bambooquay/runtime/process_limits.h"
#include "bambooquay/serving/retry_budget.h"

namespace bambooquay {

enum class ServingRole : std::uint8_t { kEntry, kAgent };

/// What the platform expects of the duties that one entry performs at a time.
struct DutySettings {
  Endpoint platform;  ///< Takes the duties' calls.
  bool reports_usage = false;
  bool orders_servers = false;
  /// Names of duties that this version does not know.
  std::vector<std::string> unknown_names;
  CallsPerSecond call_limit{10.0};  ///< From all entries together.
  /// No two entries perform a duty within this time, unless the first one has
  /// handed it over.
  Duration lease_time = std::chrono::seconds(3);
  Duration usage_window = std::chrono::seconds(5);
  /// Time after the end of a window in which its usage has to be reported.
  Duration usage_lateness = std::chrono::seconds(10);

  /// @returns whether there is a duty to perform.
  [[nodiscard]] bool has_duty() const noexcept {
    return reports_usage || orders_servers;
  }
};

struct ServingSettings {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint peers;  ///< Datagrams between entries and agents.
  Endpoint admin;  ///< Health, readiness and metrics.
  Endpoint store;
  LogSettings log;
  /// Whether calls are scheduled by the predicted work of engines, which the
  /// agents estimate for this.
  bool predicted_work = false;
  /// Upper limit on the duration of a planned stop.
  Duration drain_limit = std::chrono::seconds(8);

  /// Entries only: addresses at which other entries are tried before the store
  /// has answered.
  std::vector<Endpoint> seeds;
  Endpoint callers;     ///< Entries only: requests of callers.
  Endpoint readiness;   ///< Entries only: readiness checks.
  RetryLimits retries;  ///< Entries only.
  /// Entries only; unset if the platform has no duties.
  std::optional<DutySettings> duties;
  /// Entries only: what the process may use, of which callers get a part.
  ProcessLimits limits = DetectProcessLimits();

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
