// Parses the settings of a process.
#include "bambooquay/operators/process_settings.h"

#include <utility>

#include "bambooquay/core/ini_section_reader.h"
#include "bambooquay/runtime/settings_values.h"

namespace bambooquay {
namespace {

constexpr double kMaxSeconds = 86400.0;
constexpr std::int64_t kMaxSizeLimitBytes = 1LL << 30;
constexpr std::int64_t kMaxConnectionLimit = 1 << 20;

/// Reads the sections of a settings file into ProcessSettings.
class SettingsReader {
 public:
  SettingsReader(ProcessRole role, ProcessSettings& settings)
      : m_role(role), m_settings(settings) {}

  [[nodiscard]] std::vector<std::string> RequiredSections() const {
    std::vector<std::string> required = {"process", "listen", "platform"};
    if (m_role == ProcessRole::kAgent) {
      required.emplace_back("upstream");
    }
    return required;
  }

  /// @returns whether the section is known.
  bool ReadSection(const std::string& name, IniSectionReader& reader) {
    if (name == "process") {
      m_settings.id = InstanceId(reader.Text("id"));
      m_settings.data_centre = DataCentreId(reader.Text("datacentre"));
      m_settings.drain_limit =
          FromSeconds(reader.Number("drain_seconds", 0.0, kMaxSeconds, 600.0));
    } else if (name == "listen") {
      ReadListen(reader);
    } else if (name == "platform") {
      m_settings.platform.table = ReadEndpoint(reader, "table");
      m_settings.platform.objects = ReadEndpoint(reader, "objects");
      m_settings.platform.instances = ReadEndpoint(reader, "instances");
    } else if (name == "log") {
      m_settings.log = ReadLogSettings(reader);
    } else if (name == "trace") {
      m_settings.span_collector = ReadEndpoint(reader, "collector");
    } else if (name == "limits" && m_role == ProcessRole::kEntry) {
      ReadLimits(reader);
    } else if (name == "upstream" && m_role == ProcessRole::kAgent) {
      m_settings.upstream = UpstreamId(reader.Text("id"));
      m_settings.upstream_address = ReadEndpoint(reader, "address");
    } else {
      return false;
    }
    return true;
  }

 private:
  void ReadListen(IniSectionReader& reader) {
    m_settings.peers = ReadEndpoint(reader, "peers");
    m_settings.admin = ReadEndpoint(reader, "admin");
    if (m_role == ProcessRole::kEntry) {
      m_settings.callers = ReadEndpoint(reader, "callers");
    }
  }

  void ReadLimits(IniSectionReader& reader) {
    HttpServerLimits& limits = m_settings.caller_limits;
    const auto bytes = [&](const char* key, std::size_t fallback) {
      return static_cast<std::size_t>(reader.Integer(
          key, 256, kMaxSizeLimitBytes, static_cast<std::int64_t>(fallback)));
    };
    limits.max_header_bytes = bytes("header_bytes", limits.max_header_bytes);
    limits.max_body_bytes = bytes("body_bytes", limits.max_body_bytes);
    limits.max_connections = static_cast<std::size_t>(
        reader.Integer("connections", 1, kMaxConnectionLimit,
                       static_cast<std::int64_t>(limits.max_connections)));
    limits.idle_timeout =
        FromSeconds(reader.Number("idle_seconds", 1.0, kMaxSeconds, 60.0));
  }

  ProcessRole m_role;
  ProcessSettings& m_settings;
};

}  // namespace

std::variant<ProcessSettings, std::vector<IniError>> ParseProcessSettings(
    std::string_view text, std::string file, ProcessRole role) {
  return ParseSettings<SettingsReader, ProcessSettings>(text, std::move(file),
                                                        role);
}

}  // namespace bambooquay
