// What the check of a configuration finds, and what differs between versions.
#include "bambooquay/serving/configuration_check.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Field = ConfigurationField;

/// A configuration without findings.
FleetConfiguration Sound() {
  FleetConfiguration configuration;
  configuration.version = 4;
  ServingRoute route;
  route.name = "chat";
  route.host = "h";
  route.prefix = "/chat/";
  route.kind = CallKind::kStream;
  route.timeout = seconds(4);
  route.target_latency = milliseconds(800);
  route.max_pause = milliseconds(500);
  route.resumable = true;
  route.services = {{ServiceName("names"), 1.0}};
  configuration.routes = {route};
  ServingService service;
  service.name = ServiceName("names");
  service.engine = EngineProfile{};
  service.engine->slots = 8;
  service.engine->weights_mb = 100.0;
  service.engine->adapter_slots = 2;
  service.engine->models = {{ModelName("m1"), 70.0, seconds(1), 3, 10.0}};
  service.scaling = ServerScaling{1, 4, seconds(9)};
  configuration.services = {service};
  ServingOrganisation organisation;
  organisation.name = OrganisationId("clerks");
  organisation.keys = {KeyDigest("0123456789abcdef")};
  organisation.default_cost = {10.0};
  organisation.rate = {100.0};
  organisation.burst = {200.0};
  configuration.organisations = {organisation};
  return configuration;
}

/// One fault, and where it has to be found.
struct Fault {
  std::string name;
  std::function<void(FleetConfiguration&)> make;
  Field field{};
  std::string item;
};

std::vector<Fault> Faults() {
  return {
      {"shadowed route",
       [](auto& c) {
         c.routes.push_back(c.routes[0]);
         c.routes[1].name = "later";
         c.routes[1].host = "H:80";
       },
       Field::kEntry, ""},
      {"prefix", [](auto& c) { c.routes[0].prefix = "/chat"; }, Field::kPrefix,
       ""},
      {"host", [](auto& c) { c.routes[0].host = ""; }, Field::kHost, ""},
      {"timeout", [](auto& c) { c.routes[0].timeout = milliseconds(700); },
       Field::kTimeout, ""},
      {"pause", [](auto& c) { c.routes[0].max_pause = seconds(5); },
       Field::kMaxPause, ""},
      {"resumable", [](auto& c) { c.routes[0].kind = CallKind::kIdempotent; },
       Field::kResumable, ""},
      {"missing service",
       [](auto& c) {
         c.routes[0].services.push_back({ServiceName("texts"), 1.0});
       },
       Field::kServices, "texts"},
      {"weight",
       [](auto& c) {
         c.services.push_back(c.services[0]);
         c.services[1].name = ServiceName("texts");
         c.routes[0].services.push_back({ServiceName("texts"), 0.0});
       },
       Field::kServices, "texts"},
      {"unused service",
       [](auto& c) {
         c.services.push_back(c.services[0]);
         c.services[1].name = ServiceName("texts");
       },
       Field::kEntry, ""},
      {"same name", [](auto& c) { c.services.push_back(c.services[0]); },
       Field::kName, ""},
      {"slots", [](auto& c) { c.services[0].engine->slots = 0; }, Field::kSlots,
       ""},
      {"large model",
       [](auto& c) { c.services[0].engine->models[0].weights_mb = 81.0; },
       Field::kModels, "m1"},
      {"adapters", [](auto& c) { c.services[0].engine->adapter_slots = 0; },
       Field::kModels, "m1"},
      {"scaled plain service", [](auto& c) { c.services[0].engine.reset(); },
       Field::kScaling, ""},
      {"scaled to nothing",
       [](auto& c) { c.services[0].scaling = ServerScaling{}; },
       Field::kScaling, ""},
      {"no key", [](auto& c) { c.organisations[0].keys.clear(); }, Field::kKeys,
       ""},
      {"same key",
       [](auto& c) {
         c.organisations.push_back(c.organisations[0]);
         c.organisations[1].name = OrganisationId("others");
       },
       Field::kKeys, ""},
      {"burst", [](auto& c) { c.organisations[0].burst = {9.0}; },
       Field::kBurst, ""},
      {"burst without rate", [](auto& c) { c.organisations[0].rate = {0.0}; },
       Field::kBurst, ""}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_check)

BOOST_AUTO_TEST_CASE(a_sound_configuration_has_no_findings) {
  BOOST_TEST(CheckConfiguration(Sound()).empty());
}

BOOST_AUTO_TEST_CASE(each_fault_is_found_at_its_position_alone) {
  for (const Fault& fault : Faults()) {
    FleetConfiguration configuration = Sound();
    fault.make(configuration);
    const auto findings = CheckConfiguration(configuration);
    BOOST_REQUIRE_MESSAGE(findings.size() == 1U,
                          fault.name << ": " << findings.size());
    BOOST_TEST((findings[0].position.field == fault.field), fault.name);
    BOOST_TEST(findings[0].position.item == fault.item, fault.name);
  }
}

BOOST_AUTO_TEST_CASE(all_faults_are_found_at_once) {
  FleetConfiguration configuration = Sound();
  configuration.routes[0].timeout = Duration::zero();
  configuration.organisations[0].keys.clear();
  // No time at all is shorter than the objective and than the pause.
  BOOST_TEST(CheckConfiguration(configuration).size() == 4U);
}

BOOST_AUTO_TEST_CASE(versions_that_are_the_same_do_not_differ) {
  BOOST_TEST(CompareConfigurations(Sound(), Sound()).empty());
}

BOOST_AUTO_TEST_CASE(differences_have_a_position_and_both_values) {
  FleetConfiguration after = Sound();
  after.routes[0].timeout = seconds(5);
  after.services[0].scaling.reset();
  after.services[0].engine->models[0].load_time = seconds(2);
  after.organisations[0].name = OrganisationId("registrars");
  const auto findings = CompareConfigurations(Sound(), after);
  BOOST_REQUIRE(findings.size() == 5U);
  BOOST_TEST(findings[0].description == "4 s -> 5 s");
  BOOST_TEST((findings[1].position.field == Field::kModels));
  BOOST_TEST(findings[1].position.item == "m1");
  BOOST_TEST(findings[2].description == "removed: 1 to 4, boot 9 s");
  BOOST_TEST(findings[3].position.entry == "clerks");
  BOOST_TEST(findings[3].description == "removed");
  BOOST_TEST(findings[4].description == "added");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
