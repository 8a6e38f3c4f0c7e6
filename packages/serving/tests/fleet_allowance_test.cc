// The fleet-wide allowance: what several entries spend together.
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

/// Entries that share one organisation's allowance and exchange totals.
class Fleet {
 public:
  Fleet(std::size_t entries, TokensPerSecond rate, Tokens burst)
      : m_rate(rate), m_burst(burst) {
    for (std::size_t i = 0; i < entries; ++i) {
      m_buckets.push_back(std::make_unique<FleetBucket>(m_clock, rate, burst));
      m_buckets.back()->SetMemberCount(entries);
    }
  }

  bool Spend(std::size_t entry, double tokens) {
    const bool spent = m_buckets[entry]->TrySpend({tokens});
    if (spent) {
      m_spending.push_back({m_clock.Now(), tokens});
    }
    return spent;
  }

  void Exchange() {
    for (std::size_t to = 0; to < m_buckets.size(); ++to) {
      for (std::size_t from = 0; from < m_buckets.size(); ++from) {
        if (from != to && !Cut(from, to)) {
          m_buckets[to]->ObservePeer(std::to_string(from),
                                     m_buckets[from]->spent(), false);
        }
      }
    }
  }

  /// Cuts one entry off from all others, which notice it at once.
  void CutOff(std::size_t entry, bool cut) {
    m_cut = cut ? static_cast<int>(entry) : -1;
    for (std::size_t to = 0; to < m_buckets.size(); ++to) {
      for (std::size_t from = 0; from < m_buckets.size(); ++from) {
        if (from != to && (from == entry || to == entry)) {
          m_buckets[to]->SetSilent(std::to_string(from), cut);
        }
      }
    }
  }

  void Restart(std::size_t entry) {
    const auto previous = m_buckets[entry]->spent();
    m_buckets[entry] = std::make_unique<FleetBucket>(m_clock, m_rate, m_burst);
    m_buckets[entry]->SetMemberCount(m_buckets.size());
    for (std::size_t to = 0; to < m_buckets.size(); ++to) {
      if (to != entry) {
        m_buckets[to]->ForgetPeer(std::to_string(entry));
      }
    }
    static_cast<void>(previous);
  }

  void Advance(Duration step) { m_clock.Advance(step); }

  /// @returns the most that was spent in any window of this length.
  [[nodiscard]] double WorstWindow(Duration window) const {
    double worst = 0.0;
    double sum = 0.0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_spending.size(); ++last) {
      sum += m_spending[last].tokens;
      while (m_spending[last].at - m_spending[first].at > window) {
        sum -= m_spending[first++].tokens;
      }
      worst = std::max(worst, sum);
    }
    return worst;
  }

 private:
  struct Spent {
    TimePoint at;
    double tokens;
  };

  [[nodiscard]] bool Cut(std::size_t a, std::size_t b) const {
    return m_cut == static_cast<int>(a) || m_cut == static_cast<int>(b);
  }

  ManualClock m_clock;
  TokensPerSecond m_rate;
  Tokens m_burst;
  std::vector<std::unique_ptr<FleetBucket>> m_buckets;
  std::vector<Spent> m_spending;
  int m_cut = -1;
};

constexpr Duration kWindow = std::chrono::seconds(8);

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_allowance)

BOOST_AUTO_TEST_CASE(an_idle_organisation_may_spend_its_rate_at_one_entry) {
  ManualClock clock;
  FleetBucket bucket(clock, {1000.0}, {1000.0});
  bucket.SetMemberCount(4);
  double spent = 0.0;
  for (int i = 0; i < 1000; ++i) {
    clock.Advance(milliseconds(10));
    spent += bucket.TrySpend({10.0}) ? 10.0 : 0.0;
  }
  // Ten seconds at the whole rate, though four entries share it.
  BOOST_TEST(spent == 10000.0);
}

