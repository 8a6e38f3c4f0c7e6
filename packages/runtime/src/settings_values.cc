// Readers for settings that several processes share.
#include "bambooquay/runtime/settings_values.h"

#include <string>

namespace bambooquay {

Endpoint ReadEndpoint(IniSectionReader& reader, const char* key) {
  const std::string text = reader.Text(key);
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint.has_value() && !text.empty()) {
    reader.AddError(key, "expected IP:PORT, found '" + text + "'");
  }
  return endpoint.value_or(Endpoint{});
}

namespace {

constexpr double kMaxLinesPerSecond = 1e6;

LogLevel ParseLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  if (name == "error") {
    return LogLevel::kError;
  }
  return name == "off" ? LogLevel::kOff : LogLevel::kInfo;
}

}  // namespace

LogSettings ReadLogSettings(IniSectionReader& reader) {
  LogSettings settings;
  settings.level = ParseLogLevel(
      reader.Choice("level", {"info", "debug", "warning", "error", "off"}));
  settings.lines_per_second = reader.Number(
      "lines_per_second", 0.0, kMaxLinesPerSecond, settings.lines_per_second);
  return settings;
}

}  // namespace bambooquay
