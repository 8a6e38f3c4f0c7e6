// Tests of the decision to leave a data centre, one of them with three times
// the load in one of three data centres.
#include "bambooquay/scheduling/data_centre_policy.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr CrossingCall kCall{.target_first_event = milliseconds(800),
                             .max_pause = milliseconds(500),
                             .crossing_time = milliseconds(6)};

/// @returns the offer of an engine with this much work before the call.
SideOffer MakeOffer(double wait_ms) {
  const Duration wait = FromSeconds(wait_ms / 1000.0);
  return {wait + milliseconds(100), wait, wait_ms + 100.0};
}

struct PolicyFixture {
  [[nodiscard]] bool Leaves(double home_ms, double away_ms) {
    return policy.ShouldLeave("m", kCall, MakeOffer(home_ms),
                              MakeOffer(away_ms));
  }

  /// @returns the share of calls that leave, one each 10 ms.
  [[nodiscard]] double LeavingShare(double home_ms, double away_ms,
                                    int calls = 200) {
    int leaving = 0;
    for (int i = 0; i < calls; ++i) {
      clock.Advance(milliseconds(10));
      leaving += Leaves(home_ms, away_ms) ? 1 : 0;
    }
    return static_cast<double>(leaving) / calls;
  }

  ManualClock clock;
  SeededRandom random{1};
  DataCentrePolicy policy{clock, random};
};

/// Data centres whose engines work off what they get; entries learn of it with
/// a delay.
class SimulatedFleet {
 public:
  static constexpr std::size_t kDataCentres = 3;
  using Waits = std::array<double, kDataCentres>;

  /// @param load  calls per 10 ms in each data centre.
  /// @param may_leave  whether the policy decides, or all calls stay.
  void Run(const std::array<double, kDataCentres>& load, bool may_leave,
           Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) {
      m_clock.Advance(kStep);
      if (passed % kReportPeriod == Duration::zero()) {
        m_reported = m_waits;
      }
      for (std::size_t home = 0; home < kDataCentres; ++home) {
        m_due[home] += load[home];
        for (; m_due[home] >= 1.0; m_due[home] -= 1.0) {
          Send(home, may_leave);
        }
      }
      std::ranges::transform(m_waits, m_waits.begin(), [](double wait) {
        return std::max(0.0, wait - 10.0);
      });
    }
  }

  [[nodiscard]] double InTime() const {
    return static_cast<double>(m_in_time) / m_sent;
  }
  [[nodiscard]] int Left(std::size_t from, std::size_t to) const {
    return m_left[from][to];
  }
  [[nodiscard]] int Sent(std::size_t home) const { return m_sent_by[home]; }

 private:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kReportPeriod = milliseconds(200);
  // Time that a call takes of the engines of one data centre together.
  static constexpr double kWorkMs = 10.0;

  void Send(std::size_t home, bool may_leave) {
    std::size_t away = (home + 1) % kDataCentres;
    const std::size_t other = (home + 2) % kDataCentres;
    if (m_reported[other] < m_reported[away] ||
        (m_reported[other] == m_reported[away] &&
         m_random.UniformBelow(2) == 0)) {
      away = other;
    }
    const bool leaves =
        may_leave &&
        m_policies[home].ShouldLeave("m", kCall, MakeOffer(m_reported[home]),
                                     MakeOffer(m_reported[away]));
    const std::size_t target = leaves ? away : home;
    m_left[home][away] += leaves ? 1 : 0;
    m_waits[target] += kWorkMs;
    // The sender knows of its own call at once.
    m_reported[target] += kWorkMs;
    ++m_sent;
    ++m_sent_by[home];
    m_in_time +=
        MakeOffer(m_waits[target]).first_event <= kCall.target_first_event ? 1
                                                                           : 0;
  }

  ManualClock m_clock;
  SeededRandom m_random{7};
  std::array<DataCentrePolicy, kDataCentres> m_policies{
      DataCentrePolicy(m_clock, m_random), DataCentrePolicy(m_clock, m_random),
      DataCentrePolicy(m_clock, m_random)};
  Waits m_waits{};
  Waits m_reported{};
  Waits m_due{};
  std::array<std::array<int, kDataCentres>, kDataCentres> m_left{};
  std::array<int, kDataCentres> m_sent_by{};
  int m_sent = 0;
  int m_in_time = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(data_centre_policy)

