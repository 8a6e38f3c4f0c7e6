// Orders of the holder to a platform that accepts, refuses, or does not answer.
#include "bambooquay/duties/server_count_duty.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Records the orders; the test gives the results.
class RecordingClient final : public DutyClient {
 public:
  struct Call {
    DutyGrant grant;
    ServerCountOrder order;
    Done done;
  };

  void ReportUsage(const DutyGrant& /*grant*/, const UsageReport& /*report*/,
                   Done /*done*/) override {
    BOOST_ERROR("not a duty of this test");
  }
  void OrderServerCount(const DutyGrant& grant, const ServerCountOrder& order,
                        Done done) override {
    calls.push_back({grant, order, std::move(done)});
  }

  std::vector<Call> calls;
};

struct Fixture {
  Fixture() {
    service.service = ServiceName("names");
    service.limits = {1, 20, 10.0, seconds(10), 0};
    SetLoad(20.0);
  }

  void SetLoad(double calls) {
    service.data_centres.clear();
    for (const char* id : {"a", "b"}) {
      DataCentreLoad load;
      load.data_centre = DataCentreId(id);
      load.serving = load.reporting = 4;
      load.running = calls;
      service.data_centres.push_back(load);
    }
  }

  void Run(Duration time) {
    const TimePoint end = clock.Now() + time;
    while (clock.Now() < end) {
      clock.Advance(ServerCountDuty::kTickPeriod);
      duty.Tick(is_holder, grant);
    }
  }

  /// Gives results until no call has been sent for a while.
  void AnswerAll(DutyCallResult result) {
    for (std::size_t answered = 0; answered < client.calls.size(); ++answered) {
      client.calls[answered].done(result);
      Run(ServerCountDuty::kTickPeriod);
    }
  }

  [[nodiscard]] double Orders(const std::string& result) const {
    return metrics.Counter("server_count_orders_total{result=\"" + result +
                           "\"}");
  }

