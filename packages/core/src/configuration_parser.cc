// Parses and validates the configuration file: first each section and key, then
// names and references, then whether the models fit the upstreams' memory.
#include <algorithm>
#include <map>
#include <utility>

#include "bambooquay/core/configuration.h"
#include "bambooquay/core/ini_section_reader.h"

namespace bambooquay {
namespace {

constexpr double kMaxTokensPerSecond = 1e9;
constexpr double kMaxBurstTokens = 1e12;
constexpr double kMaxWeight = 1e6;
constexpr std::int64_t kMaxMemoryMib = 1LL << 30;
constexpr std::int64_t kMaxConcurrency = 1 << 20;
constexpr double kMaxPaceMs = 60'000.0;
constexpr double kDefaultPaceMs = 30.0;
constexpr double kMillisecondsPerSecond = 1000.0;

/// Builds a Configuration from INI sections and collects all errors.
class ConfigurationBuilder {
 public:
  explicit ConfigurationBuilder(std::vector<IniError>& errors)
      : m_errors(errors) {}

  Configuration Build(const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      ReadSection(document.file, section);
    }
    CheckRequiredSections(document);
    CheckReferences(document.file);
    CheckMemory(document.file);
    return std::move(m_configuration);
  }

 private:
  void ReadSection(const std::string& file, const IniSection& section) {
    IniSectionReader reader(file, section, m_errors);
    const auto space = section.name.find(' ');
    const std::string kind = section.name.substr(0, space);
    const std::string name = space == std::string::npos
                                 ? std::string()
                                 : section.name.substr(space + 1);
    if (kind != "fleet" && !IsValidName(name)) {
      reader.AddError("", "expected '[" + kind +
                              " NAME]' with letters, digits, '.', '_' or '-'");
      return;
    }
    if (!m_section_lines.emplace(section.name, section.line).second) {
      reader.AddError("", "the section is given twice");
      return;
    }
    for (const IniEntry& entry : section.entries) {
      m_key_lines.emplace(std::pair(section.name, entry.key), entry.line);
    }
    if (ReadSectionOfKind(kind, name, reader)) {
      reader.RejectUnknownKeys();
    }
  }

  bool ReadSectionOfKind(const std::string& kind, const std::string& name,
                         IniSectionReader& reader) {
    if (kind == "fleet") {
      m_configuration.fleet = reader.Text("name");
    } else if (kind == "datacentre") {
      m_configuration.data_centres.push_back(
          {DataCentreId(name), RegionId(reader.Text("region"))});
    } else if (kind == "organisation") {
      ReadOrganisation(name, reader);
    } else if (kind == "model") {
      ReadModel(name, reader);
    } else if (kind == "service") {
      ReadService(name, reader);
    } else if (kind == "upstream") {
      ReadUpstream(name, reader);
    } else {
      reader.AddError("",
                      "unknown section; expected fleet, datacentre, "
                      "organisation, model, service or upstream");
      return false;
    }
    return true;
  }

  void ReadOrganisation(const std::string& name, IniSectionReader& reader) {
    OrganisationSettings settings;
    settings.id = OrganisationId(name);
    settings.rate = {reader.Number("rate", 0.0, kMaxTokensPerSecond)};
    settings.burst = {reader.Number("burst", 1.0, kMaxBurstTokens)};
    settings.weight = reader.Number("weight", 1e-3, kMaxWeight, 1.0);
    m_configuration.organisations.push_back(std::move(settings));
  }

  void ReadModel(const std::string& name, IniSectionReader& reader) {
    ModelSettings settings;
    settings.name = ModelName(name);
    settings.memory = {reader.Integer("memory_mib", 1, kMaxMemoryMib, 0)};
    if (settings.memory.count == 0) {
      reader.AddError("memory_mib", "a number is required");
    }
    for (std::string& adapter : reader.List("adapters")) {
      settings.adapters.emplace_back(std::move(adapter));
    }
    m_configuration.models.push_back(std::move(settings));
  }

