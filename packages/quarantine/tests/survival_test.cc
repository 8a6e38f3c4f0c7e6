// Tests of what a call that got further than a broken one shows.
#include "bambooquay/quarantine/survival.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(survivals)

BOOST_AUTO_TEST_CASE(a_first_event_does_not_outlive_a_crash_after_events) {
  BOOST_TEST(Outlives(Duration::zero(), kNoEvent));
  BOOST_TEST(!Outlives(Duration::zero(), Duration::zero()));
  BOOST_TEST(!Outlives(milliseconds(90), milliseconds(40)));
  BOOST_TEST(Outlives(milliseconds(180), milliseconds(40)));
  BOOST_TEST(Outlives(kCompleteCall, milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(a_newer_call_does_not_hide_one_that_lasted_longer) {
  const TimePoint start{};
  Survivals survivals;
  survivals.Add({start + seconds(1), kCompleteCall});
  for (int i = 2; i < 100; ++i) {
    survivals.Add({start + seconds(i), Duration::zero()});
  }
  BOOST_TEST(survivals.all().size() == 2U);
  BOOST_TEST(survivals.AnySince(start + seconds(99), kNoEvent));
  BOOST_TEST(!survivals.AnySince(start + seconds(100), kNoEvent));
  BOOST_TEST(survivals.AnySince(start + seconds(1), milliseconds(300)));
  BOOST_TEST(!survivals.AnySince(start + seconds(2), milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(survivals_take_bounded_memory) {
  const TimePoint start{};
  Survivals survivals;
  for (int i = 0; i < 1000; ++i) {
    survivals.Add({start + milliseconds(i), milliseconds(1000 - i)});
  }
  BOOST_TEST(survivals.all().size() <= 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
