// Start-up of a long-running process.
#include "bambooquay/operators/process_start.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "text_file.h"

namespace bambooquay {
namespace {

namespace po = boost::program_options;

}  // namespace

std::variant<SettingsFile, ExitCode> ReadSettingsFile(
    const std::string& program, const std::vector<std::string>& arguments,
    std::ostream& error_output) {
  po::options_description options("usage: " + program +
                                  " --settings FILE\noptions");
  options.add_options()("help,h", "print this")("version", "print the version")(
      "settings", po::value<std::string>(),
      "INI file with the settings; default: $BAMBOOQUAY_SETTINGS")(
      "check", "check the settings and exit");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(options).run(),
              values);
  } catch (const po::error& error) {
    error_output << program << ": " << error.what() << '\n';
    return ExitCode::kUsage;
  }
  if (values.contains("help")) {
    std::cout << options;
    return ExitCode::kOk;
  }
  if (values.contains("version")) {
    std::cout << program << " " BAMBOOQUAY_VERSION "\n";
    return ExitCode::kOk;
  }
  const char* fallback = std::getenv("BAMBOOQUAY_SETTINGS");
  if (!values.contains("settings") && fallback == nullptr) {
    error_output << program << ": --settings FILE is required\n";
    return ExitCode::kUsage;
  }
  SettingsFile file;
  file.path = values.contains("settings") ? values["settings"].as<std::string>()
                                          : std::string(fallback);
  file.check_only = values.contains("check");
  std::optional<std::string> text = ReadTextFile(file.path);
  if (!text.has_value()) {
    error_output << program << ": cannot read '" << file.path << "'\n";
    return ExitCode::kNoInput;
  }
  file.text = std::move(*text);
  return file;
}

std::optional<ExitCode> ReportSettingsErrors(
    const SettingsFile& file, const std::vector<IniError>& errors) {
  for (const IniError& error : errors) {
    std::cerr << error.ToString() << '\n';
  }
  if (!errors.empty()) {
    return ExitCode::kBadSettings;
  }
  if (file.check_only) {
    std::cout << "the settings are valid\n";
    return ExitCode::kOk;
  }
  return std::nullopt;
}

void LogSettingsErrors(const std::string& message,
                       const std::vector<IniError>& errors) {
  if (!message.empty()) {
    LogEvent(LogLevel::kError, "settings_unreadable")
        .With("description",
              message.substr(0, message.find_last_not_of('\n') + 1));
  }
  for (const IniError& error : errors) {
    LogEvent(LogLevel::kError, "settings_fault")
        .With("at", error.file + ":" + std::to_string(error.line))
        .With("section", error.section)
        .With("key", error.key)
        .With("description", error.description);
  }
  LogEvent(LogLevel::kError, "reload").With("accepted", "no");
}

std::variant<ProcessSettings, ExitCode> InitializeProcess(
    const std::string& program, const std::vector<std::string>& arguments,
    ProcessRole role) {
  return InitializeProcessWith(program, arguments, role, &ParseProcessSettings);
}

}  // namespace bambooquay
