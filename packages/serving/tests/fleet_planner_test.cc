// Placement that is planned repeatedly.
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

struct Fixture {
  Fixture() {
    configuration.services = {EngineService("names"), EngineService("texts")};
    Put("a", "names", 1);
    Put("b", "names", 2);
    Put("c", "texts", 3);
    Report();
    // The first plan records the list of engines. Evictions are allowed once
    // the list has not changed for two seconds.
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

  // Every engine has three of the four models loaded; only "a" has m3.
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

bool TargetHas(const PlacementTargets& targets, const std::string& id,
               const std::string& model) {
  const auto& target = targets.at(UpstreamId(id));
  return std::ranges::find(target, ModelName(model)) != target.end();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_planner)

// A plan must stay in force while its engine carries it out. Otherwise a short
// pause in demand would cancel it. The plans for engines of another service
// must not discard it either.
BOOST_AUTO_TEST_CASE(a_plan_stays_in_force_until_its_engine_reaches_it) {
  Fixture fixture;
  const std::vector<ModelDemand> demand = {
      {ServiceName("names"), ModelName("m3"), 30.0, 200000.0}};
  BOOST_TEST(TargetHas(fixture.Plan(demand), "b", "m3"));
  fixture.clock.Advance(seconds(1));
  fixture.Report();
  BOOST_TEST(TargetHas(fixture.Plan({}), "b", "m3"));
  // If the engine does not reach it in time, planning starts again from the
  // models that it has loaded.
  fixture.clock.Advance(seconds(6));
  fixture.Report();
  BOOST_TEST(!TargetHas(fixture.Plan({}), "b", "m3"));
}

// Load: model m3 has less demand in tokens than m0, but engines read prompts of
// m0 five times as fast: m3 needs the second replica.
BOOST_AUTO_TEST_CASE(demand_counts_by_the_work_that_it_takes) {
  const auto demand = [](double rate_of_m0) {
    const ServiceName names("names");
    return std::vector<ModelDemand>{
        {names, ModelName("m0"), 10.0, 150000.0, rate_of_m0},
        {names, ModelName("m1"), 10.0, 70000.0, 40.0},
        {names, ModelName("m2"), 10.0, 80000.0, 40.0},
        {names, ModelName("m3"), 10.0, 120000.0, 40.0}};
  };
  Fixture as_demanded;
  const PlacementTargets same_rates = as_demanded.Plan(demand(40.0));
  BOOST_TEST(TargetHas(same_rates, "b", "m0"));
  BOOST_TEST(!TargetHas(same_rates, "b", "m3"));
  Fixture by_work;
  const PlacementTargets faster = by_work.Plan(demand(200.0));
  BOOST_TEST(!TargetHas(faster, "b", "m0"));
  BOOST_TEST(TargetHas(faster, "b", "m3"));
}

// Load: models that take 4.2 s to load, and demand that moves on meanwhile. A
// model that has just been loaded must not be unloaded for that.
BOOST_AUTO_TEST_CASE(a_plan_stays_in_force_for_as_long_as_loads_take) {
  Fixture fixture;
  for (ServingModel& model :
       fixture.configuration.services.front().engine->models) {
    model.load_time = std::chrono::milliseconds(4200);
  }
  const std::vector<ModelDemand> demand = {
      {ServiceName("names"), ModelName("m3"), 30.0, 200000.0}};
  BOOST_TEST(TargetHas(fixture.Plan(demand), "b", "m3"));
  fixture.clock.Advance(seconds(10));
  fixture.Report();
  BOOST_TEST(TargetHas(fixture.Plan({}), "b", "m3"));
  fixture.clock.Advance(seconds(2));
  fixture.Report();
  BOOST_TEST(!TargetHas(fixture.Plan({}), "b", "m3"));
}

// Load: a server that is given up has the only replica of a model. It still
// serves for a while, in which the model is loaded elsewhere.
BOOST_AUTO_TEST_CASE(
    models_of_an_engine_that_is_emptied_are_planned_elsewhere) {
  Fixture fixture;
  fixture.Put("d", "names", 4);
  fixture.upstreams.SetReport(UpstreamId("d"), {});
  UpstreamRecord leaving = fixture.upstreams.Find(UpstreamId("a"))->record;
  leaving.draining = true;
  fixture.upstreams.Put(leaving);
  const PlacementTargets targets = fixture.Plan({});
  BOOST_TEST(!targets.contains(UpstreamId("a")));
  for (const char* model : {"m0", "m1", "m2", "m3"}) {
    BOOST_TEST(
        (TargetHas(targets, "b", model) || TargetHas(targets, "d", model)),
        model);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
