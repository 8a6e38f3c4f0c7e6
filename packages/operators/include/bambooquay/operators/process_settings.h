// Settings of one process: its identity, the addresses it listens on and the
// addresses of the platform. They are read from an INI file and validated as a
// whole at start.
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

/// Settings of an entry or an agent.
struct ProcessSettings {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint peers;  ///< Where the RPC server for peers listens.
  Endpoint admin;  ///< Where the AdminServer listens.
  PlatformEndpoints platform;
  LogSettings log;
  /// Collector of trace spans in Zipkin's JSON format; port 0 disables export.
  Endpoint span_collector;
  /// How long a planned stop waits for running work to finish.
  Duration drain_limit = std::chrono::seconds(600);

  Endpoint callers;                ///< HTTP server for callers; entries only.
  HttpServerLimits caller_limits;  ///< Entries only.
  UpstreamId upstream;             ///< Upstream of the agent; agents only.
  Endpoint upstream_address;       ///< Agents only.
};

enum class ProcessRole : std::uint8_t { kEntry, kAgent };

/// Parses and checks the settings of a process.
/// @param file  name of the file, for error messages.
/// @returns the settings, or all errors found.
[[nodiscard]] std::variant<ProcessSettings, std::vector<IniError>>
ParseProcessSettings(std::string_view text, std::string file, ProcessRole role);

}  // namespace bambooquay
