// Tests of the estimate of an engine's work, against reports of a simulated
// engine.
#include "bambooquay/scheduling/engine_work_estimator.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReportPeriod = milliseconds(200);

/// Reads prompts one after the other at a fixed rate, and sends the events of
/// the calls that have begun at a fixed interval.
class SimulatedEngine {
 public:
  SimulatedEngine(EngineWorkEstimator& estimator, ManualClock& clock,
                  double tokens_per_ms, Duration event_interval)
      : m_estimator(estimator),
        m_clock(clock),
        m_tokens_per_ms(tokens_per_ms),
        m_event_interval(event_interval) {}

  void SetRate(double tokens_per_ms) { m_tokens_per_ms = tokens_per_ms; }

  RequestId Send(double tokens, int events) {
    RequestId id("call-" + std::to_string(m_sent++));
    m_estimator.Announce(id, tokens);
    m_queue.push_back({id, tokens, events, {}});
    return id;
  }

  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(1)) {
      m_clock.Advance(milliseconds(1));
      Step();
      m_since_report += milliseconds(1);
      if (m_since_report >= kReportPeriod) {
        m_since_report = Duration::zero();
        m_estimator.RecordReport(Report());
      }
    }
  }

  [[nodiscard]] EngineReport Report() const {
    EngineReport report;
    report.started_at_ms = 1;
    std::ranges::transform(
        m_runs, std::back_inserter(report.runs), [this](const Call& run) {
          return EngineRun{run.id, run.tokens, EventsOf(run), 0};
        });
    report.running =
        static_cast<int>(m_runs.size()) + (m_queue.empty() ? 0 : 1);
    report.waiting = std::max(0, static_cast<int>(m_queue.size()) - 1);
    return report;
  }

  [[nodiscard]] double Unread() const {
    double sum = 0.0;
    std::ranges::for_each(m_queue, [&](const Call& run) { sum += run.tokens; });
    return sum;
  }

 private:
  struct Call {
    RequestId id;
    double tokens = 0.0;  ///< To be read, while it is in the queue.
    int events = 0;
    TimePoint begun_at{};
  };

  [[nodiscard]] int EventsOf(const Call& run) const {
    return 1 +
           static_cast<int>((m_clock.Now() - run.begun_at) / m_event_interval);
  }

  void Step() {
    if (!m_queue.empty()) {
      m_queue.front().tokens -= m_tokens_per_ms;
      if (m_queue.front().tokens <= 0.0) {
        m_runs.push_back(m_queue.front());
        m_runs.back().begun_at = m_clock.Now();
        m_queue.pop_front();
      }
    }
    std::erase_if(
        m_runs, [this](const Call& run) { return EventsOf(run) > run.events; });
  }

  EngineWorkEstimator& m_estimator;
  ManualClock& m_clock;
  double m_tokens_per_ms;
  Duration m_event_interval;
  int m_sent = 0;
  Duration m_since_report{};
  std::deque<Call> m_queue;
  std::vector<Call> m_runs;
};

struct EstimatorFixture {
  /// Sends a call with a long prompt now and then.
  void RunWithLongPrompts(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(700)) {
      engine.Send(9000.0, 9);
      engine.Run(milliseconds(700));
    }
  }

  ManualClock clock;
  EngineWorkEstimator estimator{clock};
  SimulatedEngine engine{estimator, clock, 32.0, milliseconds(33)};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_work_estimator)

BOOST_AUTO_TEST_CASE(an_engine_without_calls_has_no_rate_and_no_work) {
  EstimatorFixture fixture;
  fixture.engine.Run(seconds(2));
  BOOST_TEST((fixture.estimator.Current() == EngineWork{}));
  BOOST_TEST(fixture.estimator.Confidence() == 0.0);
}

BOOST_AUTO_TEST_CASE(the_rate_is_learned_from_a_few_long_prompts) {
  EstimatorFixture fixture;
  fixture.RunWithLongPrompts(seconds(3));
  BOOST_TEST(fixture.estimator.Current().prompt_tokens_per_ms == 32.0,
             boost::test_tools::tolerance(0.25));
  BOOST_TEST(fixture.estimator.Confidence() > 0.5);
}

