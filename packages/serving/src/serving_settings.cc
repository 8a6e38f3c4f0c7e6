// Settings of the serving processes.
#include "bambooquay/serving/serving_settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include "bambooquay/core/ini_section_reader.h"
#include "bambooquay/runtime/settings_values.h"

namespace bambooquay {
namespace {

constexpr double kMaxSeconds = 86400.0;
constexpr double kMaxRetries = 1e6;

class ServingSettingsParser {
 public:
  ServingSettingsParser(ServingRole role, std::vector<IniError>& errors)
      : m_role(role), m_errors(errors) {}

  ServingSettings Parse(const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      IniSectionReader reader(document.file, section, m_errors);
      if (!m_seen.insert(section.name).second) {
        reader.AddError("", "the section is given twice");
      } else if (ReadSection(section.name, reader)) {
        reader.RejectUnknownKeys();
      } else {
        reader.AddError("", "unknown section");
      }
    }
    for (const char* name : {"process", "listen", "store"}) {
      RequireSection(document.file, name);
    }
    if (m_role == ServingRole::kAgent) {
      RequireSection(document.file, "engine");
    }
    return std::move(m_settings);
  }

 private:
  bool ReadSection(const std::string& name, IniSectionReader& reader) {
    if (name == "process") {
      m_settings.id = InstanceId(reader.Text("id"));
      m_settings.data_centre = DataCentreId(reader.Text("datacentre"));
      m_settings.drain_limit =
          FromSeconds(reader.Number("drain_seconds", 0.0, kMaxSeconds, 8.0));
    } else if (name == "log") {
      m_settings.log = ReadLogSettings(reader);
    } else if (name == "listen") {
      ReadListen(reader);
    } else if (name == "store") {
      m_settings.store = ReadEndpoint(reader, "address");
    } else if (name == "retries" && m_role == ServingRole::kEntry) {
      ReadRetries(reader);
    } else if (name == "engine" && m_role == ServingRole::kAgent) {
      ReadEngine(reader);
    } else {
      return false;
    }
    return true;
  }

  void ReadListen(IniSectionReader& reader) {
    m_settings.peers = ReadEndpoint(reader, "peers");
    m_settings.admin = ReadEndpoint(reader, "admin");
    if (m_role == ServingRole::kEntry) {
      m_settings.callers = ReadEndpoint(reader, "callers");
      m_settings.readiness = ReadEndpoint(reader, "readiness");
      ReadSeeds(reader);
    }
  }

  // Only the hosts matter: all entries use the same port for peers.
  void ReadSeeds(IniSectionReader& reader) {
    for (const std::string& text : reader.List("seeds")) {
      const auto seed = ParseEndpoint(text);
      if (!seed.has_value()) {
        reader.AddError("seeds", "expected IP:PORT, found '" + text + "'");
      } else if (seed->host != m_settings.peers.host) {
        m_settings.seeds.push_back({seed->host, m_settings.peers.port});
      }
    }
  }

  void ReadRetries(IniSectionReader& reader) {
    RetryLimits& limits = m_settings.retries;
    limits.ratio = reader.Number("ratio", 0.0, 100.0, limits.ratio);
    limits.slack = reader.Number("slack", 0.0, kMaxRetries, limits.slack);
    limits.window = FromSeconds(reader.Number(
        "window_seconds", 0.1, kMaxSeconds, ToSeconds(limits.window)));
  }

  void ReadEngine(IniSectionReader& reader) {
    m_settings.engine = ReadEndpoint(reader, "address");
    m_settings.service = ServiceName(reader.Text("service"));
    m_settings.load_overage =
        reader.Number("load_overage", 0.1, 100.0, m_settings.load_overage);
    m_settings.load_window =
        FromSeconds(reader.Number("load_window_seconds", 0.1, kMaxSeconds,
                                  ToSeconds(m_settings.load_window)));
  }

  void RequireSection(const std::string& file, const std::string& name) {
    if (!m_seen.contains(name)) {
      m_errors.push_back({file, 0, name, "", "the section is missing"});
    }
  }

  ServingRole m_role;
  std::vector<IniError>& m_errors;
  ServingSettings m_settings;
  std::set<std::string> m_seen;
};

}  // namespace

std::variant<ServingSettings, std::vector<IniError>> ParseServingSettings(
    std::string_view text, std::string file, ServingRole role) {
  std::vector<IniError> errors;
  const IniDocument document = ParseIni(text, std::move(file), errors);
  ServingSettings settings =
      ServingSettingsParser(role, errors).Parse(document);
  if (!errors.empty()) {
    std::ranges::stable_sort(errors, {}, &IniError::line);
    return errors;
  }
  return settings;
}

}  // namespace bambooquay
