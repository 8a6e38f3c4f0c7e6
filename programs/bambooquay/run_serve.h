// `bambooquay serve`: the entry process on a hosted platform.
#pragma once

#include <string>
#include <vector>

#include "bambooquay/operators/commands.h"

namespace bambooquay {

/// Runs the entry until SIGTERM or SIGINT stops it.
[[nodiscard]] ExitCode RunServe(const std::vector<std::string>& arguments);

}  // namespace bambooquay
