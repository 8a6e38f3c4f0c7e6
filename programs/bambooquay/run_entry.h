// `bambooquay entry`: the long-running entry process.
#pragma once

#include <string>
#include <vector>

#include "bambooquay/operators/commands.h"

namespace bambooquay {

/// Runs an entry until SIGTERM or SIGINT, and drains it before it exits.
[[nodiscard]] ExitCode RunEntry(const std::vector<std::string>& arguments);

}  // namespace bambooquay
