// Tests of which services share the streams of a route.
#include "bambooquay/serving/stream_route_history.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "bambooquay/serving/stream_origins.h"

namespace bambooquay {
namespace {

using std::chrono::seconds;

const ServiceName kFirst("s");
const ServiceName kSecond("t");
using Shared = std::map<ServiceName, TimePoint>;

ServingRoute MakeRoute(const std::string& prefix,
                       std::vector<ServiceShare> services) {
  ServingRoute route;
  route.host = "h.example";
  route.prefix = prefix;
  route.kind = CallKind::kStream;
  route.resumable = true;
  route.services = std::move(services);
  return route;
}

struct HistoryFixture {
  void Apply(std::vector<ServingRoute> routes) {
    FleetConfiguration configuration;
    configuration.routes = std::move(routes);
    history.Apply(
        std::make_shared<const ActiveConfiguration>(std::move(configuration)));
  }

  ManualClock clock;
  StreamRouteHistory history{clock};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_route_history)

BOOST_AUTO_TEST_CASE(services_of_a_divided_route_share_streams) {
  HistoryFixture fixture;
  BOOST_TEST(fixture.history.SharedServices().empty());
  fixture.Apply({MakeRoute("/a/", {{kFirst, 1.0}, {kSecond, 0.0}}),
                 MakeRoute("/a/b/", {{kSecond, 1.0}})});
  BOOST_TEST(fixture.history.SharedServices().empty());
  fixture.Apply({MakeRoute("/a/", {{kFirst, 1.0}, {kSecond, 0.1}})});
  const TimePoint now = fixture.clock.Now();
  BOOST_TEST((fixture.history.SharedServices() ==
              Shared{{kFirst, now}, {kSecond, now}}));
}

BOOST_AUTO_TEST_CASE(services_share_streams_after_a_route_has_moved) {
  HistoryFixture fixture;
  fixture.Apply({MakeRoute("/a/", {{kFirst, 1.0}})});
  fixture.clock.Advance(seconds(100));
  const TimePoint moved_at = fixture.clock.Now();
  fixture.Apply({MakeRoute("/a/", {{kSecond, 1.0}})});
  fixture.clock.Advance(seconds(50));
  // Other changes don't make it younger.
  fixture.Apply({MakeRoute("/a/", {{kSecond, 1.0}}), MakeRoute("/c/", {})});
  fixture.history.RemoveExpired();
  BOOST_TEST((fixture.history.SharedServices() ==
              Shared{{kFirst, fixture.clock.Now()}, {kSecond, moved_at}}));
  fixture.clock.Advance(seconds(10));
  fixture.history.RemoveExpired();
  BOOST_TEST(fixture.history.SharedServices().empty());
}

BOOST_AUTO_TEST_CASE(services_share_streams_after_a_route_takes_a_path_over) {
  for (const bool is_added : {true, false}) {
    HistoryFixture fixture;
    const std::vector<ServingRoute> whole = {MakeRoute("/a/", {{kFirst, 1.0}})};
    std::vector<ServingRoute> divided = whole;
    divided.push_back(MakeRoute("/a/b/", {{kSecond, 1.0}}));
    fixture.Apply(is_added ? whole : divided);
    fixture.Apply(is_added ? divided : whole);
    BOOST_TEST(fixture.history.SharedServices().size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(the_digest_tells_routes_of_streams_apart) {
  const auto digest_of = [](std::vector<ServingRoute> routes) {
    HistoryFixture fixture;
    fixture.Apply(std::move(routes));
    return fixture.history.digest();
  };
  const HistoryFixture empty;
  BOOST_TEST(empty.history.digest() == 0U);
  ServingRoute other = MakeRoute("/b/", {{kSecond, 1.0}});
  other.kind = CallKind::kIdempotent;
  const ServingRoute route = MakeRoute("/a/", {{kFirst, 1.0}});
  const std::uint64_t digest = digest_of({route});
  BOOST_TEST(digest == digest_of({other, route}));
  BOOST_TEST(digest != digest_of({MakeRoute("/a/", {{kSecond, 1.0}})}));
  BOOST_TEST(digest !=
             digest_of({MakeRoute("/a/", {{kFirst, 1.0}, {kSecond, 1.0}})}));
  BOOST_TEST(digest != digest_of({MakeRoute("/c/", {{kFirst, 1.0}})}));
}

BOOST_AUTO_TEST_CASE(streams_that_may_not_be_resumed_are_not_shared) {
  HistoryFixture fixture;
  ServingRoute route = MakeRoute("/a/", {{kFirst, 1.0}, {kSecond, 1.0}});
  route.resumable = false;
  fixture.Apply({route});
  BOOST_TEST(fixture.history.SharedServices().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
