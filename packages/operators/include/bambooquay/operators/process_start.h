// The common start of a long-running process: options, settings, logging.
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

/// Parses the text of a file with this name into settings, or every fault.
template <typename Settings, typename Role>
using SettingsParser = std::variant<Settings, std::vector<IniError>> (*)(
    std::string_view, std::string, Role);

/// A settings file as the command line names it.
struct SettingsFile {
  std::string path;
  std::string text;
  bool check_only = false;
};

/// Reads `--settings FILE`, or the file that $BAMBOOQUAY_SETTINGS names.
///
/// @param program  the command as the help shows it.
/// @param faults  where faults are printed.
/// @returns the file, or the code to exit with.
[[nodiscard]] std::variant<SettingsFile, ExitCode> ReadSettingsFile(
    const std::string& program, const std::vector<std::string>& arguments,
    std::ostream& faults);

/// Reads and checks the settings of a process and sets up its logs.
///
/// @param parse  called with the text, the file's name and the role.
/// @returns the settings, or the code to exit with; faults are printed.
template <typename Settings, typename Role>
[[nodiscard]] std::variant<Settings, ExitCode> StartProcessWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse);

/// Reads the settings again for a running process, and applies those of the
/// log. Faults are logged, not printed: printing may block.
///
/// @returns the settings, or nothing if they are faulty.
template <typename Settings, typename Role>
[[nodiscard]] std::optional<Settings> ReloadSettingsWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse);

/// StartProcessWith() for the processes of the operators' own interface.
[[nodiscard]] std::variant<ProcessSettings, ExitCode> StartProcess(
    const std::string& program, const std::vector<std::string>& arguments,
    ProcessRole role);

/// Prints faults, or that there are none.
/// @returns the code to exit with, or nothing if the process is to start.
[[nodiscard]] std::optional<ExitCode> ReportFaults(
    const SettingsFile& file, const std::vector<IniError>& errors);

/// Logs what ReadSettingsFile() and the parser found wrong.
void LogSettingsFaults(const std::string& faults,
                       const std::vector<IniError>& errors);

template <typename Settings, typename Role>
std::variant<Settings, ExitCode> StartProcessWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse) {
  auto read = ReadSettingsFile(program, arguments, std::cerr);
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

template <typename Settings, typename Role>
std::optional<Settings> ReloadSettingsWith(
    const std::string& program, const std::vector<std::string>& arguments,
    Role role, SettingsParser<Settings, Role> parse) {
  std::ostringstream faults;
  const auto read = ReadSettingsFile(program, arguments, faults);
  const auto* file = std::get_if<SettingsFile>(&read);
  std::variant<Settings, std::vector<IniError>> parsed =
      std::vector<IniError>();
  if (file != nullptr) {
    parsed = parse(file->text, file->path, role);
  }
  if (const auto* errors = std::get_if<std::vector<IniError>>(&parsed)) {
    LogSettingsFaults(faults.str(), *errors);
    return std::nullopt;
  }
  auto& settings = std::get<Settings>(parsed);
  ConfigureLogging(settings.id.value(), settings.log);
  LogEvent(LogLevel::kInfo, "reload").With("accepted", "yes");
  return std::move(settings);
}

}  // namespace bambooquay
