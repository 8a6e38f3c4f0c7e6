// Parses the command line of `bambooquay <verb>`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/operators/commands.h"

namespace bambooquay {

/// A parsed command line.
struct CommandLine {
  /// Positional arguments: the verb and its operands.
  std::vector<std::string> positional_arguments;
  /// Path of the settings file; empty if none was given.
  std::string settings_path;
  /// Whether the result is printed as JSON.
  bool use_json = false;
  /// Version that must be in force for `config apply` to replace it.
  std::optional<std::uint64_t> expected_version;
};

/// Parses the arguments; prints the help, the version or an error if the
/// command is not to run.
/// @returns the command line, or the exit code.
[[nodiscard]] std::variant<CommandLine, ExitCode> ParseCommandLine(
    const std::vector<std::string>& arguments);

}  // namespace bambooquay