BOOST_AUTO_TEST_CASE(a_call_that_is_in_time_at_home_stays) {
  PolicyFixture fixture;
  BOOST_TEST(fixture.LeavingShare(0.0, 0.0) == 0.0);
  BOOST_TEST(fixture.LeavingShare(40.0, 0.0) == 0.0);
  BOOST_TEST(fixture.policy.LeavingShare("m") == 0.0);
}

BOOST_AUTO_TEST_CASE(
    a_call_in_time_leaves_only_for_a_gain_well_above_its_cost) {
  PolicyFixture fixture;
  BOOST_TEST(fixture.LeavingShare(200.0, 0.0) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_late_call_stays_if_it_is_no_better_elsewhere) {
  PolicyFixture fixture;
  BOOST_TEST(fixture.LeavingShare(2000.0, 2000.0) == 0.0);
  BOOST_TEST(fixture.LeavingShare(2000.0, 1995.0) == 0.0);
}

BOOST_AUTO_TEST_CASE(the_share_that_leaves_follows_the_surplus) {
  PolicyFixture little;
  PolicyFixture much;
  const double little_share = little.LeavingShare(340.0, 0.0);
  const double much_share = much.LeavingShare(550.0, 0.0);
  BOOST_TEST(little_share > 0.05);
  BOOST_TEST(much_share > little_share + 0.1);
  BOOST_TEST(much_share < 0.8);
  PolicyFixture hopeless;
  BOOST_TEST(hopeless.LeavingShare(3000.0, 0.0) == 1.0);
}

BOOST_AUTO_TEST_CASE(the_share_rises_quickly_and_falls_slowly) {
  PolicyFixture fixture;
  static_cast<void>(fixture.LeavingShare(550.0, 0.0, 60));
  const double risen = fixture.policy.LeavingShare("m");
  BOOST_TEST(risen > 0.3);
  static_cast<void>(fixture.LeavingShare(0.0, 0.0, 60));
  BOOST_TEST(fixture.policy.LeavingShare("m") > risen / 2.0);
  static_cast<void>(fixture.LeavingShare(0.0, 0.0, 1500));
  BOOST_TEST(fixture.policy.LeavingShare("m") < 0.05);
}

BOOST_AUTO_TEST_CASE(an_even_load_stays_at_home) {
  SimulatedFleet fleet;
  fleet.Run({0.7, 0.7, 0.7}, true, std::chrono::seconds(20));
  BOOST_TEST(fleet.InTime() == 1.0);
  for (std::size_t home = 0; home < SimulatedFleet::kDataCentres; ++home) {
    const int left =
        fleet.Left(home, (home + 1) % 3) + fleet.Left(home, (home + 2) % 3);
    BOOST_TEST(left <= fleet.Sent(home) / 20);
  }
}

BOOST_AUTO_TEST_CASE(callers_of_a_data_centre_with_three_times_its_load) {
  SimulatedFleet staying;
  staying.Run({1.5, 0.5, 0.5}, false, std::chrono::seconds(20));
  SimulatedFleet leaving;
  leaving.Run({1.5, 0.5, 0.5}, true, std::chrono::seconds(20));
  BOOST_TEST(staying.InTime() < 0.6);
  BOOST_TEST(leaving.InTime() > 0.95);
  // Both others take a part, and their own callers stay.
  const int to_first = leaving.Left(0, 1);
  const int to_second = leaving.Left(0, 2);
  BOOST_TEST(std::min(to_first, to_second) * 3 >=
             std::max(to_first, to_second));
  BOOST_TEST(leaving.Left(1, 0) + leaving.Left(1, 2) <= leaving.Sent(1) / 10);
  BOOST_TEST(leaving.Left(2, 0) + leaving.Left(2, 1) <= leaving.Sent(2) / 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