BOOST_AUTO_TEST_CASE(the_event_interval_is_that_without_reading) {
  EstimatorFixture fixture;
  fixture.engine.Send(600.0, 60);
  fixture.engine.Run(seconds(2));
  BOOST_TEST(ToSeconds(fixture.estimator.Current().event_interval) == 0.033,
             boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_CASE(prompts_are_unread_until_they_begin) {
  EstimatorFixture fixture;
  fixture.RunWithLongPrompts(seconds(4));
  for (int i = 0; i < 4; ++i) {
    fixture.engine.Send(9000.0, 9);
  }
  while (fixture.engine.Unread() > 0.0) {
    const double estimated = fixture.estimator.Current().unread_prompt_tokens;
    BOOST_TEST(std::abs(estimated - fixture.engine.Unread()) <= 9000.0);
    fixture.engine.Run(milliseconds(20));
  }
  fixture.engine.Run(milliseconds(600));
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 0.0);
}

BOOST_AUTO_TEST_CASE(a_first_event_ends_the_reading_at_once) {
  EstimatorFixture fixture;
  const RequestId call = fixture.engine.Send(9000.0, 9);
  fixture.clock.Advance(milliseconds(300));
  fixture.estimator.RecordFirstEvent(call);
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 0.0);
  BOOST_TEST(fixture.estimator.Current().prompt_tokens_per_ms == 30.0,
             boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(an_engine_that_turns_slow_is_noticed_within_seconds) {
  EstimatorFixture fixture;
  fixture.RunWithLongPrompts(seconds(6));
  fixture.engine.SetRate(32.0 / 2.5);
  fixture.RunWithLongPrompts(seconds(6));
  BOOST_TEST(fixture.estimator.Current().prompt_tokens_per_ms == 32.0 / 2.5,
             boost::test_tools::tolerance(0.3));
  BOOST_TEST(fixture.estimator.Current().slowness > 1.7);
}

// Load it answers: an engine rejects a burst, and the entries' releases are
// lost.
BOOST_AUTO_TEST_CASE(announced_calls_that_the_engine_does_not_have_expire) {
  EstimatorFixture fixture;
  fixture.engine.Run(seconds(1));
  for (int i = 0; i < 100; ++i) {
    fixture.estimator.Announce(RequestId("lost-" + std::to_string(i)), 9000.0);
  }
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 900'000.0);
  fixture.engine.Run(milliseconds(700));
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 0.0);
}

BOOST_AUTO_TEST_CASE(released_calls_count_no_longer) {
  EstimatorFixture fixture;
  fixture.estimator.Announce(RequestId("a"), 3000.0);
  fixture.estimator.Announce(RequestId("a"), 3000.0);
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 3000.0);
  fixture.estimator.Release(RequestId("a"));
  fixture.estimator.Release(RequestId("a"));
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 0.0);
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_starts_without_work) {
  EstimatorFixture fixture;
  fixture.RunWithLongPrompts(seconds(3));
  fixture.engine.Send(9000.0, 9);
  EngineReport report;
  report.started_at_ms = 2;
  fixture.estimator.RecordReport(report);
  BOOST_TEST((fixture.estimator.Current() == EngineWork{}));
}

// Entries of another version, or cut off from the agent, announce nothing.
BOOST_AUTO_TEST_CASE(calls_that_were_not_announced_count_by_the_report) {
  EstimatorFixture fixture;
  EngineReport report;
  report.started_at_ms = 1;
  report.running = 1;
  report.waiting = 3;
  report.next_tokens = 5000.0;
  fixture.estimator.RecordReport(report);
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 15'000.0);
}

BOOST_AUTO_TEST_CASE(odd_counts_leave_the_estimate_finite) {
  EstimatorFixture fixture;
  EngineReport report;
  report.running = -5;
  report.waiting = -7;
  report.next_tokens = 1e9;
  report.runs = {{RequestId("a"), 1e9, 1'000'000'000, -3},
                 {RequestId("a"), 0.0, 0, 0}};
  fixture.estimator.Announce(RequestId("a"), -5.0);
  fixture.estimator.RecordReport(report);
  fixture.estimator.RecordReport(report);
  BOOST_TEST(fixture.estimator.Current().unread_prompt_tokens == 0.0);
  BOOST_TEST(fixture.estimator.Current().prompt_tokens_per_ms == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
