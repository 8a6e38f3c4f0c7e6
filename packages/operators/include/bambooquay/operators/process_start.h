// The common start of a long-running process: options, settings, logging.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bambooquay/operators/commands.h"
#include "bambooquay/operators/process_settings.h"

namespace bambooquay {

/// A settings file as the command line names it.
struct SettingsFile {
  std::string path;
  std::string text;
  bool check_only = false;
};

/// Reads `--settings FILE`, or the file that $BAMBOOQUAY_SETTINGS names.
///
/// @param program  the command as the help shows it.
/// @returns the file, or the code to exit with; faults are printed.
[[nodiscard]] std::variant<SettingsFile, ExitCode> ReadSettingsFile(
    const std::string& program, const std::vector<std::string>& arguments);

/// Reads and checks the settings of a process and sets up its logs.
///
/// @param parse  called with the text, the file's name and the role.
/// @returns the settings, or the code to exit with; faults are printed.
template <typename Settings, typename Role>
[[nodiscard]] std::variant<Settings, ExitCode> StartProcessWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role,
    std::variant<Settings, std::vector<IniError>> (*parse)(std::string_view,
                                                           std::string, Role));

/// The same for the processes of the operators' own interface.
[[nodiscard]] std::variant<ProcessSettings, ExitCode> StartProcess(
    const std::string& program, const std::vector<std::string>& arguments,
    ProcessRole role);

/// Prints faults, or that there are none.
/// @returns the code to exit with, or nothing if the process is to start.
[[nodiscard]] std::optional<ExitCode> ReportFaults(
    const SettingsFile& file, const std::vector<IniError>& errors);

template <typename Settings, typename Role>
std::variant<Settings, ExitCode> StartProcessWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role,
    std::variant<Settings, std::vector<IniError>> (*parse)(std::string_view,
                                                           std::string, Role)) {
  auto read = ReadSettingsFile(program, arguments);
  if (const auto* code = std::get_if<ExitCode>(&read)) {
    return *code;
  }
  const auto& file = std::get<SettingsFile>(read);
  auto parsed = parse(file.text, file.path, role);
  const auto* errors = std::get_if<std::vector<IniError>>(&parsed);
  const auto code =
      ReportFaults(file, errors == nullptr ? std::vector<IniError>() : *errors);
  if (code.has_value()) {
    return *code;
  }
  auto& settings = std::get<Settings>(parsed);
  ConfigureLogging(settings.id.value(), settings.log);
  return std::move(settings);
}

}  // namespace bambooquay
