// Tests of when a call leaves a silent upstream.
#include "bambooquay/serving/stall_policy.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
                              .upstream = SignOfLife::kRecent};
  BOOST_TEST((kPolicy.TimeUntilMove(attempt) == milliseconds(300)));
  BOOST_TEST((kPolicy.CallerPatience() == milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(a_short_time_limit_shortens_the_wait) {
  const StallPolicy policy(
      {.target_latency = milliseconds(150), .time_limit = milliseconds(400)});
  BOOST_TEST((policy.TimeUntilMove({}) == milliseconds(160)));
  BOOST_TEST((policy.TimeUntilMove({.upstream = SignOfLife::kRecent}) ==
              milliseconds(200)));
}

// A machine stands still. The objective alone would let its calls wait for 4 s.
BOOST_AUTO_TEST_CASE(
    an_upstream_without_a_sign_of_life_is_left_after_a_second) {
  const StallPolicy policy(
      {.target_latency = seconds(2), .time_limit = seconds(30)});
  SilentAttempt attempt{.silent_for = milliseconds(900),
                        .upstream = SignOfLife::kNone};
  BOOST_TEST((policy.TimeUntilMove(attempt) == milliseconds(100)));
  attempt.upstream = SignOfLife::kUnknown;
  BOOST_TEST((policy.TimeUntilMove(attempt) == milliseconds(3100)));
}

BOOST_AUTO_TEST_CASE(a_call_to_a_lost_upstream_ends_at_half_the_patience) {
  SilentAttempt attempt{.silent_for = milliseconds(999),
                        .caller_waits_for = milliseconds(999),
                        .upstream = SignOfLife::kNone};
  BOOST_TEST(!kPolicy.ShouldGiveUp(attempt));
  attempt.caller_waits_for = milliseconds(1000);
  BOOST_TEST(kPolicy.ShouldGiveUp(attempt));
  // An attempt that has just been sent gets some time.
  attempt.silent_for = milliseconds(200);
  BOOST_TEST(!kPolicy.ShouldGiveUp(attempt));
}

// Callers may leave a slow stream; it is not taken from those who wait.
RC_BOOST_PROP(a_call_ends_only_without_a_sign_of_life, (bool started)) {
  const auto time = [](int low, int high) {
    return milliseconds(*rc::gen::inRange(low, high));
  };
  const StallPolicy policy({time(1, 5000), time(0, 1000), time(1, 20000)});
  const SilentAttempt attempt{
      time(0, 20000), time(0, 20000), started,
      *rc::gen::element(SignOfLife::kRecent, SignOfLife::kUnknown)};
  RC_ASSERT(!policy.ShouldGiveUp(attempt));
}

// A sign of life never shortens the wait, and a busy upstream is always left
// while half of the caller's patience is still left.
RC_BOOST_PROP(a_sign_of_life_only_lengthens_the_wait, (bool started)) {
  const auto time = [](int low, int high) {
    return milliseconds(*rc::gen::inRange(low, high));
  };
  const StallPolicy policy({time(1, 5000), time(0, 1000), time(1, 20000)});
  const auto time_until_move = [&, silent_for =
                                       time(0, 20000)](SignOfLife upstream) {
    return policy.TimeUntilMove(
        {.silent_for = silent_for, .started = started, .upstream = upstream});
  };
  RC_ASSERT(time_until_move(SignOfLife::kRecent) >=
            time_until_move(SignOfLife::kUnknown));
  RC_ASSERT(time_until_move(SignOfLife::kUnknown) >=
            time_until_move(SignOfLife::kNone));
  RC_ASSERT(time_until_move(SignOfLife::kUnknown) <=
            std::max<Duration>(policy.CallerPatience() / 2, milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
