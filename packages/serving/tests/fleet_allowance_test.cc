// Tests for the fleet-wide allowance, with one and with several entries.
#include "bambooquay/serving/fleet_allowance.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

/// Simulates entries that share one organisation's allowance and exchange
/// totals.
class Fleet {
 public:
  Fleet(std::size_t entries, TokensPerSecond rate, Tokens burst)
      : m_rate(rate), m_burst(burst) {
    for (std::size_t i = 0; i < entries; ++i) {
      m_buckets.push_back(
          std::make_unique<FleetTokenBucket>(m_clock, rate, burst));
      m_buckets.back()->SetMemberCount(entries);
    }
  }

  bool TrySpend(std::size_t entry, double tokens) {
    const bool admitted = m_buckets[entry]->TrySpend({tokens});
    if (admitted) {
      m_spending.push_back({m_clock.Now(), tokens});
    }
    return admitted;
  }

  void ExchangeTotals() {
    for (std::size_t receiver = 0; receiver < m_buckets.size(); ++receiver) {
      for (std::size_t sender = 0; sender < m_buckets.size(); ++sender) {
        if (sender != receiver && !IsCutOff(sender, receiver)) {
          m_buckets[receiver]->RecordPeerTotal(
              std::to_string(sender), m_buckets[sender]->spent(), false);
        }
      }
    }
  }

  /// Cuts one entry off from all others, or reconnects it. All entries detect
  /// it at once.
  void SetCutOff(std::size_t entry, bool cut_off) {
    m_cut_off_entry = cut_off ? static_cast<int>(entry) : -1;
    for (std::size_t receiver = 0; receiver < m_buckets.size(); ++receiver) {
      for (std::size_t sender = 0; sender < m_buckets.size(); ++sender) {
        if (sender != receiver && (sender == entry || receiver == entry)) {
          m_buckets[receiver]->SetPeerSilent(std::to_string(sender), cut_off);
        }
      }
    }
  }

  void Restart(std::size_t entry) {
    const auto previous = m_buckets[entry]->spent();
    m_buckets[entry] =
        std::make_unique<FleetTokenBucket>(m_clock, m_rate, m_burst);
    m_buckets[entry]->SetMemberCount(m_buckets.size());
    for (std::size_t receiver = 0; receiver < m_buckets.size(); ++receiver) {
      if (receiver != entry) {
        m_buckets[receiver]->RemovePeer(std::to_string(entry));
      }
    }
    static_cast<void>(previous);
  }

  void Advance(Duration step) { m_clock.Advance(step); }

  /// @returns the most that was spent in any window of this length.
  [[nodiscard]] double MaxSpentInWindow(Duration window) const {
    double max_spent = 0.0;
    double sum = 0.0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_spending.size(); ++last) {
      sum += m_spending[last].tokens;
      while (m_spending[last].at - m_spending[first].at > window) {
        sum -= m_spending[first++].tokens;
      }
      max_spent = std::max(max_spent, sum);
    }
    return max_spent;
  }

 private:
  struct Spending {
    TimePoint at;
    double tokens;
  };

  [[nodiscard]] bool IsCutOff(std::size_t a, std::size_t b) const {
    return m_cut_off_entry == static_cast<int>(a) ||
           m_cut_off_entry == static_cast<int>(b);
  }

  ManualClock m_clock;
  TokensPerSecond m_rate;
  Tokens m_burst;
  std::vector<std::unique_ptr<FleetTokenBucket>> m_buckets;
  std::vector<Spending> m_spending;
  int m_cut_off_entry = -1;  ///< -1 for none.
};

constexpr Duration kWindow = std::chrono::seconds(8);

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_allowance)

BOOST_AUTO_TEST_CASE(
    one_entry_may_spend_the_whole_rate_while_the_others_are_idle) {
  ManualClock clock;
  FleetTokenBucket bucket(clock, {1000.0}, {1000.0});
  bucket.SetMemberCount(4);
  double spent = 0.0;
  for (int i = 0; i < 1000; ++i) {
    clock.Advance(milliseconds(10));
    spent += bucket.TrySpend({10.0}) ? 10.0 : 0.0;
  }
  // Ten seconds at the whole rate, although four entries share it.
  BOOST_TEST(spent == 10000.0);
}

