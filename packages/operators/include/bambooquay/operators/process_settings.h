// Settings of one process: who it is, where it listens, where the platform
// is. Read from an INI file and checked whole at start.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/ini.h"
#include "bambooquay/platform/platform_client.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/http_server.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {

/// Settings shared by both binaries.
struct ProcessSettings {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint peers;  ///< Where the process offers its Node.
  Endpoint admin;  ///< Health, readiness and metrics.
  PlatformEndpoints platform;
  LogSettings log;
  /// Collector of spans in Zipkin's JSON format; port 0 exports none.
  Endpoint span_collector;
  /// How long a planned stop waits for running work.
  Duration drain_limit = std::chrono::seconds(600);

  Endpoint callers;                ///< Entries only.
  HttpServerLimits caller_limits;  ///< Entries only.
  UpstreamId upstream;             ///< Agents only.
  Endpoint upstream_address;       ///< Agents only.
};

enum class ProcessRole : std::uint8_t { kEntry, kAgent };

/// Parses and checks the settings of a process.
/// @returns the settings, or every fault found.
[[nodiscard]] std::variant<ProcessSettings, std::vector<IniError>>
ParseProcessSettings(std::string_view text, std::string file, ProcessRole role);

}  // namespace bambooquay
