// Settings of the serving processes, read from an INI file and checked whole.
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

enum class ServingRole : std::uint8_t { kEntry, kAgent };

struct ServingSettings {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint peers;  ///< Datagrams between entries and agents.
  Endpoint admin;  ///< Health, readiness and metrics.
  Endpoint store;
  LogSettings log;
  /// A planned stop ends within this time.
  Duration drain_limit = std::chrono::seconds(8);

  /// Entries only: where other entries may be found before the store answers.
  std::vector<Endpoint> seeds;
  Endpoint callers;     ///< Entries only.
  Endpoint readiness;   ///< Entries only.
  RetryLimits retries;  ///< Entries only.

  Endpoint engine;      ///< Agents only.
  ServiceName service;  ///< Agents only.
  /// Window over which the weight store's limit holds.
  Duration load_window = std::chrono::seconds(5);
};

/// Parses and checks the settings of a serving process.
/// @returns the settings, or every fault found.
[[nodiscard]] std::variant<ServingSettings, std::vector<IniError>>
ParseServingSettings(std::string_view text, std::string file, ServingRole role);

}  // namespace bambooquay
