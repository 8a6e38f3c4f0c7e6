// The retry budget of several entries together.
#include "bambooquay/serving/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace bambooquay {

BOOST_AUTO_TEST_SUITE(retry_budget)

// Every request fails and asks for a retry, at 30 requests a second for each
// of 5 entries, of which all restart halfway.
BOOST_AUTO_TEST_CASE(retries_stay_within_ratio_and_slack_in_every_window) {
  ManualClock clock;
  const RetryLimits limits{0.2, 54.0, std::chrono::seconds(10)};
  std::vector<std::unique_ptr<RetryBudget>> entries;
  const auto restart = [&] {
    entries.clear();
    for (int i = 0; i < 5; ++i) {
      entries.push_back(std::make_unique<RetryBudget>(clock, limits));
      entries.back()->SetEntryCount(5);
    }
  };
  restart();
  std::deque<TimePoint> retries;
  for (int step = 0; step < 1200; ++step) {
    clock.Advance(std::chrono::microseconds(33333));
    if (step == 600) {
      restart();
    }
    for (const auto& entry : entries) {
      entry->CountRequest();
      if (entry->TryRetry()) {
        retries.push_back(clock.Now());
      }
    }
    while (!retries.empty() && clock.Now() - retries.front() > limits.window) {
      retries.pop_front();
    }
    const double requests = 5 * 30.0 * 10.0;
    BOOST_REQUIRE(static_cast<double>(retries.size()) <=
                  limits.ratio * requests + limits.slack);
  }
}

BOOST_AUTO_TEST_CASE(a_single_failure_is_always_retried) {
  ManualClock clock;
  RetryBudget budget(clock, {0.2, 1.0, std::chrono::seconds(10)});
  budget.SetEntryCount(50);
  clock.Advance(std::chrono::minutes(1));
  budget.CountRequest();
  BOOST_TEST(budget.TryRetry());
  BOOST_TEST(!budget.TryRetry());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
