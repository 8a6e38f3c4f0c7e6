// Tests of the demand that outlasts a restart of all entries.
#include "bambooquay/serving/demand_memory.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "bambooquay/serving/placement_planner.h"
#include "support/fake_table.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ModelDemand Demand(const char* model, double requests) {
  return {ServiceName("s"), ModelName(model), requests, requests * 100};
}

struct MemoryFixture {
  MemoryFixture() {
    clock.Advance(seconds(100));
    static_cast<void>(memory.Complete({}));
    loop.RunUntil([] { return false; }, milliseconds(20));
  }
  EventLoop loop;
  testing::FakeTable table{loop};
  ManualClock clock;
  DemandMemory memory{clock, table};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(demand_memory)

// Load: all machines lose power while model "b" is in demand. Each engine has
// copies of "a" and "b" on its disk and can load one of them at a time.
BOOST_AUTO_TEST_CASE(the_model_in_demand_before_a_power_failure_is_first) {
  EventLoop loop;
  testing::FakeTable table(loop);
  table.Put("demand", "recent", EncodeDemand({Demand("b", 30)}));
  ManualClock clock;
  clock.Advance(seconds(100));
  DemandMemory memory(clock, table);
  static_cast<void>(memory.Complete({}));
  loop.RunUntil([] { return false; }, milliseconds(20));
  EngineProfile profile;
  profile.weights_mb = 100;
  profile.models = {{ModelName("a"), 50, {}, 0, 0},
                    {ModelName("b"), 50, {}, 0, 0}};
  const std::vector<ModelName> copies = {ModelName("a"), ModelName("b")};
  const PlacementTargets targets = PlanPlacement(
      profile,
      {{UpstreamId("e-1"), DataCentreId("dc"), {}, {}, true, copies},
       {UpstreamId("e-2"), DataCentreId("dc"), {}, {}, true, copies}},
      memory.Complete({}), {});
  for (const auto& [id, models] : targets) {
    BOOST_REQUIRE(!models.empty());
    BOOST_TEST(models.front().value() == "b");
  }
}

BOOST_AUTO_TEST_CASE(measured_demand_replaces_the_stored_one) {
  EventLoop loop;
  testing::FakeTable table(loop);
  table.Put("demand", "recent", EncodeDemand({Demand("b", 30)}));
  ManualClock clock;
  clock.Advance(seconds(100));
  DemandMemory memory(clock, table);
  static_cast<void>(memory.Complete({}));
  loop.RunUntil([] { return false; }, milliseconds(20));
  const auto completed = memory.Complete({Demand("b", 10), Demand("b", 5)});
  BOOST_REQUIRE(completed.size() == 3U);
  BOOST_TEST(completed.back().requests_per_second == 15.0);
  clock.Advance(seconds(6));
  BOOST_TEST(memory.Complete({Demand("b", 1)}).size() == 1U);
}

// A planner that has just started has measured next to nothing, and must not
// replace what its predecessor stored.
BOOST_AUTO_TEST_CASE(demand_is_stored_only_after_it_has_been_measured) {
  MemoryFixture fixture;
  const std::uint64_t version = fixture.table.version;
  fixture.memory.Save({Demand("a", 1)});
  fixture.loop.RunUntil([] { return false; }, milliseconds(20));
  BOOST_TEST(fixture.table.version == version);
  fixture.clock.Advance(seconds(6));
  fixture.memory.Save({Demand("a", 1)});
  fixture.memory.Save({Demand("a", 2)});
  fixture.loop.RunUntil([] { return false; }, milliseconds(20));
  BOOST_TEST(fixture.table.version == version + 1);
}

BOOST_AUTO_TEST_CASE(an_unreadable_row_is_no_demand) {
  BOOST_TEST(DecodeDemand("").empty());
  BOOST_TEST(DecodeDemand(R"({"a":1})").empty());
  BOOST_TEST(DecodeDemand(R"([["s","m","x",1],["s","m",1,2]])").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
