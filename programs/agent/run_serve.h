// `bambooquay-agent serve`: the agent process on a hosted platform.
#pragma once

#include <string>
#include <vector>

#include "bambooquay/operators/commands.h"

namespace bambooquay {

/// Runs the agent until SIGTERM or SIGINT stops it.
[[nodiscard]] ExitCode RunServe(const std::vector<std::string>& arguments);

}  // namespace bambooquay
