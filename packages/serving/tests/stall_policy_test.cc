// Tests of when a call leaves a silent upstream.
#include "bambooquay/serving/stall_policy.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

const StallPolicy kPolicy({.target_latency = milliseconds(300),
                           .max_pause = milliseconds(150),
                           .time_limit = milliseconds(12000)});

}  // namespace

BOOST_AUTO_TEST_SUITE(stall_policy)

BOOST_AUTO_TEST_CASE(a_lost_upstream_is_left_at_twice_the_objective) {
  SilentAttempt attempt{.silent_for = milliseconds(599)};
  BOOST_TEST((kPolicy.TimeUntilMove(attempt) == milliseconds(1)));
  attempt.silent_for = milliseconds(600);
  BOOST_TEST((kPolicy.TimeUntilMove(attempt) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_lost_upstream_is_left_at_twice_the_longest_pause) {
  const SilentAttempt attempt{.silent_for = milliseconds(100), .started = true};
  BOOST_TEST((kPolicy.TimeUntilMove(attempt) == milliseconds(200)));
}

// An engine that processes the prompts of a burst pauses its streams for
// several hundred milliseconds and reports all the while.
BOOST_AUTO_TEST_CASE(a_busy_upstream_is_left_only_before_the_caller_gives_up) {
  const SilentAttempt attempt{.silent_for = milliseconds(700),
                              .started = true,
                              .upstream_reported = true};
  BOOST_TEST((kPolicy.TimeUntilMove(attempt) == milliseconds(300)));
  BOOST_TEST((kPolicy.CallerPatience() == milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(a_short_time_limit_shortens_the_wait) {
  const StallPolicy policy(
      {.target_latency = milliseconds(150), .time_limit = milliseconds(400)});
  BOOST_TEST((policy.TimeUntilMove({}) == milliseconds(160)));
  BOOST_TEST(
      (policy.TimeUntilMove({.upstream_reported = true}) == milliseconds(200)));
}

// A sign of life never shortens the wait, and a busy upstream is always left
// while half of the caller's patience is still left.
RC_BOOST_PROP(a_report_only_lengthens_the_wait, (bool started)) {
  const auto time = [](int low, int high) {
    return milliseconds(*rc::gen::inRange(low, high));
  };
  const StallPolicy policy({time(1, 5000), time(0, 1000), time(1, 20000)});
  const SilentAttempt silent{time(0, 20000), started, false};
  const SilentAttempt reported{silent.silent_for, started, true};
  RC_ASSERT(policy.TimeUntilMove(reported) >= policy.TimeUntilMove(silent));
  RC_ASSERT(policy.TimeUntilMove(silent) <=
            std::max<Duration>(policy.CallerPatience() / 2, milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
