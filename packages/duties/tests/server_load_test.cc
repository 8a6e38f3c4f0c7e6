// The load of a service as an entry measures it.
#include "bambooquay/duties/server_load.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

const ServiceName kService("names");

struct Fixture {
  Fixture() {
    Put("a1", "a", {});
    Put("a2", "a", {});
    Put("b1", "b", {});
  }

  void Put(const std::string& id, const std::string& data_centre,
           std::optional<bool> draining) {
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = kService;
    record.address = {"127.0.0.1", static_cast<std::uint16_t>(++m_last_port)};
    record.data_centre = DataCentreId(data_centre);
    record.draining = draining.value_or(false);
    upstreams.Put(record);
    EngineReport report;
    report.running = 3;
    report.waiting = 1;
    upstreams.SetReport(record.id, report);
  }

  [[nodiscard]] std::vector<DataCentreLoad> Measure(
      const std::optional<CallRates>& calls = std::nullopt) const {
    return MeasureServers(kService, upstreams, calls);
  }

  ManualClock clock;
  SeededRandom random{1};
  UpstreamSet upstreams{clock, random, DataCentreId("a"),
                        [](const Endpoint&) { return true; }};

 private:
  int m_last_port = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(server_load, Fixture)

BOOST_AUTO_TEST_CASE(servers_and_their_calls_are_counted_by_data_centre) {
  const std::vector<DataCentreLoad> loads = Measure();
  BOOST_REQUIRE(loads.size() == 2U);
  BOOST_TEST(loads[0].serving == 2);
  BOOST_TEST(loads[0].reporting == 2);
  BOOST_TEST(loads[0].running == 6.0);
  BOOST_TEST(loads[0].waiting == 2.0);
  BOOST_TEST(!loads[0].calls_per_second.has_value());
  BOOST_TEST(loads[1].serving == 1);
}

BOOST_AUTO_TEST_CASE(a_server_that_is_emptied_is_leaving) {
  Put("a3", "a", true);
  const std::vector<DataCentreLoad> loads = Measure();
  BOOST_TEST(loads[0].serving == 2);
  BOOST_TEST(loads[0].leaving == 1);
}

BOOST_AUTO_TEST_CASE(old_reports_do_not_count) {
  clock.Advance(std::chrono::seconds(30));
  const std::vector<DataCentreLoad> loads = Measure();
  BOOST_TEST(loads[0].serving == 2);
  BOOST_TEST(loads[0].reporting == 0);
  BOOST_TEST(loads[0].running == 0.0);
}

BOOST_AUTO_TEST_CASE(a_disabled_data_centre_is_out_of_service) {
  upstreams.SetDataCentreDisabled(DataCentreId("b"), true);
  const std::vector<DataCentreLoad> loads = Measure();
  BOOST_TEST(loads[0].in_service);
  BOOST_TEST(!loads[1].in_service);
}

BOOST_AUTO_TEST_CASE(calls_where_no_server_is_belong_to_no_server) {
  const std::vector<DataCentreLoad> loads =
      Measure(CallRates{{DataCentreId("a"), 5.0}, {DataCentreId("c"), 2.0}});
  BOOST_REQUIRE(loads.size() == 3U);
  BOOST_TEST(*loads[0].calls_per_second == 5.0);
  BOOST_TEST(*loads[1].calls_per_second == 0.0);
  BOOST_TEST(!loads[2].in_service);
  BOOST_TEST(*loads[2].calls_per_second == 2.0);
}

BOOST_AUTO_TEST_CASE(calls_for_all_models_of_a_service_are_added) {
  const ModelDemand demand{kService, ModelName("m1"), 2.0, 0.0};
  const ModelDemand other{ServiceName("texts"), ModelName("m1"), 9.0, 0.0};
  const CallRates rates =
      CallRatesOf(kService, {{DataCentreId("a"), {demand, demand, other}},
                             {DataCentreId("b"), {other}}});
  BOOST_TEST(rates.at(DataCentreId("a")) == 4.0);
  BOOST_TEST(!rates.contains(DataCentreId("b")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
