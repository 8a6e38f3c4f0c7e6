// Checks a configuration before it is put in force.
#include "bambooquay/serving/configuration_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "bambooquay/serving/route_table.h"

namespace bambooquay {
namespace {

using Field = ConfigurationField;
using Section = ConfigurationSection;
using Findings = std::vector<ConfigurationFinding>;

std::string ToText(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

std::string ToText(Duration duration) {
  return ToText(ToSeconds(duration)) + " s";
}

/// Collects the findings on one entry.
class EntryCheck {
 public:
  EntryCheck(Section section, std::string entry, Findings& findings)
      : m_section(section), m_entry(std::move(entry)), m_findings(findings) {}

  void Require(bool is_satisfied, Field field, const std::string& description,
               const std::string& item = "") {
    if (!is_satisfied) {
      m_findings.push_back({{m_section, m_entry, field, item}, description});
    }
  }

 private:
  Section m_section;
  std::string m_entry;
  Findings& m_findings;
};

/// Finds names that two entries of a section have.
template <typename Entries, typename Name>
void CheckNames(Section section, const Entries& entries, Name name,
                Findings& findings) {
  std::set<std::string> names;
  for (const auto& entry : entries) {
    const std::string text = name(entry);
    EntryCheck(section, text, findings)
        .Require(names.insert(text).second, Field::kName,
                 "two entries have this name");
  }
}

std::string RouteName(const ServingRoute& route) { return route.name; }
template <typename Entry>
std::string NameOf(const Entry& entry) {
  return entry.name.value();
}

class Checker {
 public:
  explicit Checker(const FleetConfiguration& configuration)
      : m_configuration(configuration), m_table(configuration) {}

  Findings Run() {
    CheckNames(Section::kRoutes, m_configuration.routes, RouteName, m_findings);
    CheckNames(Section::kServices, m_configuration.services,
               NameOf<ServingService>, m_findings);
    CheckNames(Section::kOrganisations, m_configuration.organisations,
               NameOf<ServingOrganisation>, m_findings);
    std::ranges::for_each(m_configuration.routes,
                          [this](const auto& route) { CheckRoute(route); });
    std::ranges::for_each(m_configuration.services,
                          [this](const auto& item) { CheckService(item); });
    std::ranges::for_each(
        m_configuration.organisations,
        [this](const auto& organisation) { CheckOrganisation(organisation); });
    std::ranges::sort(m_findings);
    return std::move(m_findings);
  }

 private:
  void CheckRoute(const ServingRoute& route) {
    EntryCheck check(Section::kRoutes, route.name, m_findings);
    const bool has_slashes =
        route.prefix.starts_with('/') && route.prefix.ends_with('/');
    check.Require(has_slashes, Field::kPrefix,
                  "never matches: it does not begin and end with a slash");
    check.Require(
        !has_slashes || m_table.FindRoute(route.host, route.prefix) == &route,
        Field::kEntry, "never matches: a later route has this host and prefix");
    check.Require(!route.host.empty(), Field::kHost, "never matches: empty");
    check.Require(route.timeout > Duration::zero(), Field::kTimeout,
                  "no time for a response");
    check.Require(
        route.target_latency <= route.timeout, Field::kTimeout,
        "shorter than the latency objective, " + ToText(route.target_latency));
    check.Require(route.max_pause <= route.timeout, Field::kMaxPause,
                  "longer than the timeout, " + ToText(route.timeout));
    check.Require(route.kind == CallKind::kStream || !route.resumable,
                  Field::kResumable, "no effect: only streams are resumed");
    CheckShares(route, check);
  }

  void CheckShares(const ServingRoute& route, EntryCheck& check) {
    const auto has_weight = [](const ServiceShare& share) {
      return share.weight > 0.0;
    };
    check.Require(std::ranges::any_of(route.services, has_weight),
                  Field::kServices, "no service has a weight above 0");
    for (const ServiceShare& share : route.services) {
      const std::string& name = share.service.value();
      check.Require(m_table.FindService(share.service) != nullptr,
                    Field::kServices, "no such service", name);
      check.Require(has_weight(share), Field::kServices,
                    "gets no calls: its weight is not above 0", name);
    }
  }

  void CheckService(const ServingService& service) {
    EntryCheck check(Section::kServices, service.name.value(), m_findings);
    const auto is_used = [&](const ServingRoute& route) {
      return std::ranges::find(route.services, service.name,
                               &ServiceShare::service) != route.services.end();
    };
    check.Require(std::ranges::any_of(m_configuration.routes, is_used),
                  Field::kEntry, "no route leads to it");
    check.Require(!service.scaling.has_value() || service.engine.has_value(),
                  Field::kScaling,
                  "no effect: the load of a plain service is not reported");
    if (service.scaling.has_value()) {
      check.Require(service.scaling->max_count > 0, Field::kScaling,
                    "no effect: one server is kept in each data centre");
    }
    if (service.engine.has_value()) {
      CheckEngine(*service.engine, check);
    }
  }

  static void CheckEngine(const EngineProfile& engine, EntryCheck& check) {
    check.Require(engine.slots > 0, Field::kSlots, "no call can run");
    const double memory_mb = engine.weights_mb - engine.AdapterReserveMb();
    std::set<ModelName> names;
    for (const ServingModel& model : engine.models) {
      const std::string& name = model.name.value();
      check.Require(names.insert(model.name).second, Field::kModels,
                    "two models have this name", name);
      check.Require(model.weights_mb <= memory_mb, Field::kModels,
                    "fits no engine: " + ToText(model.weights_mb) + " of " +
                        ToText(memory_mb) + " MB without adapters",
                    name);
      check.Require(model.adapter_count == 0 || engine.adapter_slots > 0,
                    Field::kModels, "its adapters have no place", name);
    }
  }

  void CheckOrganisation(const ServingOrganisation& organisation) {
    EntryCheck check(Section::kOrganisations, organisation.name.value(),
                     m_findings);
    check.Require(!organisation.keys.empty(), Field::kKeys,
                  "no call can be its own: it has no key");
    for (const KeyDigest& key : organisation.keys) {
      check.Require(m_table.FindOrganisation(key) == &organisation,
                    Field::kKeys, "a later organisation has the same key");
    }
    const bool is_limited = organisation.rate.value > 0.0;
    check.Require(
        !is_limited || organisation.burst >= organisation.default_cost,
        Field::kBurst,
        "below the cost of one call, " +
            ToText(organisation.default_cost.count));
    check.Require(is_limited || organisation.burst.count <= 0.0, Field::kBurst,
                  "no effect: there is no limit without a rate");
  }

  const FleetConfiguration& m_configuration;
  RouteTable m_table;
  Findings m_findings;
};

// ---- differences ----

/// The text of each field of an entry.
using Fields = std::map<std::pair<Field, std::string>, std::string>;
/// The fields of each entry.
using Entries = std::map<std::pair<Section, std::string>, Fields>;

std::string ToText(CallKind kind) {
  switch (kind) {
    case CallKind::kIdempotent:
      return "idempotent";
    case CallKind::kNonIdempotent:
      return "not idempotent";
    default:
      return "stream";
  }
}

std::string YesOrNo(bool value) { return value ? "yes" : "no"; }

Fields Describe(const ServingRoute& route) {
  Fields fields = {
      {{Field::kHost, ""}, route.host},
      {{Field::kPrefix, ""}, route.prefix},
      {{Field::kKind, ""}, ToText(route.kind)},
      {{Field::kTimeout, ""}, ToText(route.timeout)},
      {{Field::kTargetLatency, ""}, ToText(route.target_latency)},
      {{Field::kMaxPause, ""}, ToText(route.max_pause)},
      {{Field::kPriority, ""}, std::to_string(route.priority)},
      {{Field::kMaxAttempts, ""}, std::to_string(route.max_attempts)},
      {{Field::kAuthExempt, ""}, YesOrNo(route.auth_exempt)},
      {{Field::kResumable, ""}, YesOrNo(route.resumable)}};
  for (const ServiceShare& share : route.services) {
    fields[{Field::kServices, share.service.value()}] =
        "weight " + ToText(share.weight);
  }
  return fields;
}

Fields Describe(const ServingService& service) {
  Fields fields = {
      {{Field::kMaxConnections, ""}, std::to_string(service.max_connections)},
      {{Field::kColdRate, ""}, ToText(service.cold_requests_per_second)}};
  if (service.scaling.has_value()) {
    const ServerScaling& scaling = *service.scaling;
    fields[{Field::kScaling, ""}] = std::to_string(scaling.min_count) + " to " +
                                    std::to_string(scaling.max_count) +
                                    ", boot " + ToText(scaling.boot_time);
  }
  if (!service.engine.has_value()) {
    return fields;
  }
  const EngineProfile& engine = *service.engine;
  fields[{Field::kSlots, ""}] = std::to_string(engine.slots);
  fields[{Field::kKvTokens, ""}] = ToText(engine.kv_tokens);
  fields[{Field::kEngineMemory, ""}] = ToText(engine.weights_mb) + " MB";
  fields[{Field::kAdapterSlots, ""}] = std::to_string(engine.adapter_slots);
  fields[{Field::kLoadRate, ""}] = ToText(engine.loads_per_second);
  for (const ServingModel& model : engine.models) {
    fields[{Field::kModels, model.name.value()}] =
        ToText(model.weights_mb) + " MB, load " + ToText(model.load_time) +
        ", " + std::to_string(model.adapter_count) + " adapters of " +
        ToText(model.adapter_mb) + " MB";
  }
  return fields;
}

Fields Describe(const ServingOrganisation& organisation) {
  Fields fields = {
      {{Field::kPriority, ""},
       organisation.priority.has_value()
           ? std::to_string(*organisation.priority)
           : "that of the route"},
      {{Field::kDefaultCost, ""}, ToText(organisation.default_cost.count)},
      {{Field::kRate, ""}, ToText(organisation.rate.value)},
      {{Field::kBurst, ""}, ToText(organisation.burst.count)}};
  for (const KeyDigest& key : organisation.keys) {
    // Enough to tell keys apart; the digest as a whole is nobody's business.
    constexpr std::size_t kShownDigits = 8;
    fields[{Field::kKeys, key.value().substr(0, kShownDigits)}] = "a key";
  }
  return fields;
}

Entries Describe(const FleetConfiguration& configuration) {
  Entries entries;
  for (const ServingRoute& route : configuration.routes) {
    entries[{Section::kRoutes, route.name}] = Describe(route);
  }
  for (const ServingService& service : configuration.services) {
    entries[{Section::kServices, service.name.value()}] = Describe(service);
  }
  for (const ServingOrganisation& organisation : configuration.organisations) {
    entries[{Section::kOrganisations, organisation.name.value()}] =
        Describe(organisation);
  }
  return entries;
}

/// Calls `report(key, value before, value after)` with null for no value, for
/// each key that either map has.
template <typename Map, typename Report>
void ForEachPair(const Map& before, const Map& after, Report report) {
  for (const auto& [key, value] : before) {
    const auto found = after.find(key);
    report(key, &value, found == after.end() ? nullptr : &found->second);
  }
  for (const auto& [key, value] : after) {
    if (!before.contains(key)) {
      report(key, static_cast<decltype(&value)>(nullptr), &value);
    }
  }
}

}  // namespace

Findings CheckConfiguration(const FleetConfiguration& configuration) {
  return Checker(configuration).Run();
}

Findings CompareConfigurations(const FleetConfiguration& before,
                               const FleetConfiguration& after) {
  Findings findings;
  const auto compare_fields = [&](const auto& entry, const Fields& old_fields,
                                  const Fields& new_fields) {
    ForEachPair(old_fields, new_fields,
                [&](const auto& field, const std::string* old_text,
                    const std::string* new_text) {
                  if (old_text != nullptr && new_text != nullptr &&
                      *old_text == *new_text) {
                    return;
                  }
                  std::string change =
                      old_text == nullptr   ? "added: " + *new_text
                      : new_text == nullptr ? "removed: " + *old_text
                                            : *old_text + " -> " + *new_text;
                  findings.push_back(
                      {{entry.first, entry.second, field.first, field.second},
                       std::move(change)});
                });
  };
  ForEachPair(
      Describe(before), Describe(after),
      [&](const auto& entry, const Fields* old_fields,
          const Fields* new_fields) {
        if (old_fields != nullptr && new_fields != nullptr) {
          compare_fields(entry, *old_fields, *new_fields);
          return;
        }
        findings.push_back({{entry.first, entry.second, Field::kEntry, ""},
                            old_fields == nullptr ? "added" : "removed"});
      });
  std::ranges::sort(findings);
  return findings;
}

}  // namespace bambooquay
