// The result of a command, and its output.
#include "command_result.h"

#include <iostream>

#include "bambooquay/operators/status_table.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

void PrintText(const CommandLine& line, const Json& result) {
  if (result.contains("text")) {
    std::cout << result["text"].get<std::string>();
  } else if (result.contains("keys")) {
    for (const Json& key : result["keys"]) {
      std::cout << key["label"].get<std::string>() << '\t'
                << key["organisation"].get<std::string>() << '\n';
    }
  } else if (result.contains("instances")) {
    std::cout << RenderStatusTable(result["instances"]);
  } else if (result.contains("key")) {
    std::cout << result["key"].get<std::string>() << '\n';
  } else if (result.contains("version")) {
    std::cout << line.positional_arguments[0] << " version "
              << result["version"] << " is in force\n";
  } else {
    std::cout << "valid: " << result["organisations"] << " organisations, "
              << result["models"] << " models, " << result["services"]
              << " services, " << result["upstreams"] << " upstreams\n";
  }
}

}  // namespace

ExitCode PrintResult(const CommandLine& line, const CommandResult& result) {
  if (const auto* json = std::get_if<Json>(&result)) {
    if (line.use_json) {
      std::cout << json->dump() << '\n';
    } else {
      PrintText(line, *json);
    }
    return ExitCode::kOk;
  }
  const auto& error = std::get<CommandError>(result);
  if (line.use_json) {
    Json errors = Json::array();
    for (const IniError& item : error.errors) {
      errors.push_back({{"file", item.file},
                        {"line", item.line},
                        {"section", item.section},
                        {"key", item.key},
                        {"description", item.description}});
    }
    std::cout << Json{{"error", error.message}, {"errors", errors}}.dump()
              << '\n';
  } else {
    for (const IniError& item : error.errors) {
      std::cerr << item.ToString() << '\n';
    }
    std::cerr << "bambooquay: " << error.message << '\n';
  }
  return error.code;
}

}  // namespace bambooquay
