// Tests for the retry budget, with one and with several entries.
#include "bambooquay/serving/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace bambooquay {

BOOST_AUTO_TEST_SUITE(retry_budget)

// Five entries get 30 requests a second each. Every request fails and needs a
// retry. All entries restart halfway.
BOOST_AUTO_TEST_CASE(retries_of_all_entries_stay_within_the_limits) {
  ManualClock clock;
  const RetryLimits limits{0.2, 54.0, std::chrono::seconds(10)};
  std::vector<std::unique_ptr<RetryBudget>> entries;
  const auto restart_all = [&] {
    entries.clear();
    for (int i = 0; i < 5; ++i) {
      entries.push_back(std::make_unique<RetryBudget>(clock, limits));
      entries.back()->SetEntryCount(5);
    }
  };
  restart_all();
  std::deque<TimePoint> retries;
  for (int step = 0; step < 1200; ++step) {
    clock.Advance(std::chrono::microseconds(33333));
    if (step == 600) {
      restart_all();
    }
    for (const auto& entry : entries) {
      entry->CountRequest();
      if (entry->TryAcquire()) {
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

BOOST_AUTO_TEST_CASE(a_single_failure_may_always_be_retried) {
  ManualClock clock;
  RetryBudget budget(clock, {0.2, 1.0, std::chrono::seconds(10)});
  budget.SetEntryCount(50);
  clock.Advance(std::chrono::minutes(1));
  budget.CountRequest();
  BOOST_TEST(budget.TryAcquire());
  BOOST_TEST(!budget.TryAcquire());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
