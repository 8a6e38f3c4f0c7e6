// Tests of the prediction of an engine's times.
#include "bambooquay/scheduling/work_prediction.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(work_prediction)

BOOST_AUTO_TEST_CASE(a_prompt_waits_for_those_before_it) {
  const EngineWork engine{.prompt_tokens_per_ms = 40.0,
                          .event_interval = milliseconds(30),
                          .unread_prompt_tokens = 8000.0};
  const auto times =
      PredictTimes(engine, {.unread_prompt_tokens = 4000.0, .events = 10});
  BOOST_REQUIRE(times.has_value());
  // Half an event interval passes until the engine's next step.
  BOOST_TEST((times->first_event == milliseconds(315)));
  BOOST_TEST((times->end == milliseconds(615)));
  BOOST_TEST((times->longest_pause == milliseconds(330)));
  BOOST_TEST((times->pause_of_streams == milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(nothing_is_predicted_for_an_engine_of_unknown_rate) {
  BOOST_TEST(!PredictTimes({}, {.unread_prompt_tokens = 1.0}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