  void ReadService(const std::string& name, IniSectionReader& reader) {
    ServiceSettings settings;
    settings.name = ServiceName(name);
    settings.kind = reader.Choice("kind", {"models", "plain"}) == "plain"
                        ? ServiceKind::kPlain
                        : ServiceKind::kModels;
    settings.is_open = reader.Flag("open", false);
    for (std::string& dependency : reader.List("depends_on")) {
      settings.depends_on.emplace_back(std::move(dependency));
    }
    if (settings.kind == ServiceKind::kPlain) {
      settings.route = reader.Text("route", name);
      settings.idempotent_methods = reader.List("idempotent_methods");
      if (settings.idempotent_methods.empty()) {
        settings.idempotent_methods = {"GET", "HEAD"};
      }
    } else {
      for (std::string& model : reader.List("models")) {
        settings.models.emplace_back(std::move(model));
      }
      if (settings.models.empty()) {
        reader.AddError("models", "a service of models lists at least one");
      }
    }
    m_configuration.services.push_back(std::move(settings));
  }

  void ReadUpstream(const std::string& name, IniSectionReader& reader) {
    UpstreamSettings settings;
    settings.id = UpstreamId(name);
    settings.service = ServiceName(reader.Text("service"));
    settings.data_centre = DataCentreId(reader.Text("datacentre"));
    settings.memory = {reader.Integer("memory_mib", 0, kMaxMemoryMib, 0)};
    settings.warm_concurrency = static_cast<std::uint32_t>(
        reader.Integer("warm_concurrency", 1, kMaxConcurrency, 16));
    settings.cold_concurrency = static_cast<std::uint32_t>(
        reader.Integer("cold_concurrency", 1, kMaxConcurrency, 1));
    if (settings.cold_concurrency > settings.warm_concurrency) {
      reader.AddError("cold_concurrency", "exceeds warm_concurrency");
    }
    settings.expected_pace = FromSeconds(
        reader.Number("expected_pace_ms", 0.01, kMaxPaceMs, kDefaultPaceMs) /
        kMillisecondsPerSecond);
    settings.checks_fencing = reader.Flag("checks_fencing", false);
    m_configuration.upstreams.push_back(std::move(settings));
  }

  void CheckRequiredSections(const IniDocument& document) {
    if (m_section_lines.find("fleet") == m_section_lines.end()) {
      m_errors.push_back(
          {document.file, 0, "fleet", "name", "the section is missing"});
    }
    if (m_configuration.services.empty()) {
      m_errors.push_back(
          {document.file, 0, "service", "", "no service is listed"});
    }
  }

  void CheckReferences(const std::string& file) {
    const Configuration& configuration = m_configuration;
    for (const ServiceSettings& service : configuration.services) {
      const std::string section = "service " + service.name.value();
      for (const ServiceName& name : service.depends_on) {
        Require(configuration.Find(name) != nullptr, file, section,
                "depends_on", "no service '" + name.value() + "' is listed");
        Require(name != service.name, file, section, "depends_on",
                "a service cannot depend on itself");
      }
      for (const ModelName& name : service.models) {
        Require(configuration.Find(name) != nullptr, file, section, "models",
                "no model '" + name.value() + "' is listed");
        Require(configuration.ServiceOf(name) == &service, file, section,
                "models",
                "model '" + name.value() + "' belongs to two services");
      }
    }
    for (const UpstreamSettings& upstream : configuration.upstreams) {
      const std::string section = "upstream " + upstream.id.value();
      Require(configuration.Find(upstream.service) != nullptr, file, section,
              "service",
              "no service '" + upstream.service.value() + "' is listed");
      Require(configuration.Find(upstream.data_centre) != nullptr, file,
              section, "datacentre",
              "no datacentre '" + upstream.data_centre.value() + "' is listed");
    }
    CheckModelNames(file);
    CheckRoutes(file);
  }

