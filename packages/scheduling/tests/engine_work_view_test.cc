// Tests of what an entry knows of an engine's work between two reports.
#include "bambooquay/scheduling/engine_work_view.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr EngineWork kUsual{.prompt_tokens_per_ms = 40.0,
                            .event_interval = milliseconds(30)};

BOOST_AUTO_TEST_SUITE(engine_work_view)

BOOST_AUTO_TEST_CASE(work_is_carried_on_from_the_last_estimate) {
  ManualClock clock;
  EngineWorkView view;
  BOOST_TEST(!view.Current(clock.Now(), kUsual, 0.0).has_value());
  view.Record({.prompt_tokens_per_ms = 20.0, .unread_prompt_tokens = 8000.0},
              clock.Now());
  clock.Advance(milliseconds(100));
  view.RecordSent(1000.0);
  BOOST_TEST(view.Current(clock.Now(), kUsual, 0.0)->unread_prompt_tokens ==
             7000.0);
  // Two other entries are assumed to have sent as much.
  BOOST_TEST(view.Current(clock.Now(), kUsual, 2.0)->unread_prompt_tokens ==
             9000.0);
  clock.Advance(milliseconds(1000));
  BOOST_TEST(view.Current(clock.Now(), kUsual, 0.0)->unread_prompt_tokens ==
             0.0);
}

BOOST_AUTO_TEST_CASE(an_engine_that_was_not_measured_is_like_the_others) {
  ManualClock clock;
  EngineWorkView view;
  view.Record({.unread_prompt_tokens = 4000.0}, clock.Now());
  const auto work = view.Current(clock.Now(), kUsual, 0.0);
  BOOST_REQUIRE(work.has_value());
  BOOST_TEST(work->prompt_tokens_per_ms == 40.0);
  BOOST_TEST((work->event_interval == milliseconds(30)));
  BOOST_TEST(!view.Current(clock.Now(), {}, 0.0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