  ManualClock clock;
  Metrics metrics;
  RecordingClient client;
  ScaledService service;
  bool is_holder = true;
  std::optional<DutyGrant> grant = DutyGrant{InstanceId("entry-1"), 7};
  ServerCountDuty duty{{clock, client, metrics, [this] {
                          return std::vector<ScaledService>{service};
                        }}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(server_count_duty, Fixture)

BOOST_AUTO_TEST_CASE(an_accepted_order_is_given_once_for_each_data_centre) {
  Run(seconds(10));
  BOOST_TEST(client.calls.size() == 0U);
  SetLoad(40.0);
  Run(seconds(2));
  // One call at a time.
  BOOST_REQUIRE(client.calls.size() == 1U);
  BOOST_TEST(duty.is_busy());
  Run(seconds(60));
  BOOST_TEST(client.calls.size() == 1U);
  BOOST_TEST(client.calls[0].grant.fencing_token == 7U);
  BOOST_TEST(client.calls[0].order.count > 4);
  AnswerAll(DutyCallResult::kAccepted);
  BOOST_TEST(!duty.is_busy());
  BOOST_TEST(client.calls[1].order.data_centre.value() == "b");
  const std::size_t given = client.calls.size();
  Run(seconds(60));
  BOOST_TEST(client.calls.size() == given);
  BOOST_TEST(duty.SuccessAge().has_value());
  BOOST_TEST(Orders("accepted") == static_cast<double>(given));
}

BOOST_AUTO_TEST_CASE(an_order_without_a_response_is_repeated) {
  service.data_centres.pop_back();
  service.data_centres.at(0).running = 39.0;
  Run(seconds(30));
  BOOST_REQUIRE(client.calls.size() == 1U);
  client.calls[0].done(DutyCallResult::kUnknown);
  Run(ServerCountDuty::kFirstPause);
  BOOST_TEST((duty.FailingFor() == ServerCountDuty::kFirstPause));
  BOOST_REQUIRE(client.calls.size() == 2U);
  BOOST_TEST((client.calls[1].order == client.calls[0].order));
  client.calls[1].done(DutyCallResult::kAccepted);
  BOOST_TEST((duty.FailingFor() == Duration::zero()));
  Run(seconds(60));
  BOOST_TEST(client.calls.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_platform_that_is_busy_is_asked_less_and_less_often) {
  SetLoad(39.0);
  Run(seconds(7));
  std::size_t before = 0;
  for (Duration pause = ServerCountDuty::kFirstPause;
       pause <= ServerCountDuty::kMaxPause; pause *= 2) {
    BOOST_REQUIRE(client.calls.size() == before + 1);
    client.calls[before++].done(DutyCallResult::kBusy);
    Run(pause - ServerCountDuty::kTickPeriod);
    BOOST_TEST(client.calls.size() == before);
    Run(ServerCountDuty::kTickPeriod);
  }
  BOOST_TEST(Orders("busy") == static_cast<double>(before));
}

BOOST_AUTO_TEST_CASE(a_rejected_order_is_not_repeated) {
  service.data_centres.pop_back();
  service.data_centres.at(0).running = 39.0;
  Run(seconds(30));
  BOOST_REQUIRE(client.calls.size() == 1U);
  client.calls[0].done(DutyCallResult::kRejected);
  Run(seconds(60));
  BOOST_TEST(client.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_number_replaces_an_order_without_a_response) {
  service.data_centres.pop_back();
  service.data_centres.at(0).running = 39.0;
  Run(seconds(7));
  BOOST_REQUIRE(client.calls.size() == 1U);
  service.data_centres.at(0).running = 150.0;
  Run(seconds(20));
  client.calls[0].done(DutyCallResult::kAccepted);
  Run(milliseconds(500));
  BOOST_REQUIRE(client.calls.size() == 2U);
  BOOST_TEST(client.calls[1].order.count > client.calls[0].order.count);
}

BOOST_AUTO_TEST_CASE(without_a_grant_nothing_is_sent) {
  grant.reset();
  SetLoad(39.0);
  Run(seconds(30));
  BOOST_TEST(client.calls.size() == 0U);
  // The lease is confirmed again.
  grant = DutyGrant{InstanceId("entry-1"), 7};
  Run(seconds(2));
  BOOST_TEST(client.calls.size() == 1U);
}

// Its view of the load is warm, its orders are those of another entry.
BOOST_AUTO_TEST_CASE(a_new_holder_decides_anew) {
  SetLoad(39.0);
  is_holder = false;
  grant.reset();
  Run(seconds(30));
  BOOST_TEST(client.calls.size() == 0U);
  is_holder = true;
  grant = DutyGrant{InstanceId("entry-1"), 9};
  Run(seconds(2));
  BOOST_REQUIRE(client.calls.size() == 1U);
  BOOST_TEST(client.calls[0].grant.fencing_token == 9U);
}

BOOST_AUTO_TEST_CASE(orders_of_an_earlier_term_are_forgotten) {
  service.data_centres.pop_back();
  service.data_centres.at(0).running = 39.0;
  Run(seconds(30));
  BOOST_REQUIRE(client.calls.size() == 1U);
  is_holder = false;
  grant.reset();
  Run(seconds(2));
  // It must not be repeated by the new holder before that one has decided.
  service.data_centres.at(0).running = 1.0;
  service.data_centres.at(0).serving = 8;
  service.data_centres.at(0).reporting = 8;
  is_holder = true;
  grant = DutyGrant{InstanceId("entry-1"), 9};
  client.calls[0].done(DutyCallResult::kUnknown);
  Run(seconds(10));
  BOOST_TEST(client.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_order_without_effect_shows_in_the_metrics) {
  SetLoad(39.0);
  Run(seconds(30));
  AnswerAll(DutyCallResult::kAccepted);
  Run(seconds(60));
  BOOST_TEST(
      metrics.Render().find("bambooquay_server_count_overdue{service=\"names\","
                            "datacentre=\"a\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_service_that_is_not_scaled_any_more_gets_no_orders) {
  SetLoad(39.0);
  grant.reset();
  Run(seconds(30));
  service.service = ServiceName("other");
  service.data_centres.clear();
  grant = DutyGrant{InstanceId("entry-1"), 7};
  Run(seconds(30));
  BOOST_TEST(client.calls.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