BOOST_AUTO_TEST_CASE(a_call_over_the_burst_is_served_when_the_bucket_is_full) {
  ManualClock clock;
  FleetBucket bucket(clock, {100.0}, {100.0});
  clock.Advance(std::chrono::seconds(2));
  BOOST_TEST(bucket.TrySpend({250.0}));
  BOOST_TEST(!bucket.TrySpend({1.0}));
  BOOST_TEST(ToSeconds(bucket.TimeUntil({50.0})) == 2.0,
             boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(a_lower_limit_binds_at_once) {
  ManualClock clock;
  FleetBucket bucket(clock, {1000.0}, {5000.0});
  clock.Advance(std::chrono::seconds(10));
  bucket.SetAllowance({10.0}, {20.0});
  BOOST_TEST(bucket.Level().count <= 20.0);
}

BOOST_AUTO_TEST_CASE(a_peers_spending_counts_once) {
  ManualClock clock;
  FleetBucket bucket(clock, {100.0}, {1000.0});
  clock.Advance(std::chrono::seconds(20));
  bucket.ObservePeer("other", {300.0}, false);
  bucket.ObservePeer("other", {300.0}, false);
  BOOST_TEST(bucket.Level().count == 700.0);
}

BOOST_AUTO_TEST_CASE(a_new_process_does_not_count_what_peers_spent_before_it) {
  ManualClock clock;
  FleetBucket bucket(clock, {100.0}, {1000.0});
  const double before = bucket.Level().count;
  bucket.ObservePeer("other", {1e6}, true);
  BOOST_TEST(bucket.Level().count == before);
}

// An entry that starts cut off hears its peers' totals of a long life late.
BOOST_AUTO_TEST_CASE(an_older_peer_that_is_heard_late_starts_from_its_total) {
  ManualClock clock;
  FleetBucket bucket(clock, {100.0}, {1000.0});
  clock.Advance(std::chrono::seconds(20));
  bucket.ObservePeer("older", {1e6}, true);
  BOOST_TEST(bucket.Level().count == 1000.0);
  bucket.ObservePeer("older", {1e6 + 400.0}, true);
  BOOST_TEST(bucket.Level().count == 600.0);
  // One that started later has spent all of its total meanwhile.
  bucket.ObservePeer("newer", {100.0}, false);
  BOOST_TEST(bucket.Level().count == 500.0);
}

// All entries are asked for four times the rate, each exchanges totals every
// 150 ms. The bound is the one that operators state: a tenth of the allowance
// and 110,000 tokens above it.
BOOST_AUTO_TEST_CASE(a_flood_at_all_entries_stays_within_the_stated_bound) {
  constexpr double kRate = 122000.0;
  Fleet fleet(5, {kRate}, {kRate});
  std::mt19937 random(7);
  std::uniform_real_distribution<double> size(500.0, 20000.0);
  for (int step = 0; step < 4000; ++step) {
    fleet.Advance(milliseconds(10));
    for (std::size_t entry = 0; entry < 5; ++entry) {
      static_cast<void>(fleet.Spend(entry, size(random)));
    }
    if (step % 15 == 0) {
      fleet.Exchange();
    }
  }
  const double allowance = kRate * ToSeconds(kWindow) + kRate;
  BOOST_TEST(fleet.WorstWindow(kWindow) <= allowance * 1.1 + 110000.0);
  BOOST_TEST(fleet.WorstWindow(kWindow) > kRate * ToSeconds(kWindow) * 0.9);
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_cut_off_keeps_to_its_part) {
  constexpr double kRate = 122000.0;
  Fleet fleet(5, {kRate}, {kRate});
  std::mt19937 random(11);
  std::uniform_real_distribution<double> size(500.0, 20000.0);
  for (int step = 0; step < 4000; ++step) {
    fleet.Advance(milliseconds(10));
    if (step == 1000) {
      fleet.CutOff(2, true);
    }
    if (step == 2200) {
      fleet.CutOff(2, false);
    }
    for (std::size_t entry = 0; entry < 5; ++entry) {
      static_cast<void>(fleet.Spend(entry, size(random)));
    }
    if (step % 15 == 0) {
      fleet.Exchange();
    }
  }
  const double allowance = kRate * ToSeconds(kWindow) + kRate;
  BOOST_TEST(fleet.WorstWindow(kWindow) <= allowance * 1.1 + 110000.0);
}

BOOST_AUTO_TEST_CASE(entries_that_all_restart_do_not_spend_the_burst_again) {
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
      static_cast<void>(fleet.Spend(entry, 9000.0));
    }
    if (step % 15 == 0) {
      fleet.Exchange();
    }
  }
  const double allowance = kRate * ToSeconds(kWindow) + kRate;
  BOOST_TEST(fleet.WorstWindow(kWindow) <= allowance * 1.1 + 110000.0);
}

// With totals exchanged after every request, the union is one exact bucket.
RC_BOOST_PROP(exchanged_totals_make_one_bucket,
              (const std::vector<std::uint8_t>& choices)) {
  Fleet fleet(3, {1000.0}, {2000.0});
  for (const std::uint8_t choice : choices) {
    fleet.Advance(milliseconds(1 + choice % 50));
    static_cast<void>(fleet.Spend(choice % 3, 10.0 * (1.0 + choice / 3.0)));
    fleet.Exchange();
  }
  RC_ASSERT(fleet.WorstWindow(std::chrono::seconds(1)) <= 3000.0 + 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
