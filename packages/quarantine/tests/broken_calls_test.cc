// Tests of what tells a crash from a connection that broke for another reason.
#include "bambooquay/quarantine/broken_calls.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  /// A call that began 50 ms ago breaks.
  void Break(const UpstreamId& upstream, const CallProgress& progress) {
    calls.Record({{PromptPartId{7}},
                  runs.at(upstream),
                  clock.Now() - milliseconds(50),
                  clock.Now(),
                  progress});
  }
  [[nodiscard]] std::optional<UpstreamRun> FindRun(const UpstreamId& id) const {
    const auto found = runs.find(id);
    return found == runs.end() ? std::nullopt
                               : std::optional<UpstreamRun>(found->second);
  }
  std::vector<BrokenCall> Take() {
    return calls.TakeCrashed(
        [this](const UpstreamId& id) { return FindRun(id); });
  }
  std::vector<BrokenRun> TakeRuns() {
    return calls.TakeEndedRuns(
        [this](const UpstreamId& id) { return FindRun(id); });
  }

  ManualClock clock;
  const UpstreamId first{"i-1"};
  std::map<UpstreamId, UpstreamRun> runs = {{first, {first, 100}}};
  BrokenCalls calls{clock};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(broken_calls)

BOOST_AUTO_TEST_CASE(a_break_on_an_upstream_that_goes_on_is_no_crash) {
  Fixture fixture;
  fixture.Break(fixture.first, kNoEvent);
  for (int i = 0; i < 20; ++i) {
    fixture.clock.Advance(seconds(1));
    BOOST_TEST(fixture.Take().empty());
  }
  // A planned end much later.
  fixture.runs.clear();
  BOOST_TEST(fixture.Take().empty());
}

BOOST_AUTO_TEST_CASE(a_break_is_a_crash_once_the_listing_follows) {
  Fixture fixture;
  fixture.Break(fixture.first, kNoEvent);
  const TimePoint broke_at = fixture.clock.Now();
  fixture.clock.Advance(seconds(4));
  BOOST_TEST(fixture.Take().empty());
  fixture.runs[fixture.first].started_at_ms = 200;
  const auto crashed = fixture.Take();
  BOOST_REQUIRE(crashed.size() == 1U);
  BOOST_TEST((crashed[0].broke_at == broke_at));
  BOOST_TEST(crashed[0].run.started_at_ms == 100);
  BOOST_TEST(fixture.Take().empty());
}

// The second call met the next run, which the listing had not shown yet.
BOOST_AUTO_TEST_CASE(two_crashes_before_the_listing_follows_are_two) {
  Fixture fixture;
  fixture.Break(fixture.first, kNoEvent);
  fixture.clock.Advance(seconds(1));
  fixture.Break(fixture.first, kNoEvent);
  fixture.runs[fixture.first].started_at_ms = 200;
  BOOST_TEST(fixture.Take().size() == 2U);
  BOOST_TEST(fixture.Take().empty());
  fixture.runs[fixture.first].started_at_ms = 300;
  const auto crashed = fixture.Take();
  BOOST_REQUIRE(crashed.size() == 1U);
  BOOST_TEST(crashed[0].run.started_at_ms == 200);
}

BOOST_AUTO_TEST_CASE(calls_that_break_far_on_are_not_suspected) {
  Fixture fixture;
  fixture.Break(fixture.first, seconds(3));
  BOOST_TEST(fixture.calls.empty());
  fixture.Break(fixture.first, milliseconds(200));
  fixture.runs.clear();
  BOOST_TEST(fixture.Take().size() == 1U);
}

BOOST_AUTO_TEST_CASE(calls_that_are_not_suspected_tell_of_the_end_of_a_run) {
  Fixture fixture;
  fixture.Break(fixture.first, seconds(3));
  fixture.Break(fixture.first, seconds(4));
  BOOST_TEST(fixture.TakeRuns().empty());
  fixture.runs.clear();
  BOOST_TEST(fixture.TakeRuns().size() == 1U);
  BOOST_TEST(fixture.TakeRuns().empty());
}

BOOST_AUTO_TEST_CASE(breaks_without_an_end_take_bounded_memory) {
  Fixture fixture;
  for (int i = 0; i < 10'000; ++i) {
    fixture.Break(fixture.first, kNoEvent);
  }
  fixture.runs.clear();
  BOOST_TEST(fixture.Take().size() == 256U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
