// Tests for the retry budget, with one and with several entries.
#include "bambooquay/serving/retry_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RetryLimits kLimits{0.2, 54.0, seconds(10)};
// An entry hears of the others this long after its start.
constexpr Duration kDiscoveryTime = milliseconds(300);

/// Entries that want to retry every call, and what reaches upstreams.
class Entries {
 public:
  Entries(std::size_t count, const RetryLimits& limits) : m_limits(limits) {
    for (std::size_t i = 0; i < count; ++i) {
      m_entries.push_back(nullptr);
      Start(i);
    }
  }
  void Start(std::size_t index) {
    m_entries[index] = std::make_unique<Entry>(
        RetryBudget(m_clock, m_random, m_limits, m_clock.Now()),
        m_clock.Now() + kDiscoveryTime);
  }
  void Advance(Duration time) {
    m_clock.Advance(time);
    std::ranges::for_each(m_entries, [this](const auto& entry) {
      if (m_clock.Now() >= entry->discovers_at) {
        entry->budget.SetEntryCount(m_entries.size());
      }
    });
  }
  void CountRequest(std::size_t index) {
    m_entries[index]->budget.CountRequest();
    m_requests.push_back(m_clock.Now());
  }
  bool Retry(std::size_t index) {
    if (!m_entries[index]->budget.TryAcquire()) {
      return false;
    }
    RecordArrivals(1);
    return true;
  }
  /// Leaves an upstream that does not respond for another one.
  bool Move(std::size_t index) {
    const bool granted =
        m_entries[index]->budget.TryAcquireFromSilent(m_upstream);
    m_held_back += granted ? 1 : 0;
    return granted;
  }
  /// The silent upstream gets all that was held back, and responds.
  void Resume() {
    RecordArrivals(std::exchange(m_held_back, 0));
    std::ranges::for_each(m_entries, [this](const auto& entry) {
      entry->budget.RecordResponse(m_upstream);
    });
  }
  /// @returns whether the retries of the last window are within the limits.
  bool IsWithinLimits() {
    const auto drop = [this](std::deque<TimePoint>& times) {
      while (!times.empty() &&
             m_clock.Now() - times.front() >= m_limits.window) {
        times.pop_front();
      }
    };
    drop(m_requests);
    drop(m_arrivals);
    return static_cast<double>(m_arrivals.size()) <=
           m_limits.ratio * static_cast<double>(m_requests.size()) +
               m_limits.slack;
  }
  [[nodiscard]] std::size_t size() const { return m_entries.size(); }
  [[nodiscard]] int total() const { return m_total; }

 private:
  struct Entry {
    Entry(RetryBudget new_budget, TimePoint time)
        : budget(std::move(new_budget)), discovers_at(time) {}
    RetryBudget budget;
    TimePoint discovers_at;
  };

  void RecordArrivals(int count) {
    m_arrivals.insert(m_arrivals.end(), static_cast<std::size_t>(count),
                      m_clock.Now());
    m_total += count;
  }

  ManualClock m_clock;
  SeededRandom m_random{1};
  RetryLimits m_limits;
  UpstreamId m_upstream{"i-1"};
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_arrivals;
  int m_held_back = 0;
  int m_total = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_budget)

// Five entries get 30 requests a second each. Every request fails and needs a
// retry. All entries restart halfway.
BOOST_AUTO_TEST_CASE(retries_of_all_entries_stay_within_the_limits) {
  Entries entries(5, kLimits);
  for (int step = 0; step < 1200; ++step) {
    entries.Advance(std::chrono::microseconds(33333));
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (step == 600) {
        entries.Start(i);
      }
      entries.CountRequest(i);
      static_cast<void>(entries.Retry(i));
    }
    BOOST_REQUIRE(entries.IsWithinLimits());
  }
}

BOOST_AUTO_TEST_CASE(
    entries_that_start_again_and_again_stay_within_the_limits) {
  for (const std::size_t count : {1, 5, 21, 103}) {
    for (const int steps_between_starts : {3, 10, 50}) {
      Entries entries(count, kLimits);
      for (int step = 1; step < 600; ++step) {
        entries.Advance(milliseconds(100));
        for (std::size_t i = 0; i < count; ++i) {
          if (step > 150 && step % steps_between_starts == 0) {
            entries.Start(i);
          }
          if (step % 10 == 0) {
            entries.CountRequest(i);
          }
          while (entries.Retry(i)) {
          }
        }
        BOOST_REQUIRE_MESSAGE(entries.IsWithinLimits(),
                              count << " entries, started every "
                                    << steps_between_starts << " steps");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(more_entries_than_retries_stay_within_the_limits) {
  Entries entries(330, kLimits);
  constexpr int kSteps = 3000;
  for (int step = 0; step < kSteps; ++step) {
    entries.Advance(milliseconds(100));
    // All entries have been quiet for a while before their calls fail.
    if (step > 600) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        static_cast<void>(entries.Retry(i));
      }
    }
    BOOST_REQUIRE(entries.IsWithinLimits());
  }
  // They use about a third of the slack in each window.
  const double windows = (kSteps - 600) * 0.1 / ToSeconds(kLimits.window);
  BOOST_TEST(entries.total() >= 0.3 * kLimits.slack * windows);
}

// Entries keep leaving an upstream that is silent for 18 s, and others break
// calls after that.
BOOST_AUTO_TEST_CASE(
    attempts_that_an_upstream_held_back_stay_within_the_limits) {
  Entries entries(5, kLimits);
  for (int step = 0; step < 600; ++step) {
    entries.Advance(milliseconds(100));
    const bool is_silent = step % 200 < 180;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      entries.CountRequest(i);
      entries.CountRequest(i);
      while (is_silent ? entries.Move(i) : entries.Retry(i)) {
      }
    }
    if (!is_silent) {
      entries.Resume();
    }
    BOOST_REQUIRE(entries.IsWithinLimits());
  }
}

BOOST_AUTO_TEST_CASE(a_single_failure_may_be_retried) {
  for (const std::size_t count : {1, 4, 5, 21}) {
    Entries entries(count, kLimits);
    entries.Advance(kLimits.window + seconds(1));
    for (std::size_t i = 0; i < count; ++i) {
      entries.CountRequest(i);
      BOOST_TEST(entries.Retry(i));
    }
  }
}

BOOST_AUTO_TEST_CASE(an_entry_alone_may_retry_soon_after_its_start) {
  Entries entries(1, kLimits);
  entries.Advance(seconds(2));
  entries.CountRequest(0);
  BOOST_TEST(entries.Retry(0));
}

BOOST_AUTO_TEST_CASE(a_budget_without_slack_allows_its_share_of_the_requests) {
  Entries entries(1, {0.2, 0.0, seconds(10)});
  for (int i = 0; i < 100; ++i) {
    entries.Advance(milliseconds(50));
    entries.CountRequest(0);
    static_cast<void>(entries.Retry(0));
  }
  BOOST_TEST(entries.total() >= 14);
  BOOST_TEST(entries.total() <= 20);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
