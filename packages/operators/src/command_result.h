// The result of a command, and its output.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/core/ini.h"
#include "bambooquay/operators/commands.h"
#include "command_line.h"

namespace bambooquay {

/// An error to print, with its exit code.
struct CommandError {
  ExitCode code = ExitCode::kSoftware;
  std::string message;
  /// Errors in a settings or configuration file, if there are any.
  std::vector<IniError> errors;
};

using CommandResult = std::variant<nlohmann::json, CommandError>;

/// Prints the result in the format that `line` selects.
/// @returns the exit code.
ExitCode PrintResult(const CommandLine& line, const CommandResult& result);

}  // namespace bambooquay
