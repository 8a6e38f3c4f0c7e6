// Tests of the search for room and of the measured pauses.
#include "bambooquay/scheduling/room_search.h"

#include <boost/test/unit_test.hpp>

#include "bambooquay/scheduling/reading_pause.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RoomTimes kTimes{.target_wait = milliseconds(800),
                           .time_limit = seconds(5),
                           .reading_time = milliseconds(300),
                           .run_time = milliseconds(700)};

BOOST_AUTO_TEST_SUITE(room_search)

BOOST_AUTO_TEST_CASE(a_call_first_looks_for_room_in_time) {
  RoomSearch search;
  BOOST_TEST((search.MaxWait(kTimes) == milliseconds(500)));
  search.RecordDenial(UpstreamId("a"), milliseconds(900));
  BOOST_TEST(search.MayAskAnother());
  search.RecordDenial(UpstreamId("b"), milliseconds(700));
  BOOST_TEST(!search.MayAskAnother());
  BOOST_TEST((search.ShortestWait() == milliseconds(700)));
  BOOST_REQUIRE((search.TakeBest() == UpstreamId("b")));
  // Late is better than not at all, as long as it can end.
  BOOST_TEST((search.MaxWait(kTimes) == seconds(4)));
  BOOST_TEST(!search.TakeBest().has_value());
}

BOOST_AUTO_TEST_CASE(a_call_that_can_not_end_in_time_does_not_wait) {
  RoomSearch search;
  RoomTimes times = kTimes;
  times.time_limit = milliseconds(900);
  BOOST_TEST((search.MaxWait(times) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_late_call_waits_as_long_as_it_can) {
  RoomSearch search;
  RoomTimes times = kTimes;
  times.target_wait = Duration::zero();
  BOOST_TEST((search.MaxWait(times) == seconds(4)));
}

BOOST_AUTO_TEST_CASE(the_pause_is_measured_while_the_engine_reads) {
  ManualClock clock;
  ReadingPause pause;
  EngineReport report;
  report.runs = {{RequestId("a"), 10.0, 1, 0}, {RequestId("b"), 10.0, 5, 0}};
  pause.RecordReport(report, false, clock.Now());
  BOOST_TEST((pause.ReadingInterval() == Duration::zero()));
  clock.Advance(milliseconds(200));
  report.runs[0].events = 2;
  pause.RecordReport(report, true, clock.Now());
  // Two streams have sent one event in 200 ms.
  BOOST_TEST((pause.ReadingInterval() == milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(the_pause_declines_while_the_engine_rests) {
  ManualClock clock;
  ReadingPause pause;
  EngineReport report;
  report.runs = {{RequestId("a"), 10.0, 1, 0}};
  pause.RecordReport(report, true, clock.Now());
  clock.Advance(milliseconds(600));
  report.runs[0].events = 2;
  pause.RecordReport(report, true, clock.Now());
  for (int i = 0; i < 100; ++i) {
    clock.Advance(milliseconds(200));
    ++report.runs[0].events;
    pause.RecordReport(report, false, clock.Now());
  }
  BOOST_TEST((pause.ReadingInterval() < milliseconds(400)));
  BOOST_TEST((pause.ReadingInterval() > Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
