// Tests of how long upstreams are used after their rows were deleted.
#include "bambooquay/serving/expiry_grace.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The store counts as stable this long after its return; upstreams that leave
// from then on get calls for two more seconds at most.
constexpr Duration kStabilityWindow = seconds(3);
constexpr Duration kDrainTime = seconds(2);

}  // namespace

BOOST_AUTO_TEST_SUITE(expiry_grace)

BOOST_AUTO_TEST_CASE(a_departure_without_an_outage_gets_no_grace) {
  ManualClock clock;
  ExpiryGrace grace(clock);
  BOOST_TEST((grace.Remaining() == Duration::zero()));
  grace.RecordResponse();
  BOOST_TEST((grace.Remaining() == Duration::zero()));
}

// Load: all rows expire in an outage of the store.
BOOST_AUTO_TEST_CASE(expired_upstreams_are_used_until_they_can_register_again) {
  ManualClock clock;
  ExpiryGrace grace(clock);
  grace.RecordFailure(clock.Now());
  clock.Advance(milliseconds(500));
  BOOST_TEST((grace.Remaining() == seconds(2)));
  grace.RecordResponse();
  clock.Advance(milliseconds(300));
  grace.RecordResponse();
  BOOST_TEST((grace.Remaining() == milliseconds(1700)));
  clock.Advance(milliseconds(1700));
  BOOST_TEST((grace.Remaining() == Duration::zero()));
}

// The store is back at any time after the failed call was sent, the failure is
// noticed later, and an upstream leaves once the store is stable.
RC_BOOST_PROP(a_departure_after_an_outage_noticed_late_is_obeyed_in_time, ()) {
  ManualClock clock;
  ExpiryGrace grace(clock);
  const TimePoint sent_at = clock.Now();
  const Duration failed_after = milliseconds(*rc::gen::inRange(0, 6000));
  const Duration responded_after = milliseconds(*rc::gen::inRange(0, 500));
  const Duration left_after =
      kStabilityWindow + milliseconds(*rc::gen::inRange(0, 4000));
  clock.Advance(failed_after);
  grace.RecordFailure(sent_at);
  clock.Advance(responded_after);
  grace.RecordResponse();
  const TimePoint left_at = sent_at + left_after;
  if (clock.Now() < left_at) {
    clock.Advance(left_at - clock.Now());
  }
  const TimePoint last_use = clock.Now() + grace.Remaining();
  RC_ASSERT(grace.Remaining() == Duration::zero() ||
            last_use <= left_at + kDrainTime);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
