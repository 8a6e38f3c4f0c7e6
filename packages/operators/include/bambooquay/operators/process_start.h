// Start-up of a long-running process: command line options, settings, logging.
#pragma once

#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bambooquay/operators/commands.h"
#include "bambooquay/operators/process_settings.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {

/// Parses the text of a settings file.
/// Parameters: the text, the name of the file and the role of the process.
/// Returns the settings, or all errors found.
template <typename Settings, typename Role>
using SettingsParser = std::variant<Settings, std::vector<IniError>> (*)(
    std::string_view, std::string, Role);

/// The settings file that the command line specifies.
struct SettingsFile {
  std::string path;
  std::string text;
  /// Whether to check the settings and exit (`--check`).
  bool check_only = false;
};

/// Reads the file given by `--settings FILE`, or by the environment variable
/// BAMBOOQUAY_SETTINGS.
///
/// @param program  the command's name in the help and in error messages.
/// @param error_output  receives error messages.
/// @returns the file, or the exit code if the process is to exit.
[[nodiscard]] std::variant<SettingsFile, ExitCode> ReadSettingsFile(
    const std::string& program, const std::vector<std::string>& arguments,
    std::ostream& error_output);

/// Reads and checks the settings of a process and configures logging. Prints
/// errors to standard error.
///
/// @param parse  parser of the settings of this kind of process.
/// @returns the settings, or the exit code if the process is to exit.
template <typename Settings, typename Role>
[[nodiscard]] std::variant<Settings, ExitCode> InitializeProcessWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse);

/// Reads the settings of a running process again and reconfigures logging.
/// Errors are logged rather than printed, because printing may block.
///
/// @returns the settings, or nothing if they have errors.
template <typename Settings, typename Role>
[[nodiscard]] std::optional<Settings> ReloadSettingsWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse);

/// InitializeProcessWith() for processes that use ProcessSettings.
[[nodiscard]] std::variant<ProcessSettings, ExitCode> InitializeProcess(
    const std::string& program, const std::vector<std::string>& arguments,
    ProcessRole role);

/// Prints `errors`, or for `--check` that there are none.
/// @returns the exit code, or nothing if the process is to start.
[[nodiscard]] std::optional<ExitCode> ReportSettingsErrors(
    const SettingsFile& file, const std::vector<IniError>& errors);

/// Logs the errors of ReadSettingsFile() and of the parser, and that the reload
/// was rejected.
/// @param message  error messages of ReadSettingsFile(); may be empty.
void LogSettingsErrors(const std::string& message,
                       const std::vector<IniError>& errors);

template <typename Settings, typename Role>
std::variant<Settings, ExitCode> InitializeProcessWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse) {
  auto read = ReadSettingsFile(program, arguments, std::cerr);
  if (const auto* code = std::get_if<ExitCode>(&read)) {
    return *code;
  }
  const auto& file = std::get<SettingsFile>(read);
  auto parsed = parse(file.text, file.path, role);
  const auto* errors = std::get_if<std::vector<IniError>>(&parsed);
  const auto code = ReportSettingsErrors(
      file, errors == nullptr ? std::vector<IniError>() : *errors);
  if (code.has_value()) {
    return *code;
  }
  auto& settings = std::get<Settings>(parsed);
  ConfigureLogging(settings.id.value(), settings.log);
  return std::move(settings);
}

template <typename Settings, typename Role>
std::optional<Settings> ReloadSettingsWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse) {
  std::ostringstream error_output;
  const auto read = ReadSettingsFile(program, arguments, error_output);
  const auto* file = std::get_if<SettingsFile>(&read);
  std::variant<Settings, std::vector<IniError>> parsed =
      std::vector<IniError>();
  if (file != nullptr) {
    parsed = parse(file->text, file->path, role);
  }
  if (const auto* errors = std::get_if<std::vector<IniError>>(&parsed)) {
    LogSettingsErrors(error_output.str(), *errors);
    return std::nullopt;
  }
  auto& settings = std::get<Settings>(parsed);
  ConfigureLogging(settings.id.value(), settings.log);
  LogEvent(LogLevel::kInfo, "reload").With("accepted", "yes");
  return std::move(settings);
}

}  // namespace bambooquay
