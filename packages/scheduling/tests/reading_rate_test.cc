// Tests of the estimate of models' reading rates.
#include "bambooquay/scheduling/reading_rate.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ReadingRateReport Report(const char* model, double rate, double weight = 1.0) {
  return {ModelName(model), rate, weight};
}

BOOST_AUTO_TEST_SUITE(reading_rate)

BOOST_AUTO_TEST_CASE(calls_that_waited_for_others_do_not_lower_the_rate) {
  const ManualClock clock;
  ReadingRate rate(clock);
  for (int i = 0; i < 8; ++i) {
    rate.Record(8000.0, milliseconds(200));
    rate.Record(8000.0, milliseconds(900 + 100 * i));
  }
  BOOST_TEST(rate.TokensPerMs() == 40.0);
}

BOOST_AUTO_TEST_CASE(short_prompts_and_few_samples_tell_nothing) {
  const ManualClock clock;
  ReadingRate rate(clock);
  for (int i = 0; i < 10; ++i) {
    rate.Record(600.0, milliseconds(100));
  }
  rate.Record(8000.0, milliseconds(200));
  rate.Record(8000.0, Duration::zero());
  BOOST_TEST(rate.TokensPerMs() == 0.0);
}

BOOST_AUTO_TEST_CASE(old_samples_are_dropped) {
  ManualClock clock;
  ReadingRate rate(clock);
  for (int i = 0; i < 10; ++i) {
    rate.Record(8000.0, milliseconds(200));
  }
  clock.Advance(seconds(60));
  BOOST_TEST(rate.TokensPerMs() == 0.0);
}

BOOST_AUTO_TEST_CASE(a_model_that_is_read_fast_counts_less) {
  const WorkFactors factors = FindWorkFactors(
      {Report("fast", 120.0, 10.0), Report("fast", 80.0, 10.0),
       Report("a", 40.0), Report("b", 40.0), Report("slow", 30.0)});
  BOOST_TEST(factors.at(ModelName("fast")) == 0.4);
  BOOST_TEST(factors.at(ModelName("a")) == 1.0);
  BOOST_TEST(factors.at(ModelName("slow")) > 1.0);
}

BOOST_AUTO_TEST_CASE(factors_are_bounded_and_unknown_models_are_left_out) {
  const WorkFactors factors = FindWorkFactors(
      {Report("a", 40.0), Report("b", 40.0), Report("odd", 4000.0),
       Report("odder", 0.4), Report("unknown", 0.0)});
  BOOST_TEST(factors.at(ModelName("odd")) == 0.2);
  BOOST_TEST(factors.at(ModelName("odder")) == 1.5);
  BOOST_TEST(!factors.contains(ModelName("unknown")));
  BOOST_TEST(FindWorkFactors({}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
