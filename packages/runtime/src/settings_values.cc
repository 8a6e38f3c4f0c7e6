// Settings values that several processes read.
#include "bambooquay/runtime/settings_values.h"

namespace bambooquay {

Endpoint ReadEndpoint(IniSectionReader& reader, const char* key) {
  const std::string text = reader.Text(key);
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint.has_value() && !text.empty()) {
    reader.AddError(key, "expected IP:PORT, found '" + text + "'");
  }
  return endpoint.value_or(Endpoint{});
}

LogLevel ParseLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

}  // namespace bambooquay
