// `bambooquay config check` for the configuration of a hosted platform.
#include "run_config_check.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <utility>
#include <variant>

#include "platform/documents.h"

namespace bambooquay {
namespace {

namespace po = boost::program_options;
using Findings = std::vector<ConfigurationFinding>;
using Json = nlohmann::json;

struct CheckArguments {
  std::string file;
  std::string against;  ///< Empty if nothing is compared.
  bool use_json = false;
};

/// What is printed.
struct Report {
  /// Errors by file, with the position first.
  std::vector<std::pair<std::string, std::string>> errors;
  Findings findings;
  Findings differences;

  [[nodiscard]] ExitCode code() const noexcept {
    if (!errors.empty()) {
      return ExitCode::kDataError;
    }
    return findings.empty() ? ExitCode::kOk : ExitCode::kBadSettings;
  }
};

std::optional<CheckArguments> ParseArguments(
    const std::vector<std::string>& arguments) {
  po::options_description options;
  options.add_options()("words", po::value<std::vector<std::string>>())(
      "against", po::value<std::string>()->default_value(""))(
      "output", po::value<std::string>()->default_value("text"));
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(positional)
                  .run(),
              values);
  } catch (const po::error&) {
    return std::nullopt;
  }
  constexpr std::size_t kWords = 3;
  const auto words = values.contains("words")
                         ? values["words"].as<std::vector<std::string>>()
                         : std::vector<std::string>{};
  const std::string output = values["output"].as<std::string>();
  if (words.size() != kWords || words[0] != "config" || words[1] != "check" ||
      (output != "text" && output != "json")) {
    return std::nullopt;
  }
  return CheckArguments{words[2], values["against"].as<std::string>(),
                        output == "json"};
}

std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return std::nullopt;
  }
  return text.str();
}

/// Adds the errors of a file to `report`.
std::optional<FleetConfiguration> Decode(const std::string& path,
                                         const std::string& text,
                                         Report& report) {
  auto decoded = hosting::DecodeWholeConfiguration(text);
  if (const auto* failures = std::get_if<hosting::DecodeFailures>(&decoded)) {
    for (const DecodeFailure& failure : *failures) {
      report.errors.emplace_back(path, failure.description);
    }
    return std::nullopt;
  }
  return std::get<FleetConfiguration>(std::move(decoded));
}

void PrintJson(const Report& report) {
  Json errors = Json::array();
  for (const auto& [file, description] : report.errors) {
    errors.push_back({{"file", file}, {"description", description}});
  }
  const auto to_json = [](const Findings& findings) {
    Json items = Json::array();
    for (const ConfigurationFinding& finding : findings) {
      items.push_back({{"position", hosting::ToText(finding.position)},
                       {"description", finding.description}});
    }
    return items;
  };
  std::cout << Json{{"errors", std::move(errors)},
                    {"findings", to_json(report.findings)},
                    {"differences", to_json(report.differences)}}
                   .dump()
            << '\n';
}

void PrintText(const CheckArguments& arguments, const Report& report) {
  for (const auto& [file, description] : report.errors) {
    std::cerr << file << ": " << description << '\n';
  }
  for (const ConfigurationFinding& finding : report.findings) {
    std::cerr << arguments.file << ": " << hosting::ToText(finding.position)
              << ": " << finding.description << '\n';
  }
  for (const ConfigurationFinding& difference : report.differences) {
    std::cout << hosting::ToText(difference.position) << ": "
              << difference.description << '\n';
  }
  std::cout << report.errors.size() << " errors, " << report.findings.size()
            << " findings";
  if (!arguments.against.empty()) {
    std::cout << ", " << report.differences.size() << " differences";
  }
  std::cout << '\n';
}

}  // namespace

bool IsHostedConfigCheck(const std::vector<std::string>& arguments) {
  const auto parsed = ParseArguments(arguments);
  if (!parsed.has_value()) {
    return false;
  }
  const std::string text = ReadText(parsed->file).value_or("");
  const auto first = text.find_first_not_of(" \t\r\n");
  return !parsed->against.empty() ||
         (first != std::string::npos && text[first] == '{');
}

ExitCode RunHostedConfigCheck(const std::vector<std::string>& arguments) {
  const CheckArguments parsed =
      ParseArguments(arguments).value_or(CheckArguments{});
  Report report;
  const auto read = [&](const std::string& path) {
    auto text = ReadText(path);
    if (!text.has_value()) {
      std::cerr << "bambooquay: cannot read " << path << '\n';
    }
    return text;
  };
  const auto text = read(parsed.file);
  if (!text.has_value()) {
    return ExitCode::kNoInput;
  }
  const auto configuration = Decode(parsed.file, *text, report);
  if (configuration.has_value()) {
    report.findings = CheckConfiguration(*configuration);
  }
  if (!parsed.against.empty()) {
    const auto earlier_text = read(parsed.against);
    if (!earlier_text.has_value()) {
      return ExitCode::kNoInput;
    }
    const auto earlier = Decode(parsed.against, *earlier_text, report);
    if (configuration.has_value() && earlier.has_value()) {
      report.differences = CompareConfigurations(*earlier, *configuration);
      if (configuration->version <= earlier->version) {
        report.findings.push_back(
            {{ConfigurationSection::kTop, "", ConfigurationField::kVersion, ""},
             "not above the version in force, " +
                 std::to_string(earlier->version)});
      }
    }
  }
  parsed.use_json ? PrintJson(report) : PrintText(parsed, report);
  return report.code();
}

}  // namespace bambooquay
