// Parses the command line of `bambooquay <verb>`.
#include "command_line.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace bambooquay {
namespace {

namespace po = boost::program_options;

constexpr const char* kSettingsEnvironmentVariable = "BAMBOOQUAY_SETTINGS";
constexpr const char* kUsage = R"(usage: bambooquay VERB [options]

  entry --settings FILE             run an entry (see 'bambooquay entry --help')
  config check FILE                 check a configuration, change nothing
  config check FILE [--against F]   the same for a hosted platform's JSON file
  config apply FILE [--expect N]    check it and put it in force
  config show                       print the configuration in force
  key give ORGANISATION LABEL       make a key and print it once
  key withdraw LABEL                withdraw a key
  key list                          list labels and organisations
  datacentre out|in NAME            take a data centre out, bring it back
  upstream drain|undrain NAME       the same for one upstream
  status                            show every instance

options:
  --settings FILE    INI file with a [platform] section
                     (default: the environment's BAMBOOQUAY_SETTINGS)
  --output FORMAT    text or json
  --expect N         apply only if version N is in force
  --help, --version

exit codes: 0 done, 64 usage, 65 bad input, 66 no such file, 69 platform
unavailable, 75 another operator was first, 78 bad settings, or entries of a
hosted platform's configuration that contradict themselves or have no effect
)";

}  // namespace

std::variant<CommandLine, ExitCode> ParseCommandLine(
    const std::vector<std::string>& arguments) {
  po::options_description visible;
  visible.add_options()("help,h", "")("version", "")("settings",
                                                     po::value<std::string>())(
      "output", po::value<std::string>()->default_value("text"))(
      "expect", po::value<std::uint64_t>());
  po::options_description all;
  all.add(visible).add_options()("words",
                                 po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
  } catch (const po::error& error) {
    std::cerr << "bambooquay: " << error.what() << "; see --help\n";
    return ExitCode::kUsage;
  }
  if (values.contains("help")) {
    std::cout << kUsage;
    return ExitCode::kOk;
  }
  if (values.contains("version")) {
    std::cout << "bambooquay " BAMBOOQUAY_VERSION "\n";
    return ExitCode::kOk;
  }
  CommandLine line;
  const std::string output = values["output"].as<std::string>();
  if (!values.contains("words") || (output != "text" && output != "json")) {
    std::cerr << kUsage;
    return ExitCode::kUsage;
  }
  line.positional_arguments = values["words"].as<std::vector<std::string>>();
  line.use_json = output == "json";
  if (values.contains("settings")) {
    line.settings_path = values["settings"].as<std::string>();
  } else if (const char* variable = std::getenv(kSettingsEnvironmentVariable)) {
    line.settings_path = variable;
  }
  if (values.contains("expect")) {
    line.expected_version = values["expect"].as<std::uint64_t>();
  }
  return line;
}

}  // namespace bambooquay
