// `bambooquay config check` for the configuration of a hosted platform.
#pragma once

#include <string>
#include <vector>

#include "bambooquay/operators/commands.h"

namespace bambooquay {

/// @param arguments  the command line without the name of the program.
/// @returns whether it checks a JSON file, not one of the product's INI files.
[[nodiscard]] bool IsHostedConfigCheck(
    const std::vector<std::string>& arguments);

/// Prints the errors of a configuration, what contradicts itself or never has
/// an effect, and what differs from the version in `--against`.
[[nodiscard]] ExitCode RunHostedConfigCheck(
    const std::vector<std::string>& arguments);

}  // namespace bambooquay
