// Tests of the counts of one entry, and of their collection.
#include "bambooquay/duties/usage_counter.h"

#include <boost/test/unit_test.hpp>

#include "bambooquay/duties/usage_collector.h"
#include "bambooquay/duties/usage_window.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UnixTime kLength = seconds(5);
const OrganisationId kFirst("first");
const OrganisationId kSecond("second");

/// A counter that starts at the beginning of window `window`.
struct CounterFixture {
  void Advance(milliseconds step) {
    clock.Advance(step);
    wall_clock.Advance(step);
  }

  ManualClock clock;
  ManualWallClock wall_clock;
  UsageWindow window = WindowAt(wall_clock.Now(), kLength);
  UsageCounter counter{clock, wall_clock, kLength};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(usage_counter)

BOOST_AUTO_TEST_CASE(a_run_counts_for_the_window_in_which_it_began) {
  CounterFixture fixture;
  fixture.Advance(milliseconds(4999));
  fixture.counter.CountRun(kFirst);
  fixture.Advance(milliseconds(1));
  fixture.counter.CountRun(kFirst);
  fixture.counter.CountRun(kSecond);
  const auto due = fixture.counter.TakeDue();
  BOOST_REQUIRE(due.size() == 2U);
  BOOST_TEST((due.at(0).window == fixture.window));
  BOOST_TEST(due.at(0).is_final);
  BOOST_TEST((due.at(0).counts == RunCounts{{kFirst, 1}}));
  BOOST_TEST((due.at(1).window == Next(fixture.window)));
  BOOST_TEST(!due.at(1).is_final);
  BOOST_TEST((due.at(1).counts == RunCounts{{kFirst, 1}, {kSecond, 1}}));
}

BOOST_AUTO_TEST_CASE(counts_are_sent_as_they_grow_but_not_for_each_run) {
  CounterFixture fixture;
  BOOST_TEST(fixture.counter.TakeDue().empty());
  fixture.counter.CountRun(kFirst);
  BOOST_TEST(fixture.counter.TakeDue().size() == 1U);
  fixture.counter.CountRun(kFirst);
  BOOST_TEST(fixture.counter.TakeDue().empty());
  fixture.Advance(milliseconds(500));
  BOOST_REQUIRE(fixture.counter.TakeDue().size() == 1U);
  fixture.Advance(milliseconds(500));
  BOOST_TEST(fixture.counter.TakeDue().empty());
}

BOOST_AUTO_TEST_CASE(final_counts_are_sent_until_they_are_confirmed) {
  CounterFixture fixture;
  fixture.counter.SetHolder(3);
  fixture.Advance(seconds(5));
  BOOST_REQUIRE(fixture.counter.TakeDue().size() == 1U);
  BOOST_TEST(fixture.counter.TakeDue().empty());
  fixture.Advance(milliseconds(400));
  BOOST_TEST(fixture.counter.TakeDue().size() == 1U);
  // A receipt of an earlier holder confirms nothing.
  fixture.counter.Confirm({fixture.window, 2});
  fixture.Advance(milliseconds(400));
  BOOST_TEST(fixture.counter.TakeDue().size() == 1U);
  fixture.counter.Confirm({fixture.window, 3});
  fixture.Advance(milliseconds(400));
  BOOST_TEST(fixture.counter.TakeDue().empty());
}

BOOST_AUTO_TEST_CASE(a_new_holder_gets_all_windows_that_are_not_settled) {
  CounterFixture fixture;
  fixture.counter.SetHolder(1);
  fixture.Advance(seconds(10));
  for (const UsageCounts& counts : fixture.counter.TakeDue()) {
    fixture.counter.Confirm({counts.window, 1});
  }
  fixture.counter.DropThrough(fixture.window);
  fixture.counter.SetHolder(2);
  const auto due = fixture.counter.TakeDue();
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST((due.front().window == Next(fixture.window)));
}

// The holder's own counts, which it has confirmed to itself, are the standby's
// once it has no lease any more.
BOOST_AUTO_TEST_CASE(without_a_holder_confirmed_counts_are_due_again) {
  CounterFixture fixture;
  fixture.counter.SetHolder(1);
  fixture.Advance(seconds(5));
  for (const UsageCounts& counts : fixture.counter.TakeDue()) {
    fixture.counter.Confirm({counts.window, 1});
  }
  fixture.counter.SetHolder(0);
  BOOST_REQUIRE(fixture.counter.TakeDue().size() == 1U);
  // Nobody confirms them: 0 is no holder.
  fixture.counter.Confirm({fixture.window, 1});
  fixture.Advance(milliseconds(400));
  BOOST_TEST(fixture.counter.TakeDue().size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_counts_of_a_process_that_stops_are_final) {
  CounterFixture fixture;
  fixture.counter.CountRun(kFirst);
  fixture.counter.Close();
  const auto due = fixture.counter.TakeDue();
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due.front().is_final);
}

BOOST_AUTO_TEST_CASE(old_windows_are_dropped_without_a_holder) {
  CounterFixture fixture;
  for (int step = 0; step < 100; ++step) {
    fixture.counter.CountRun(kFirst);
    fixture.Advance(seconds(5));
  }
  BOOST_TEST(fixture.counter.TakeDue().size() <= kKeptWindows + 1);
}

BOOST_AUTO_TEST_CASE(a_clock_that_is_set_back_loses_no_run) {
  CounterFixture fixture;
  fixture.Advance(seconds(5));
  fixture.counter.CountRun(kFirst);
  fixture.wall_clock.Advance(-seconds(20));
  fixture.counter.CountRun(kFirst);
  fixture.wall_clock.Advance(seconds(20));
  std::uint64_t total = 0;
  for (const UsageCounts& counts : fixture.counter.TakeDue()) {
    total += TotalOf(counts.counts);
  }
  BOOST_TEST(total == 2U);
}

BOOST_AUTO_TEST_CASE(messages_are_read_as_they_were_written) {
  const UsageCounts counts{UsageWindow{353445120}, true, {{kFirst, 412}}};
  const auto decoded = DecodeStatus(EncodeStatus({InstanceId("a"), 7, counts}));
  BOOST_REQUIRE(decoded.has_value());
  const auto* read = std::get_if<UsageCounts>(&decoded->body);
  BOOST_REQUIRE(read != nullptr);
  BOOST_TEST((read->window == counts.window));
  BOOST_TEST(read->is_final);
  BOOST_TEST((read->counts == counts.counts));
  const auto notice = DecodeStatus(EncodeStatus(
      {InstanceId("a"), 7, DutyNotice{{4, 90, true}, UsageWindow{8}}}));
  BOOST_REQUIRE(notice.has_value());
  BOOST_TEST(
      (std::get<DutyNotice>(notice->body).lease == LeaseNotice{4, 90, true}));
  const auto receipt = DecodeStatus(
      EncodeStatus({InstanceId("a"), 7, UsageReceipt{UsageWindow{8}, 4}}));
  BOOST_REQUIRE(receipt.has_value());
  BOOST_TEST(std::get<UsageReceipt>(receipt->body).fencing_token == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(usage_collector)

/// Window 100, which begins at 500 s.
constexpr UsageWindow kWindow{100};
constexpr UnixTime kBegin = seconds(500);

UsageSource RunningEntry(const char* id, UnixTime heard_at) {
  return {InstanceId(id), 1, UnixTime{}, heard_at};
}

BOOST_AUTO_TEST_CASE(messages_count_once_in_any_order) {
  UsageCollector collector(kLength);
  const InstanceId entry("a");
  BOOST_TEST(collector.Merge(entry, 1, {kWindow, true, {{kFirst, 5}}}) == 5U);
  BOOST_TEST(collector.Merge(entry, 1, {kWindow, false, {{kFirst, 3}}}) == 0U);
  BOOST_TEST(collector.Merge(entry, 1, {kWindow, true, {{kFirst, 5}}}) == 0U);
  collector.Merge(InstanceId("b"), 1, {kWindow, true, {{kSecond, 2}}});
  const auto usage = collector.Collect(
      kWindow, {RunningEntry("a", kBegin), RunningEntry("b", kBegin)});
  BOOST_TEST((usage.counts == RunCounts{{kFirst, 5}, {kSecond, 2}}));
  BOOST_TEST(usage.missing.empty());
  BOOST_TEST(usage.lost.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_ran_in_the_window_is_waited_for) {
  UsageCollector collector(kLength);
  collector.Merge(InstanceId("a"), 1, {kWindow, false, {{kFirst, 3}}});
  const auto usage = collector.Collect(
      kWindow, {RunningEntry("a", kBegin),
                // Silent since before the window.
                RunningEntry("b", kBegin - milliseconds(1)),
                // Started after it.
                {InstanceId("c"), 1, kBegin + kLength, kBegin + kLength}});
  BOOST_REQUIRE(usage.missing.size() == 1U);
  BOOST_TEST(usage.missing.front().value() == "a");
  BOOST_TEST(usage.lost.empty());
}

// The entry's process was killed and has started again.
BOOST_AUTO_TEST_CASE(what_a_killed_process_had_sent_is_kept_and_named) {
  UsageCollector collector(kLength);
  collector.Merge(InstanceId("a"), 1, {kWindow, false, {{kFirst, 3}}});
  collector.Merge(InstanceId("a"), 2, {kWindow, true, {{kFirst, 4}}});
  const auto usage = collector.Collect(
      kWindow, {{InstanceId("a"), 2, kBegin, kBegin + kLength}});
  BOOST_TEST((usage.counts == RunCounts{{kFirst, 7}}));
  BOOST_TEST(usage.missing.empty());
  BOOST_REQUIRE(usage.lost.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_window_without_any_counts_is_unknown) {
  UsageCollector collector(kLength);
  BOOST_TEST(!collector.Collect(kWindow, {}).is_known);
  collector.Merge(InstanceId("a"), 1, {kWindow, true, {}});
  BOOST_TEST(collector.Collect(kWindow, {}).is_known);
  collector.DropBefore(Next(kWindow));
  BOOST_TEST(!collector.Collect(kWindow, {}).is_known);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
