// Tests of the reports of usage: one failure each, and holders that follow each
// other at random.
#include "bambooquay/duties/usage_reporter.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "bambooquay/core/random.h"
#include "bambooquay/duties/duty_lease.h"
#include "bambooquay/duties/usage_window.h"
#include "simulated_store.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallFate;
using testing::SimulatedStore;
using testing::SimulatedTable;
using testing::SimulatedTime;

constexpr UnixTime kLength = seconds(5);
constexpr UnixTime kLateness = seconds(10);
const OrganisationId kOrganisation("first");

/// The simulated time as true time.
class SimulatedWallClock final : public WallClock {
 public:
  explicit SimulatedWallClock(const Clock& clock) : m_clock(clock) {}
  [[nodiscard]] UnixTime Now() const noexcept override {
    return std::chrono::duration_cast<UnixTime>(
        m_clock.Now().time_since_epoch());
  }

 private:
  const Clock& m_clock;
};

/// Records the reports and responds as it is told.
class RecordingClient final : public DutyClient {
 public:
  RecordingClient(SimulatedTime& time, std::vector<UsageReport>& accepted)
      : m_time(time), m_accepted(accepted) {}

  void ReportUsage(const DutyGrant& grant, const UsageReport& report,
                   Done done) override {
    ++call_count;
    last_token = grant.fencing_token;
    const DutyCallResult result = next_result();
    if (result == DutyCallResult::kAccepted ||
        result == DutyCallResult::kUnknown) {
      m_accepted.push_back(report);
    }
    m_time.After(milliseconds(3),
                 [done = std::move(done), result] { done(result); });
  }
  void OrderServerCount(const DutyGrant& /*grant*/,
                        const ServerCountOrder& /*order*/,
                        Done /*done*/) override {}

  std::function<DutyCallResult()> next_result = [] {
    return DutyCallResult::kAccepted;
  };
  int call_count = 0;
  std::uint64_t last_token = 0;

 private:
  SimulatedTime& m_time;
  std::vector<UsageReport>& m_accepted;
};

/// Entries that may report. One at a time has the grant.
class ReportingFleet {
 public:
  explicit ReportingFleet(std::size_t entries) {
    for (std::size_t index = 0; index < entries; ++index) {
      Entry& entry = m_entries.emplace_back();
      entry.table = std::make_unique<SimulatedTable>(
          time, store,
          [](const std::function<void()>& callback) { callback(); });
      entry.client = std::make_unique<RecordingClient>(time, accepted);
      entry.reporter = std::make_unique<UsageReporter>(
          time.clock, wall_clock, *entry.table, *entry.client, entry.metrics,
          UsageReporterSettings{kLength, kLateness, first_window},
          [this] { return sources; });
    }
    Tick();
  }

  [[nodiscard]] UsageReporter& reporter(std::size_t index) {
    return *m_entries[index].reporter;
  }
  [[nodiscard]] RecordingClient& client(std::size_t index) {
    return *m_entries[index].client;
  }
  [[nodiscard]] SimulatedTable& table(std::size_t index) {
    return *m_entries[index].table;
  }
  [[nodiscard]] double Counter(std::size_t index, const std::string& name) {
    return m_entries[index].metrics.Counter(name);
  }
  [[nodiscard]] double Windows(std::size_t index, const std::string& result) {
    return Counter(index, "usage_windows_total{result=\"" + result + "\"}");
  }
  /// Gives the grant to an entry, with a new token.
  void SetHolder(std::optional<std::size_t> index) {
    holder = index;
    ++token;
  }
  /// Sends final counts of a window, from an entry of this name.
  void SendFinal(std::size_t index, const char* from, UsageWindow window,
                 std::uint64_t runs) {
    reporter(index).Merge(InstanceId(from), 1,
                          {window, true, {{kOrganisation, runs}}});
  }
  /// Runs until `offset` after the end of a window.
  void RunUntil(UsageWindow window, UnixTime offset) {
    time.RunFor(EndOf(window, kLength) + offset - wall_clock.Now());
  }
  /// @returns the report that the platform got for a window, of several the
  ///   first; nothing if it got none.
  [[nodiscard]] std::optional<UsageReport> Accepted(UsageWindow window) const {
    const auto found =
        std::ranges::find(accepted, window, &UsageReport::window);
    return found == accepted.end() ? std::nullopt : std::optional(*found);
  }
  /// @returns whether each window has one report, however often it was sent.
  [[nodiscard]] bool AllRepeatsAreExact() const {
    return std::ranges::all_of(accepted, [this](const UsageReport& report) {
      return *Accepted(report.window) == report;
    });
  }
  /// @returns the row with the settled reports.
  [[nodiscard]] SettledUsage Row() const {
    const auto row = store.rows.find({kDutyTable, kUsageKey});
    return row == store.rows.end() ? SettledUsage{}
                                   : *DecodeUsage(row->second.value);
  }

