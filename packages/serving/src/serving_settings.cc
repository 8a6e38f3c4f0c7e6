// Settings of the serving processes.
#include "bambooquay/serving/serving_settings.h"

#include <algorithm>
#include <utility>

#include "bambooquay/core/ini_section_reader.h"
#include "bambooquay/runtime/settings_values.h"

namespace bambooquay {
namespace {

constexpr double kMaxSeconds = 86400.0;
constexpr double kMaxRetries = 1e6;
// Names of the duties, as the platform spells them.
constexpr std::string_view kUsageReports = "usage_report";
constexpr std::string_view kServerCounts = "autoscale";
constexpr double kMinDutyRate = 0.1;
constexpr double kMaxDutyRate = 1e6;
// A call of a duty and the renewals before it have to fit in a lease.
constexpr std::int64_t kMinLeaseMs = 2000;
constexpr std::int64_t kMaxLeaseMs = 600000;
constexpr double kBytesPerMb = 1024.0 * 1024.0;
constexpr double kMinMemoryMb = 32.0;
constexpr double kMaxMemoryMb = 1e6;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1'000'000;
constexpr std::int64_t kMaxDataCentres = 1000;

/// Reads the sections of a settings file into ServingSettings.
class ServingSettingsReader {
 public:
  ServingSettingsReader(ServingRole role, ServingSettings& settings)
      : m_role(role), m_settings(settings) {}

  [[nodiscard]] std::vector<std::string> RequiredSections() const {
    std::vector<std::string> required = {"process", "listen", "store"};
    if (m_role == ServingRole::kAgent) {
      required.emplace_back("engine");
    }
    return required;
  }

  /// @returns false if processes of this role have no such section.
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
    } else if (name == "scheduling") {
      ReadScheduling(reader);
    } else if (name == "retries" && m_role == ServingRole::kEntry) {
      ReadRetries(reader);
    } else if (name == "duties" && m_role == ServingRole::kEntry) {
      ReadDuties(reader);
    } else if (name == "limits" && m_role == ServingRole::kEntry) {
      ReadLimits(reader);
    } else if (name == "engine" && m_role == ServingRole::kAgent) {
      ReadEngine(reader);
    } else {
      return false;
    }
    return true;
  }

 private:
  void ReadListen(IniSectionReader& reader) {
    m_settings.peers = ReadEndpoint(reader, "peers");
    m_settings.admin = ReadEndpoint(reader, "admin");
    if (m_role == ServingRole::kEntry) {
      m_settings.callers = ReadEndpoint(reader, "callers");
      m_settings.readiness = ReadEndpoint(reader, "readiness");
      ReadSeeds(reader);
    }
  }

  // Only the host of a seed is used, as all entries use the same port for
  // peers.
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

  void ReadDuties(IniSectionReader& reader) {
    DutySettings duties;
    duties.platform = ReadEndpoint(reader, "address");
    for (const std::string& name : reader.List("names")) {
      if (name == kUsageReports) {
        duties.reports_usage = true;
      } else if (name == kServerCounts) {
        duties.orders_servers = true;
      } else {
        duties.unknown_names.push_back(name);
      }
    }
    duties.call_limit.value =
        reader.Number("calls_per_second", kMinDutyRate, kMaxDutyRate,
                      duties.call_limit.value);
    duties.lease_time = std::chrono::milliseconds(
        reader.Integer("lease_milliseconds", kMinLeaseMs, kMaxLeaseMs,
                       duties.lease_time / std::chrono::milliseconds(1)));
    duties.usage_window =
        FromSeconds(reader.Number("usage_window_seconds", 1.0, kMaxSeconds,
                                  ToSeconds(duties.usage_window)));
    duties.usage_lateness =
        FromSeconds(reader.Number("usage_lateness_seconds", 1.0, kMaxSeconds,
                                  ToSeconds(duties.usage_lateness)));
    m_settings.duties = std::move(duties);
  }

  void ReadLimits(IniSectionReader& reader) {
    ProcessLimits& limits = m_settings.limits;
    limits.memory_bytes = static_cast<std::size_t>(
        reader.Number("memory_mb", kMinMemoryMb, kMaxMemoryMb,
                      static_cast<double>(limits.memory_bytes) / kBytesPerMb) *
        kBytesPerMb);
    limits.descriptors = static_cast<std::size_t>(
        reader.Integer("descriptors", kMinDescriptors, kMaxDescriptors,
                       static_cast<std::int64_t>(std::min(
                           limits.descriptors, std::size_t{kMaxDescriptors}))));
  }

  // A deployment that does not say how many data centres it may lose keeps its
  // scheduling, as does one that may lose any.
  void ReadScheduling(IniSectionReader& reader) {
    const bool says_losses =
        !reader.Text("tolerated_datacentre_losses", "").empty();
    const bool bears_loss =
        !says_losses || reader.Integer("tolerated_datacentre_losses", 0,
                                       kMaxDataCentres, 0) > 0;
    m_settings.predicted_work = reader.Flag("predicted_work", !bears_loss);
  }

  void ReadEngine(IniSectionReader& reader) {
    m_settings.engine = ReadEndpoint(reader, "address");
    m_settings.service = ServiceName(reader.Text("service"));
    m_settings.load_window =
        FromSeconds(reader.Number("load_window_seconds", 0.1, kMaxSeconds,
                                  ToSeconds(m_settings.load_window)));
  }

  ServingRole m_role;
  ServingSettings& m_settings;
};

}  // namespace

std::variant<ServingSettings, std::vector<IniError>> ParseServingSettings(
    std::string_view text, std::string file, ServingRole role) {
  return ParseSettings<ServingSettingsReader, ServingSettings>(
      text, std::move(file), role);
}

}  // namespace bambooquay
