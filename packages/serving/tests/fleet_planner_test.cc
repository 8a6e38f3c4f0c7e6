// Placement over time.
#include "bambooquay/serving/fleet_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace bambooquay {
namespace {

using std::chrono::seconds;

ServingService EngineService(const std::string& name) {
  ServingService service;
  service.name = ServiceName(name);
  service.engine = EngineProfile{};
  service.engine->weights_mb = 220000.0;
  service.engine->loads_per_second = 2.0;
  for (int i = 0; i < 4; ++i) {
    service.engine->models.push_back(
        {ModelName("m" + std::to_string(i)), 70000.0, seconds(1), 0, 0.0});
  }
  return service;
}

struct Planned {
  Planned() {
    configuration.services = {EngineService("names"), EngineService("texts")};
    Put("a", "names", 1);
    Put("b", "names", 2);
    Put("c", "texts", 3);
    Report();
    // The first plan notices the list; the next may evict.
    Plan({});
    clock.Advance(seconds(3));
    Report();
  }

  void Put(const std::string& id, const std::string& service, int port) {
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = ServiceName(service);
    record.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
    upstreams.Put(record);
  }

  // Every engine holds three of the four models.
  void Report() {
    for (const char* id : {"a", "b", "c"}) {
      EngineReport report;
      for (const int model : {0, 1, *id == 'a' ? 3 : 2}) {
        report.models.push_back({ModelName("m" + std::to_string(model)), {}});
      }
      upstreams.SetReport(UpstreamId(id), report);
    }
  }

  PlacementTargets Plan(const std::vector<ModelDemand>& demand) {
    return planner.Plan(configuration, demand);
  }

  ManualClock clock;
  SeededRandom random{1};
  UpstreamSet upstreams{clock, random, DataCentreId("dc"),
                        [](const Endpoint&) { return true; }};
  FleetPlanner planner{clock, upstreams};
  FleetConfiguration configuration;
};

bool Has(const PlacementTargets& targets, const std::string& id,
         const std::string& model) {
  const auto& target = targets.at(UpstreamId(id));
  return std::ranges::find(target, ModelName(model)) != target.end();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_planner)

// A plan that is being carried out is not taken back when demand pauses, also
// where other services have engines too.
BOOST_AUTO_TEST_CASE(a_plan_is_carried_on_until_its_engine_has_come_to_it) {
  Planned planned;
  const std::vector<ModelDemand> demand = {
      {ServiceName("names"), ModelName("m3"), 30.0, 200000.0}};
  BOOST_TEST(Has(planned.Plan(demand), "b", "m3"));
  planned.clock.Advance(seconds(1));
  planned.Report();
  BOOST_TEST(Has(planned.Plan({}), "b", "m3"));
  // An engine that does not come to it is planned from what it holds.
  planned.clock.Advance(seconds(6));
  planned.Report();
  BOOST_TEST(!Has(planned.Plan({}), "b", "m3"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