  SimulatedTime time;
  SimulatedWallClock wall_clock{time.clock};
  SimulatedStore store;
  std::vector<UsageReport> accepted;
  std::vector<UsageSource> sources;
  std::optional<std::size_t> holder;
  std::uint64_t token = 0;
  UsageWindow first_window = WindowAt(wall_clock.Now(), kLength);

 private:
  struct Entry {
    std::unique_ptr<SimulatedTable> table;
    std::unique_ptr<RecordingClient> client;
    Metrics metrics;
    std::unique_ptr<UsageReporter> reporter;
  };

  void Tick() {
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
      m_entries[index].reporter->Tick(
          holder == std::optional(index)
              ? std::optional(DutyGrant{
                    InstanceId("entry-" + std::to_string(index)), token})
              : std::nullopt);
    }
    time.After(DutyLease::kTickPeriod, [this] { Tick(); });
  }

  std::deque<Entry> m_entries;
};

/// One entry that holds the lease and knows the counts of the first window.
struct HolderFleet : ReportingFleet {
  explicit HolderFleet(std::size_t entries = 1) : ReportingFleet(entries) {
    SetHolder(0);
    SendFinal(0, "a", first_window, 40);
    SendFinal(0, "b", first_window, 2);
  }
  [[nodiscard]] UsageReport FirstReport() const {
    return {first_window, {{kOrganisation, 42}}};
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(usage_reporter)

BOOST_AUTO_TEST_CASE(the_row_is_read_as_it_was_written) {
  const SettledUsage usage{UsageWindow{9},
                           {{{UsageWindow{8}, {{kOrganisation, 3}}}, true},
                            {{UsageWindow{9}, {}}, false}}};
  BOOST_TEST((DecodeUsage(EncodeUsage(usage)) == usage));
  BOOST_TEST(!DecodeUsage("{}").has_value());
}

BOOST_AUTO_TEST_CASE(a_report_is_settled_in_the_store_and_then_sent_once) {
  HolderFleet fleet;
  bool was_settled = false;
  fleet.client(0).next_result = [&] {
    was_settled = fleet.Row().through == fleet.first_window;
    return DutyCallResult::kAccepted;
  };
  fleet.RunUntil(fleet.first_window, milliseconds(-100));
  BOOST_TEST(fleet.accepted.empty());
  fleet.RunUntil(fleet.first_window, milliseconds(400));
  BOOST_REQUIRE(fleet.accepted.size() == 1U);
  BOOST_TEST(was_settled);
  BOOST_TEST((fleet.accepted.front() == fleet.FirstReport()));
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_TEST(fleet.client(0).call_count == 1);
  BOOST_TEST(fleet.Windows(0, "reported") == 1.0);
  BOOST_TEST(fleet.Windows(0, "incomplete") == 0.0);
}

BOOST_AUTO_TEST_CASE(an_entry_without_the_lease_calls_nobody) {
  HolderFleet fleet;
  fleet.SetHolder(std::nullopt);
  fleet.RunUntil(fleet.first_window, seconds(20));
  BOOST_TEST(fleet.client(0).call_count == 0);
  BOOST_TEST(fleet.table(0).call_count == 0);
}

BOOST_AUTO_TEST_CASE(a_silent_entry_is_waited_for_and_then_named) {
  HolderFleet fleet;
  fleet.sources.push_back(
      {InstanceId("c"), 1, UnixTime{}, fleet.wall_clock.Now()});
  fleet.RunUntil(fleet.first_window, kLateness / 2 - milliseconds(100));
  BOOST_TEST(fleet.accepted.empty());
  fleet.RunUntil(fleet.first_window, kLateness / 2 + milliseconds(400));
  BOOST_REQUIRE(fleet.Accepted(fleet.first_window).has_value());
  BOOST_TEST((*fleet.Accepted(fleet.first_window) == fleet.FirstReport()));
  BOOST_TEST(fleet.Windows(0, "incomplete") == 1.0);
}

// All entries were killed in the second window and have started again: nobody
// knows of the runs before.
BOOST_AUTO_TEST_CASE(a_restart_of_all_entries_in_a_window_is_said) {
  HolderFleet fleet;
  fleet.RunUntil(fleet.first_window, seconds(2));
  BOOST_TEST(fleet.Windows(0, "incomplete") == 0.0);
  const UsageWindow window = Next(fleet.first_window);
  fleet.sources.push_back(
      {InstanceId("a"), 1, fleet.wall_clock.Now(), EndOf(window, kLength)});
  fleet.SendFinal(0, "a", window, 3);
  fleet.RunUntil(window, seconds(2));
  BOOST_TEST(fleet.Accepted(window).has_value());
  BOOST_TEST(fleet.Windows(0, "incomplete") == 1.0);
}

BOOST_AUTO_TEST_CASE(counts_that_come_late_change_no_report) {
  HolderFleet fleet;
  fleet.RunUntil(fleet.first_window, seconds(1));
  fleet.SendFinal(0, "c", fleet.first_window, 7);
  fleet.RunUntil(fleet.first_window, seconds(3));
  BOOST_TEST(fleet.accepted.size() == 1U);
  BOOST_TEST((fleet.accepted.front() == fleet.FirstReport()));
  BOOST_TEST(fleet.Counter(0, "usage_runs_late_total") == 7.0);
}

BOOST_AUTO_TEST_CASE(a_window_of_which_nothing_is_known_is_not_reported) {
  HolderFleet fleet;
  const UsageWindow unknown = Next(fleet.first_window);
  fleet.SendFinal(0, "a", Next(unknown), 5);
  fleet.RunUntil(Next(unknown), seconds(1));
  BOOST_TEST(!fleet.Accepted(unknown).has_value());
  BOOST_TEST(fleet.Accepted(Next(unknown)).has_value());
  BOOST_TEST(fleet.Windows(0, "unknown") == 1.0);
}

BOOST_AUTO_TEST_CASE(a_lost_response_of_the_store_changes_no_report) {
  HolderFleet fleet;
  fleet.table(0).next_fate = [call = 0]() mutable {
    return ++call == 2 ? CallFate::kResponseLost : CallFate::kDone;
  };
  fleet.RunUntil(fleet.first_window, milliseconds(500));
  BOOST_TEST(fleet.accepted.empty());
  // Meanwhile more is known, but the report is settled.
  fleet.SendFinal(0, "c", fleet.first_window, 7);
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_REQUIRE(fleet.accepted.size() == 1U);
  BOOST_TEST((fleet.accepted.front() == fleet.FirstReport()));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_while_the_store_is_down) {
  HolderFleet fleet;
  fleet.RunUntil(fleet.first_window, milliseconds(-500));
  fleet.table(0).next_fate = [] { return CallFate::kRequestLost; };
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_TEST(fleet.accepted.empty());
  fleet.table(0).next_fate = [] { return CallFate::kDone; };
  fleet.RunUntil(fleet.first_window, seconds(6));
  BOOST_REQUIRE(fleet.accepted.size() == 1U);
  BOOST_TEST((fleet.accepted.front() == fleet.FirstReport()));
}

BOOST_AUTO_TEST_CASE(a_call_without_a_response_is_repeated_exactly) {
  HolderFleet fleet;
  fleet.client(0).next_result = [call = 0]() mutable {
    return ++call < 3 ? DutyCallResult::kUnknown : DutyCallResult::kAccepted;
  };
  fleet.RunUntil(fleet.first_window, seconds(1));
  BOOST_TEST((fleet.reporter(0).FailingFor() > Duration::zero()));
  fleet.SendFinal(0, "c", fleet.first_window, 7);
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_TEST(fleet.accepted.size() == 3U);
  BOOST_TEST(fleet.AllRepeatsAreExact());
  BOOST_TEST((fleet.reporter(0).FailingFor() == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_call_over_the_rate_limit_is_made_again) {
  HolderFleet fleet;
  fleet.client(0).next_result = [call = 0]() mutable {
    return ++call == 1 ? DutyCallResult::kBusy : DutyCallResult::kAccepted;
  };
  fleet.RunUntil(fleet.first_window, seconds(2));
  BOOST_TEST(fleet.accepted.size() == 1U);
  BOOST_TEST((fleet.reporter(0).FailingFor() == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_rejected_report_is_not_sent_again) {
  HolderFleet fleet;
  fleet.client(0).next_result = [] { return DutyCallResult::kRejected; };
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_TEST(fleet.client(0).call_count == 1);
  BOOST_TEST(fleet.Windows(0, "rejected") == 1.0);
}

BOOST_AUTO_TEST_CASE(a_report_is_given_up_when_it_is_far_too_late) {
  HolderFleet fleet;
  fleet.client(0).next_result = [] { return DutyCallResult::kNotSent; };
  fleet.RunUntil(fleet.first_window, kLateness * 3 + seconds(1));
  BOOST_TEST(fleet.Windows(0, "missed") == 1.0);
}

// The first holder settles the report and ends before it can send it.
BOOST_AUTO_TEST_CASE(a_successor_repeats_the_settled_report_exactly) {
  HolderFleet fleet(2);
  fleet.client(0).next_result = [] { return DutyCallResult::kNotSent; };
  fleet.RunUntil(fleet.first_window, seconds(1));
  BOOST_REQUIRE((fleet.Row().through == fleet.first_window));
  fleet.SetHolder(1);
  fleet.SendFinal(1, "a", fleet.first_window, 40);
  fleet.SendFinal(1, "c", fleet.first_window, 500);
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_REQUIRE(fleet.accepted.size() == 1U);
  BOOST_TEST((fleet.accepted.front() == fleet.FirstReport()));
  BOOST_TEST(fleet.client(1).last_token == fleet.token);
}

// The entries have sent their counts to the standby, too, and one has ended.
BOOST_AUTO_TEST_CASE(a_successor_has_the_counts_that_it_got_as_the_standby) {
  HolderFleet fleet(2);
  fleet.SendFinal(1, "a", fleet.first_window, 40);
  fleet.SendFinal(1, "b", fleet.first_window, 2);
  fleet.RunUntil(fleet.first_window, milliseconds(-500));
  fleet.SetHolder(1);
  fleet.RunUntil(fleet.first_window, seconds(2));
  BOOST_REQUIRE(fleet.accepted.size() == 1U);
  BOOST_TEST((fleet.accepted.front() == fleet.FirstReport()));
}

BOOST_AUTO_TEST_CASE(counts_for_the_next_holder_are_not_late) {
  HolderFleet fleet;
  fleet.RunUntil(fleet.first_window, seconds(1));
  fleet.SetHolder(std::nullopt);
  fleet.reporter(0).Resign();
  fleet.SendFinal(0, "c", fleet.first_window, 7);
  BOOST_TEST(fleet.Counter(0, "usage_runs_late_total") == 0.0);
  fleet.SetHolder(0);
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_TEST(fleet.AllRepeatsAreExact());
}

// The first holder's write arrives after its successor has settled.
BOOST_AUTO_TEST_CASE(a_late_write_of_an_earlier_holder_has_no_effect) {
  HolderFleet fleet(2);
  fleet.table(0).next_fate = [call = 0]() mutable {
    return ++call == 2 ? CallFate::kAppliedLate : CallFate::kDone;
  };
  fleet.RunUntil(fleet.first_window, milliseconds(300));
  fleet.SetHolder(1);
  fleet.SendFinal(1, "a", fleet.first_window, 99);
  fleet.RunUntil(fleet.first_window, seconds(4));
  BOOST_REQUIRE(fleet.accepted.size() == 1U);
  BOOST_TEST((fleet.accepted.front().counts == RunCounts{{kOrganisation, 99}}));
  BOOST_TEST((fleet.Row().reports.front().report == fleet.accepted.front()));
}

BOOST_AUTO_TEST_CASE(the_row_keeps_the_latest_windows_only) {
  ReportingFleet fleet(1);
  fleet.SetHolder(0);
  UsageWindow window = fleet.first_window;
  for (int count = 0; count < 30; ++count) {
    fleet.SendFinal(0, "a", window, 1);
    fleet.RunUntil(window, seconds(2));
    window = Next(window);
  }
  BOOST_TEST(fleet.accepted.size() == 30U);
  BOOST_TEST(fleet.Row().reports.size() == kKeptWindows);
}

// Nobody ran for an hour: the windows of that time are not reported.
BOOST_AUTO_TEST_CASE(windows_of_a_long_outage_are_skipped) {
  HolderFleet fleet;
  fleet.RunUntil(fleet.first_window, seconds(1));
  fleet.SetHolder(std::nullopt);
  fleet.time.RunFor(std::chrono::hours(1));
  fleet.SetHolder(0);
  const UsageWindow window = WindowAt(fleet.wall_clock.Now(), kLength);
  fleet.SendFinal(0, "a", window, 3);
  fleet.RunUntil(window, seconds(4));
  BOOST_TEST(fleet.Accepted(window).has_value());
  BOOST_TEST(fleet.accepted.size() == 2U);
  BOOST_TEST(fleet.Windows(0, "skipped") > 700.0);
}

BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_read_is_not_replaced) {
  HolderFleet fleet;
  fleet.store.rows[{kDutyTable, kUsageKey}] = {kDutyTable, kUsageKey, "odd", 9,
                                               false};
  fleet.RunUntil(fleet.first_window, seconds(20));
  BOOST_TEST(fleet.accepted.empty());
  BOOST_TEST((fleet.store.rows.at({kDutyTable, kUsageKey}).value == "odd"));
}

// Holders follow each other at any moment, each with counts of its own, while
// calls to the store and to the platform fail in all ways.
RC_BOOST_PROP(each_window_has_one_report_whoever_sends_it, ()) {
  constexpr std::size_t kEntries = 3;
  SeededRandom random(*rc::gen::inRange<std::uint32_t>(1, 1000000));
  ReportingFleet fleet(kEntries);
  for (std::size_t index = 0; index < kEntries; ++index) {
    fleet.table(index).next_fate = [&random] {
      const std::uint32_t fate = random.UniformBelow(10);
      return fate < 5 ? static_cast<CallFate>(fate) : CallFate::kDone;
    };
    fleet.client(index).next_result = [&random] {
      constexpr std::array kResults = {
          DutyCallResult::kAccepted, DutyCallResult::kBusy,
          DutyCallResult::kNotSent, DutyCallResult::kUnknown};
      return kResults.at(random.UniformBelow(kResults.size()));
    };
  }
  for (int step = 0; step < 60; ++step) {
    const std::size_t index = random.UniformBelow(kEntries);
    if (random.UniformBelow(3) == 0) {
      fleet.SetHolder(random.UniformBelow(4) == 0 ? std::nullopt
                                                  : std::optional(index));
    }
    fleet.SendFinal(index, "a",
                    Before(WindowAt(fleet.wall_clock.Now(), kLength),
                           random.UniformBelow(3)),
                    random.UniformBelow(1000));
    fleet.time.RunFor(milliseconds(random.UniformBelow(2500)));
  }
  RC_ASSERT(fleet.AllRepeatsAreExact());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