BOOST_AUTO_TEST_CASE(
    a_call_above_the_burst_is_admitted_when_the_bucket_is_full) {
  ManualClock clock;
  FleetTokenBucket bucket(clock, {100.0}, {100.0});
  clock.Advance(std::chrono::seconds(2));
  BOOST_TEST(bucket.TrySpend({250.0}));
  BOOST_TEST(!bucket.TrySpend({1.0}));
  BOOST_TEST(ToSeconds(bucket.TimeUntilAvailable({50.0})) == 2.0,
             boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(a_lower_limit_applies_at_once) {
  ManualClock clock;
  FleetTokenBucket bucket(clock, {1000.0}, {5000.0});
  clock.Advance(std::chrono::seconds(10));
  bucket.SetAllowance({10.0}, {20.0});
  BOOST_TEST(bucket.Level().count <= 20.0);
}

BOOST_AUTO_TEST_CASE(a_repeated_total_of_a_peer_is_counted_once) {
  ManualClock clock;
  FleetTokenBucket bucket(clock, {100.0}, {1000.0});
  clock.Advance(std::chrono::seconds(20));
  bucket.RecordPeerTotal("other", {300.0}, false);
  bucket.RecordPeerTotal("other", {300.0}, false);
  BOOST_TEST(bucket.Level().count == 700.0);
}

BOOST_AUTO_TEST_CASE(a_new_process_does_not_count_what_peers_spent_before_it) {
  ManualClock clock;
  FleetTokenBucket bucket(clock, {100.0}, {1000.0});
  const double before = bucket.Level().count;
  bucket.RecordPeerTotal("other", {1e6}, true);
  BOOST_TEST(bucket.Level().count == before);
}

// An entry that is cut off when it starts gets its peers' totals late. These
// include spending from before its start, which must not be counted.
BOOST_AUTO_TEST_CASE(the_first_total_of_an_older_peer_is_not_counted) {
  ManualClock clock;
  FleetTokenBucket bucket(clock, {100.0}, {1000.0});
  clock.Advance(std::chrono::seconds(20));
  bucket.RecordPeerTotal("older", {1e6}, true);
  BOOST_TEST(bucket.Level().count == 1000.0);
  bucket.RecordPeerTotal("older", {1e6 + 400.0}, true);
  BOOST_TEST(bucket.Level().count == 600.0);
  // A peer that started later has spent its whole total since then.
  bucket.RecordPeerTotal("newer", {100.0}, false);
  BOOST_TEST(bucket.Level().count == 500.0);
}

// Each of the five entries is asked for about eight times the rate, and entries
// exchange totals every 150 ms. The bound is the one stated by operators: the
// allowance plus a tenth of it plus 110,000 tokens.
BOOST_AUTO_TEST_CASE(spending_under_overload_stays_within_the_stated_bound) {
  constexpr double kRate = 122000.0;
  Fleet fleet(5, {kRate}, {kRate});
  std::mt19937 random(7);
  std::uniform_real_distribution<double> size(500.0, 20000.0);
  for (int step = 0; step < 4000; ++step) {
    fleet.Advance(milliseconds(10));
    for (std::size_t entry = 0; entry < 5; ++entry) {
      static_cast<void>(fleet.TrySpend(entry, size(random)));
    }
    if (step % 15 == 0) {
      fleet.ExchangeTotals();
    }
  }
  const double allowance = kRate * ToSeconds(kWindow) + kRate;
  BOOST_TEST(fleet.MaxSpentInWindow(kWindow) <= allowance * 1.1 + 110000.0);
  BOOST_TEST(fleet.MaxSpentInWindow(kWindow) >
             kRate * ToSeconds(kWindow) * 0.9);
}

BOOST_AUTO_TEST_CASE(
    spending_stays_within_the_bound_while_an_entry_is_cut_off) {
  constexpr double kRate = 122000.0;
  Fleet fleet(5, {kRate}, {kRate});
  std::mt19937 random(11);
  std::uniform_real_distribution<double> size(500.0, 20000.0);
  for (int step = 0; step < 4000; ++step) {
    fleet.Advance(milliseconds(10));
    if (step == 1000) {
      fleet.SetCutOff(2, true);
    }
    if (step == 2200) {
      fleet.SetCutOff(2, false);
    }
    for (std::size_t entry = 0; entry < 5; ++entry) {
      static_cast<void>(fleet.TrySpend(entry, size(random)));
    }
    if (step % 15 == 0) {
      fleet.ExchangeTotals();
    }
  }
  const double allowance = kRate * ToSeconds(kWindow) + kRate;
  BOOST_TEST(fleet.MaxSpentInWindow(kWindow) <= allowance * 1.1 + 110000.0);
}

BOOST_AUTO_TEST_CASE(
    entries_that_all_restart_do_not_spend_the_whole_burst_again) {
  constexpr double kRate = 122000.0;
  Fleet fleet(5, {kRate}, {kRate});
  for (int step = 0; step < 2000; ++step) {
    fleet.Advance(milliseconds(10));
    if (step == 800) {
      for (std::size_t entry = 0; entry < 5; ++entry) {
        fleet.Restart(entry);
      }
    }
    for (std::size_t entry = 0; entry < 5; ++entry) {
      static_cast<void>(fleet.TrySpend(entry, 9000.0));
    }
    if (step % 15 == 0) {
      fleet.ExchangeTotals();
    }
  }
  const double allowance = kRate * ToSeconds(kWindow) + kRate;
  BOOST_TEST(fleet.MaxSpentInWindow(kWindow) <= allowance * 1.1 + 110000.0);
}

// If totals are exchanged after every request, the entries together behave like
// one exact bucket.
RC_BOOST_PROP(entries_that_exchange_every_total_act_as_one_bucket,
              (const std::vector<std::uint8_t>& choices)) {
  Fleet fleet(3, {1000.0}, {2000.0});
  for (const std::uint8_t choice : choices) {
    fleet.Advance(milliseconds(1 + choice % 50));
    static_cast<void>(fleet.TrySpend(choice % 3, 10.0 * (1.0 + choice / 3.0)));
    fleet.ExchangeTotals();
  }
  RC_ASSERT(fleet.MaxSpentInWindow(std::chrono::seconds(1)) <= 3000.0 + 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