  void CheckModelNames(const std::string& file) {
    std::map<std::string, std::string> owners;
    for (const ModelSettings& model : m_configuration.models) {
      const std::string section = "model " + model.name.value();
      Require(m_configuration.ServiceOf(model.name) != nullptr, file, section,
              "", "no service lists this model");
      Require(owners.emplace(model.name.value(), section).second, file, section,
              "", "the name is already that of an adapter");
      for (const AdapterName& adapter : model.adapters) {
        Require(owners.emplace(adapter.value(), section).second, file, section,
                "adapters", "the name '" + adapter.value() + "' is used twice");
      }
    }
  }

  void CheckRoutes(const std::string& file) {
    for (const ServiceSettings& service : m_configuration.services) {
      if (service.kind != ServiceKind::kPlain) {
        continue;
      }
      const std::string section = "service " + service.name.value();
      Require(service.route != "v1" && IsValidName(service.route), file,
              section, "route", "'" + service.route + "' is not a free route");
      Require(m_configuration.ServiceForRoute(service.route) == &service, file,
              section, "route",
              "the route '" + service.route + "' is used twice");
    }
  }

  // Every service needs an upstream, as nothing could serve its calls
  // otherwise. Each model must fit the largest upstream of its service, and all
  // models together must fit the service's upstreams.
  void CheckMemory(const std::string& file) {
    for (const ServiceSettings& service : m_configuration.services) {
      const std::string section = "service " + service.name.value();
      MebiBytes largest_upstream;
      MebiBytes total;
      bool has_upstream = false;
      for (const UpstreamSettings& upstream : m_configuration.upstreams) {
        if (upstream.service == service.name) {
          largest_upstream = std::max(largest_upstream, upstream.memory);
          total += upstream.memory;
          has_upstream = true;
        }
      }
      Require(has_upstream, file, section, "",
              "no upstream serves this service");
      MebiBytes needed;
      for (const ModelName& name : service.models) {
        const ModelSettings* model = m_configuration.Find(name);
        if (model == nullptr) {
          continue;
        }
        needed += model->memory;
        Require(model->memory <= largest_upstream, file,
                "model " + name.value(), "memory_mib",
                "the model fits on no upstream of service '" +
                    service.name.value() + "'; the largest has " +
                    std::to_string(largest_upstream.count) + " MiB");
      }
      Require(needed <= total, file, section, "models",
              "the models need " + std::to_string(needed.count) +
                  " MiB together, the upstreams have " +
                  std::to_string(total.count) + " MiB");
    }
  }

  static bool IsValidName(std::string_view name) {
    constexpr std::string_view kAllowedCharacters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !name.empty() &&
           name.find_first_not_of(kAllowedCharacters) == std::string_view::npos;
  }

  // Adds an error at the line of the key, or of the section, unless `condition`
  // holds.
  void Require(bool condition, const std::string& file,
               const std::string& section, std::string key,
               std::string description) {
    if (condition) {
      return;
    }
    const auto section_line = m_section_lines.find(section);
    const auto key_line = m_key_lines.find({section, key});
    std::size_t line = 0;
    if (key_line != m_key_lines.end()) {
      line = key_line->second;
    } else if (section_line != m_section_lines.end()) {
      line = section_line->second;
    }
    m_errors.push_back(
        {file, line, section, std::move(key), std::move(description)});
  }

  std::vector<IniError>& m_errors;
  Configuration m_configuration;
  /// Line numbers by section.
  std::map<std::string, std::size_t> m_section_lines;
  /// Line numbers by section and key.
  std::map<std::pair<std::string, std::string>, std::size_t> m_key_lines;
};

}  // namespace

std::variant<Configuration, ConfigurationErrors> ParseConfiguration(
    std::string_view text, std::string file) {
  ConfigurationErrors errors;
  const IniDocument document = ParseIni(text, std::move(file), errors);
  Configuration configuration = ConfigurationBuilder(errors).Build(document);
  if (!errors.empty()) {
    std::ranges::stable_sort(errors, {}, &IniError::line);
    return errors;
  }
  return configuration;
}

}  // namespace bambooquay
