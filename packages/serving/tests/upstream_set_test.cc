// Tests for the choice of upstreams and the limits on calls to them.
#include "bambooquay/serving/upstream_set.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bambooquay/serving/permit_issuer.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests a second that a cold upstream can take.
constexpr double kColdRate = 8.0;

UpstreamRecord MakeRecord(const std::string& id, int port,
                          std::int64_t started_at_ms = 1) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceName("s");
  record.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
  record.data_centre = DataCentreId("dc");
  record.slots = 64;
  record.started_at_ms = started_at_ms;
  record.models = {{ModelName("m"), {}}};
  return record;
}

/// @returns the report of an idle engine with the model of MakeRecord().
EngineReport MakeReport() {
  EngineReport report;
  report.started_at_ms = 1;
  report.models = {{ModelName("m"), {}}};
  return report;
}

PickQuery MakeQuery(const std::string& service, const std::string& model = "") {
  PickQuery query;
  query.service = ServiceName(service);
  query.model = ModelName(model);
  return query;
}

// A prompt of two parts that requests share, and one of its own.
PromptPrefixes MakePrompt(std::uint64_t own_part) {
  return MakePrefixes(ModelName("m"), AdapterName(),
                      {{PromptPartId{1}, 2500},
                       {PromptPartId{2}, 3800},
                       {PromptPartId{own_part}, 2900}});
}

/// @returns the upstream sets of entries that know each other and one cold
///   upstream.
std::vector<std::unique_ptr<UpstreamSet>> MakeEntriesWithColdUpstream(
    int count, const Clock& clock, RandomSource& random,
    const std::set<ServiceName>& engine_services) {
  std::vector<InstanceId> ids;
  for (int i = 0; i < count; ++i) {
    ids.emplace_back("entry-" + std::to_string(i));
  }
  std::vector<std::unique_ptr<UpstreamSet>> entries;
  for (const InstanceId& id : ids) {
    entries.push_back(
        std::make_unique<UpstreamSet>(clock, random, DataCentreId("dc"),
                                      [](const Endpoint&) { return true; }));
    UpstreamSet& entry = *entries.back();
    entry.SetEntries(id, ids);
    entry.SetEngineServices(engine_services);
    entry.SetColdRate(ServiceName("s"), kColdRate);
    UpstreamRecord record = MakeRecord("a", 1);
    record.cold_remaining = seconds(20);
    entry.Put(record);
  }
  return entries;
}

struct UpstreamSetFixture {
  UpstreamSetFixture() {
    upstreams.SetEntries(InstanceId("self"), {InstanceId("self")});
  }

  std::optional<UpstreamId> Pick(const PickQuery& query = MakeQuery("s")) {
    const auto picked = upstreams.Pick(query);
    const auto* id = std::get_if<UpstreamId>(&picked);
    return id == nullptr ? std::nullopt : std::optional(*id);
  }

  void RecordAttempt(const UpstreamId& id, AttemptResult result) {
    const PickQuery query = MakeQuery("s");
    upstreams.RecordAttemptStart(id, query);
    upstreams.RecordAttemptResult(id, query, result);
  }

  ManualClock clock;
  SeededRandom random{1};
  UpstreamSet upstreams{clock, random, DataCentreId("dc"),
                        [](const Endpoint&) { return true; }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream_set)

BOOST_AUTO_TEST_CASE(draining_disabled_and_removed_upstreams_get_no_calls) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  BOOST_TEST(set.Pick().has_value());
  UpstreamRecord draining = MakeRecord("a", 1);
  draining.draining = true;
  set.upstreams.Put(draining);
  BOOST_TEST(!set.Pick().has_value());
  // A store that has returned from an older copy lists it as before.
  set.upstreams.Put(MakeRecord("a", 1));
  BOOST_TEST(!set.Pick().has_value());
  set.upstreams.Put(MakeRecord("a", 1, 100));
  BOOST_TEST(set.Pick().has_value());
  set.upstreams.SetDataCentreDisabled(DataCentreId("dc"), true);
  BOOST_TEST(!set.Pick().has_value());
  set.upstreams.SetDataCentreDisabled(DataCentreId("dc"), false);
  BOOST_TEST(set.Pick().has_value());
  set.upstreams.Remove(UpstreamId("a"), Duration::zero());
  BOOST_TEST(!set.Pick().has_value());
}

// After a power failure, the list has upstreams that no longer run beside those
// that were started at the same addresses.
BOOST_AUTO_TEST_CASE(
    the_upstream_started_last_supersedes_others_at_its_address) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("old", 1, 100));
  set.upstreams.Put(MakeRecord("new", 1, 200));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(set.Pick()->value() == "new");
  }
  // The same if they are listed in the opposite order.
  UpstreamSetFixture reversed;
  reversed.upstreams.Put(MakeRecord("new", 1, 200));
  reversed.upstreams.Put(MakeRecord("old", 1, 100));
  BOOST_TEST(reversed.Pick()->value() == "new");
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_is_usable_only_once_it_has_restarted) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1, 5));
  set.upstreams.notices().RecordLeaving({UpstreamId("a"), 5});
  BOOST_TEST(!set.Pick().has_value());
  set.upstreams.Put(MakeRecord("a", 1, 5));
  BOOST_TEST(!set.Pick().has_value());
  // Its row expires and comes back.
  set.upstreams.Remove(UpstreamId("a"), Duration::zero());
  set.clock.Advance(seconds(30));
  set.upstreams.Tick();
  set.upstreams.Put(MakeRecord("a", 1, 5));
  BOOST_TEST(!set.Pick().has_value());
  set.upstreams.Put(MakeRecord("a", 1, 6));
  BOOST_TEST(set.Pick().has_value());
}

// The report of a new run may come before its row, which has its version.
BOOST_AUTO_TEST_CASE(
    the_version_of_a_restarted_upstream_is_unknown_until_its_row_comes) {
  UpstreamSetFixture set;
  UpstreamRecord record = MakeRecord("a", 1, 5);
  record.software_version = SoftwareVersion("v1");
  set.upstreams.Put(record);
  PickQuery query = MakeQuery("s");
  query.software_version = SoftwareVersion("v1");
  EngineReport report = MakeReport();
  report.started_at_ms = 5;
  set.upstreams.SetReport(UpstreamId("a"), report);
  BOOST_TEST(set.Pick(query).has_value());
  report.started_at_ms = 6;
  set.upstreams.SetReport(UpstreamId("a"), report);
  BOOST_TEST(!set.Pick(query).has_value());
  // Calls that may go to any version are served.
  BOOST_TEST(set.Pick().has_value());
  record.started_at_ms = 6;
  set.upstreams.Put(record);
  BOOST_TEST(set.Pick(query).has_value());
}

BOOST_AUTO_TEST_CASE(a_removed_upstream_stays_usable_during_its_grace_period) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  set.upstreams.Remove(UpstreamId("a"), seconds(2));
  BOOST_TEST(set.Pick().has_value());
  set.clock.Advance(milliseconds(2100));
  set.upstreams.Tick();
  BOOST_TEST(!set.Pick().has_value());
}

BOOST_AUTO_TEST_CASE(an_unreachable_upstream_is_avoided_for_a_while) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  set.upstreams.Put(MakeRecord("b", 2));
  for (int i = 0; i < 3; ++i) {
    set.RecordAttempt(UpstreamId("a"), AttemptResult::kUnreachable);
  }
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(set.Pick()->value() == "b");
  }
  set.clock.Advance(seconds(30));
  std::map<std::string, int> picks;
  for (int i = 0; i < 200; ++i) {
    ++picks[set.Pick()->value()];
  }
  BOOST_TEST(picks["a"] > 0);
}

// An upstream that hangs looks healthy and idle, but must get few calls. There
// are twenty calls a second for five seconds. Two upstreams answer after 20 ms;
// each call to the one that hangs ends at its limit of a second.
BOOST_AUTO_TEST_CASE(an_upstream_that_hangs_gets_few_calls) {
  UpstreamSetFixture set;
  for (const int port : {1, 2, 3}) {
    set.upstreams.Put(MakeRecord("s" + std::to_string(port), port));
  }
  const UpstreamId hanging("s2");
  std::vector<std::pair<TimePoint, UpstreamId>> running;
  int sent_to_hanging = 0;
  for (int step = 0; step < 500; ++step) {
    set.clock.Advance(milliseconds(10));
    std::erase_if(running, [&](const auto& call) {
      if (call.first > set.clock.Now()) {
        return false;
      }
      const bool hangs = call.second == hanging;
      set.upstreams.RecordAttemptResult(
          call.second, MakeQuery("s"),
          hangs ? AttemptResult::kTimedOut : AttemptResult::kServed);
      return true;
    });
    if (step % 5 == 0) {
      const UpstreamId picked = *set.Pick();
      set.upstreams.RecordAttemptStart(picked, MakeQuery("s"));
      sent_to_hanging += picked == hanging ? 1 : 0;
      running.emplace_back(
          set.clock.Now() +
              (picked == hanging ? milliseconds(1000) : milliseconds(20)),
          picked);
    }
  }
  BOOST_TEST(sent_to_hanging <= 5);
}

// Load: two machines with the same model take twenty calls a second together,
// and the one with fewer runs stands still. Its calls get nothing any more.
BOOST_AUTO_TEST_CASE(an_engine_that_stands_still_gets_calls_for_a_second) {
  UpstreamSetFixture set;
  set.upstreams.SetEngineServices({ServiceName("s")});
  EngineReport report = MakeReport();
  const PickQuery query = MakeQuery("s", "m");
  const UpstreamId still("a");
  const UpstreamId working("b");
  set.upstreams.Put(MakeRecord("a", 1));
  set.upstreams.Put(MakeRecord("b", 2));
  set.upstreams.SetReport(still, report);
  report.running = 40;
  int sent_early = 0;
  int sent_late = 0;
  for (int step = 0; step < 200; ++step) {
    if (step % 4 == 0) {
      set.upstreams.SetReport(working, report);
    }
    const auto picked = set.Pick(query);
    BOOST_REQUIRE(picked.has_value());
    set.upstreams.RecordAttemptStart(*picked, query);
    if (*picked == working) {
      set.upstreams.RecordProgress(working);
      set.upstreams.RecordAttemptResult(working, query, AttemptResult::kServed);
    } else {
      (step <= 20 ? sent_early : sent_late) += 1;
    }
    set.clock.Advance(milliseconds(50));
  }
  BOOST_TEST(sent_early > 0);
  BOOST_TEST(sent_late == 0);
}

// It may be the agent that is gone, so a single call finds out.
BOOST_AUTO_TEST_CASE(a_lone_engine_without_reports_gets_one_call_at_a_time) {
  UpstreamSetFixture set;
  set.upstreams.SetEngineServices({ServiceName("s")});
  EngineReport report = MakeReport();
  const PickQuery query = MakeQuery("s", "m");
  const UpstreamId lone("a");
  set.upstreams.Put(MakeRecord("a", 1));
  set.upstreams.SetReport(lone, report);
  set.clock.Advance(seconds(1));
  BOOST_REQUIRE(set.Pick(query).has_value());
  set.upstreams.RecordAttemptStart(lone, query);
  BOOST_TEST(!set.Pick(query).has_value());
  BOOST_TEST(set.upstreams.last_counts().silent == 1);
  set.upstreams.RecordProgress(lone);
  BOOST_TEST(set.Pick(query).has_value());
}

BOOST_AUTO_TEST_CASE(an_upstream_is_silent_since_any_of_its_calls_had_news) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  const UpstreamId id("a");
  const auto silent_for = [&] {
    return set.upstreams.SilentFor(*set.upstreams.Find(id));
  };
  BOOST_TEST(!silent_for().has_value());
  set.upstreams.RecordAttemptStart(id, MakeQuery("s"));
  set.clock.Advance(seconds(2));
  // A further call is no sign of life.
  set.upstreams.RecordAttemptStart(id, MakeQuery("s"));
  BOOST_TEST((silent_for() == seconds(2)));
  set.upstreams.RecordProgress(id);
  set.clock.Advance(seconds(1));
  BOOST_TEST((silent_for() == seconds(1)));
}

// Load: a burst makes every engine with a model so slow that calls leave it.
// They report all the while and have free slots, so callers are served there
// rather than refused.
BOOST_AUTO_TEST_CASE(slow_engines_that_report_take_the_calls_of_a_burst) {
  UpstreamSetFixture set;
  set.upstreams.SetEngineServices({ServiceName("s")});
  EngineReport report = MakeReport();
  report.running = 20;
  for (const char* id : {"a", "b"}) {
    set.upstreams.Put(MakeRecord(id, *id));
    set.upstreams.SetReport(UpstreamId(id), report);
    for (int i = 0; i < 8; ++i) {
      set.RecordAttempt(UpstreamId(id), AttemptResult::kTimedOut);
    }
  }
  const PickQuery query = MakeQuery("s", "m");
  BOOST_TEST(set.Pick(query).has_value());
  // An engine that is not slow goes first.
  set.upstreams.Put(MakeRecord("c", 3));
  report.running = 60;
  set.upstreams.SetReport(UpstreamId("c"), report);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(set.Pick(query)->value() == "c");
  }
}

// Load: a model in demand has two replicas, and all of its adapters are on one
// of them. Calls with adapters queue there while the other is idle.
BOOST_AUTO_TEST_CASE(an_adapter_is_spread_when_its_engine_is_crowded) {
  UpstreamSetFixture set;
  set.upstreams.SetEngineServices({ServiceName("s")});
  EngineReport report;
  report.started_at_ms = 1;
  for (const char* id : {"a", "b"}) {
    set.upstreams.Put(MakeRecord(id, *id));
  }
  report.models = {{ModelName("m"), {}}};
  set.upstreams.SetReport(UpstreamId("b"), report);
  report.models = {{ModelName("m"), {AdapterName("x")}}};
  PickQuery query = MakeQuery("s", "m");
  query.adapter = AdapterName("x");
  query.may_load_adapter = true;
  // A few requests are no reason to load it again.
  report.running = 5;
  set.upstreams.SetReport(UpstreamId("a"), report);
  BOOST_TEST(set.Pick(query)->value() == "a");
  report.running = 60;
  set.upstreams.SetReport(UpstreamId("a"), report);
  BOOST_TEST((std::get<PickFailure>(set.upstreams.Pick(query)) ==
              PickFailure::kAdapterCrowded));
  BOOST_TEST(set.upstreams.PickForAdapter(query)->value() == "b");
  // A call that can't wait for the load goes to the crowded engine.
  query.may_load_adapter = false;
  BOOST_TEST(set.Pick(query)->value() == "a");
  // Once it is loaded on both, the idle one is chosen.
  set.upstreams.MarkAdapterLoaded(UpstreamId("b"), ModelName("m"),
                                  AdapterName("x"));
  query.may_load_adapter = true;
  BOOST_TEST(set.Pick(query)->value() == "b");
}

// Load: four entries send 12 calls each between two reports of three engines
// that are unevenly loaded. No engine gets a burst.
BOOST_AUTO_TEST_CASE(entries_do_not_crowd_an_engine_between_its_reports) {
  ManualClock clock;
  SeededRandom random(1);
  std::vector<InstanceId> ids;
  for (int i = 0; i < 4; ++i) {
    ids.emplace_back("entry-" + std::to_string(i));
  }
  std::map<UpstreamId, int> load;
  std::vector<std::unique_ptr<UpstreamSet>> entries;
  for (const InstanceId& id : ids) {
    entries.push_back(
        std::make_unique<UpstreamSet>(clock, random, DataCentreId("dc"),
                                      [](const Endpoint&) { return true; }));
    UpstreamSet& entry = *entries.back();
    entry.SetEntries(id, ids);
    entry.SetEngineServices({ServiceName("s")});
    for (const char* engine : {"a", "b", "c"}) {
      EngineReport report;
      report.started_at_ms = 1;
      report.models = {{ModelName("m"), {}}};
      report.running = 2 * (*engine - 'a');
      load[UpstreamId(engine)] = report.running;
      entry.Put(MakeRecord(engine, *engine));
      entry.SetReport(UpstreamId(engine), report);
    }
  }
  const PickQuery query = MakeQuery("s", "m");
  for (int call = 0; call < 12; ++call) {
    for (const auto& entry : entries) {
      const auto chosen = std::get<UpstreamId>(entry->Pick(query));
      entry->RecordAttemptStart(chosen, query);
      ++load[chosen];
    }
  }
  const auto [least, most] = std::ranges::minmax_element(
      load, {}, [](const auto& item) { return item.second; });
  BOOST_TEST(most->second - least->second <= 4);
}

BOOST_AUTO_TEST_CASE(an_engine_without_a_sign_of_life_gets_no_calls) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  for (int i = 0; i < 8; ++i) {
    set.RecordAttempt(UpstreamId("a"), AttemptResult::kTimedOut);
  }
  BOOST_TEST(!set.Pick(MakeQuery("s", "m")).has_value());
}

// The entry stands still for 3 s while a call waits for the engine. What has
// arrived meanwhile is handled only when the input clock goes on.
BOOST_AUTO_TEST_CASE(an_engine_is_not_lost_because_the_entry_stood_still) {
  UpstreamSetFixture set;
  ManualClock input_clock;
  set.upstreams.SetInputClock(input_clock);
  set.upstreams.SetEngineServices({ServiceName("s")});
  set.upstreams.Put(MakeRecord("a", 1));
  set.upstreams.SetReport(UpstreamId("a"), MakeReport());
  const PickQuery query = MakeQuery("s", "m");
  set.upstreams.RecordAttemptStart(UpstreamId("a"), query);
  set.clock.Advance(seconds(3));
  BOOST_TEST(set.Pick(query).has_value());
  set.RecordAttempt(UpstreamId("a"), AttemptResult::kTimedOut);
  BOOST_TEST(set.Pick(query).has_value());
  input_clock.Advance(seconds(3));
  BOOST_TEST(!set.Pick(query).has_value());
}

BOOST_AUTO_TEST_CASE(a_cold_engine_takes_permits_after_the_entry_stood_still) {
  UpstreamSetFixture set;
  ManualClock input_clock;
  set.upstreams.SetInputClock(input_clock);
  set.upstreams.SetEngineServices({ServiceName("s")});
  set.upstreams.SetColdRate(ServiceName("s"), kColdRate);
  UpstreamRecord record = MakeRecord("a", 1);
  record.cold_remaining = seconds(20);
  set.upstreams.Put(record);
  set.upstreams.SetReport(UpstreamId("a"), MakeReport());
  const PickQuery query = MakeQuery("s", "m");
  BOOST_TEST(!set.Pick(query).has_value());
  set.clock.Advance(seconds(3));
  BOOST_TEST(!set.Pick(query).has_value());
  BOOST_TEST(set.upstreams.PickForColdPermit(query).has_value());
}

// Load: all upstreams of a plain service fail half of their calls.
BOOST_AUTO_TEST_CASE(failing_upstreams_are_used_when_there_are_no_others) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  for (int i = 0; i < 8; ++i) {
    set.RecordAttempt(UpstreamId("a"), AttemptResult::kFailed);
  }
  BOOST_TEST(set.Pick().has_value());
}

BOOST_AUTO_TEST_CASE(an_upstream_that_fails_often_is_not_chosen) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  set.upstreams.Put(MakeRecord("b", 2));
  for (int i = 0; i < 40; ++i) {
    set.RecordAttempt(UpstreamId("a"), i % 2 == 0 ? AttemptResult::kFailed
                                                  : AttemptResult::kServed);
    set.RecordAttempt(UpstreamId("b"), AttemptResult::kServed);
  }
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(set.Pick()->value() == "b");
  }
}

// Each entry knows only its own calls to a cold upstream. Together they must
// stay within the bound for cold upstreams: one and a half times the cold rate
// of 8 requests a second, plus 5.
BOOST_AUTO_TEST_CASE(
    entries_together_stay_within_the_bound_of_a_cold_upstream) {
  for (const int entry_count : {1, 4, 5, 21}) {
    ManualClock clock;
    SeededRandom random{3};
    const auto entries =
        MakeEntriesWithColdUpstream(entry_count, clock, random, {});
    std::deque<TimePoint> sent;
    std::size_t total_sent = 0;
    for (int step = 0; step < 1000; ++step) {
      clock.Advance(milliseconds(10));
      for (const auto& entry : entries) {
        if (std::holds_alternative<UpstreamId>(entry->Pick(MakeQuery("s")))) {
          sent.push_back(clock.Now());
          ++total_sent;
        }
      }
      while (!sent.empty() && clock.Now() - sent.front() >= seconds(1)) {
        sent.pop_front();
      }
      BOOST_REQUIRE(sent.size() <= 8 * 1.5 + 5);
    }
    // The upstream gets at least half of the requests that it can take.
    BOOST_TEST(total_sent >= 40U);
  }
}

// After a power failure every engine is cold and a model is loaded on one of
// them, while its calls arrive at any entry, at three of 21 here. With an equal
// share for each entry, these were served at a third of the engine's cold rate
// or not at all. Some entries get no reports from the agent and use the share
// for entries that cannot reach it.
BOOST_AUTO_TEST_CASE(a_cold_engine_is_fully_used_by_the_entries_with_calls) {
  for (const std::uint32_t seed : {1, 2, 3, 4, 5}) {
    ManualClock clock;
    SeededRandom random{seed};
    PermitIssuer permits(clock);
    permits.SetColdRate({kColdRate});
    const UpstreamId engine("a");
    const auto entries =
        MakeEntriesWithColdUpstream(21, clock, random, {ServiceName("s")});
    const std::size_t first_with_calls = random.UniformBelow(18);
    const auto gets_reports = [&](std::size_t entry) { return entry % 3 != 2; };
    const auto has_calls = [&](std::size_t entry) {
      return (entry >= first_with_calls && entry < first_with_calls + 3) ||
             !gets_reports(entry);
    };
    EngineReport report;
    report.started_at_ms = 1;
    report.models = {{ModelName("m"), {}}};
    std::deque<TimePoint> sent;
    int sent_with_permit = 0;
    for (int step = 0; step < 1000; ++step) {
      clock.Advance(milliseconds(10));
      for (std::size_t i = 0; i < entries.size(); ++i) {
        UpstreamSet& entry = *entries[i];
        if (step % 20 == 0 && gets_reports(i)) {
          entry.SetReport(engine, report);
        }
        if (!has_calls(i)) {
          continue;
        }
        if (const auto asked = entry.PickForColdPermit(MakeQuery("s", "m"))) {
          const PermitBounds bounds = entry.BoundsOf(*asked);
          if (permits.TryIssue(bounds)) {
            entry.AddPermit(*asked);
          } else {
            entry.RecordPermitDenial(*asked, permits.TimeUntilNext(bounds));
          }
        }
        if (std::holds_alternative<UpstreamId>(
                entry.Pick(MakeQuery("s", "m")))) {
          sent.push_back(clock.Now());
          sent_with_permit += gets_reports(i) ? 1 : 0;
        }
      }
      while (!sent.empty() && clock.Now() - sent.front() >= seconds(1)) {
        sent.pop_front();
      }
      BOOST_REQUIRE(static_cast<double>(sent.size()) <= kColdRate * 1.5 + 5);
    }
    BOOST_TEST(sent_with_permit >= 0.9 * kColdRate * 10);
  }
}

BOOST_AUTO_TEST_CASE(
    the_time_until_warm_is_that_of_the_first_upstream_to_warm_up) {
  UpstreamSetFixture set;
  set.upstreams.SetColdRate(ServiceName("s"), 8.0);
  BOOST_TEST(!set.upstreams.TimeUntilWarm(MakeQuery("s")).has_value());
  UpstreamRecord record = MakeRecord("a", 1);
  record.cold_remaining = milliseconds(2000);
  set.upstreams.Put(record);
  record = MakeRecord("b", 2);
  record.cold_remaining = milliseconds(1000);
  set.upstreams.Put(record);
  const auto first = set.upstreams.TimeUntilWarm(MakeQuery("s"));
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((*first >= milliseconds(1000) && *first < milliseconds(2000)));
  set.clock.Advance(seconds(5));
  BOOST_TEST(!set.upstreams.TimeUntilWarm(MakeQuery("s")).has_value());
}

BOOST_AUTO_TEST_CASE(a_permit_expires_if_it_is_not_used_at_once) {
  UpstreamSetFixture set;
  set.upstreams.SetEngineServices({ServiceName("s")});
  set.upstreams.SetColdRate(ServiceName("s"), 8.0);
  UpstreamRecord record = MakeRecord("a", 1);
  record.cold_remaining = seconds(20);
  set.upstreams.Put(record);
  EngineReport report = MakeReport();
  set.upstreams.SetReport(UpstreamId("a"), report);
  BOOST_TEST(!set.Pick(MakeQuery("s", "m")).has_value());
  set.upstreams.AddPermit(UpstreamId("a"));
  BOOST_TEST(set.Pick(MakeQuery("s", "m")).has_value());
  BOOST_TEST(!set.Pick(MakeQuery("s", "m")).has_value());
  set.upstreams.AddPermit(UpstreamId("a"));
  set.clock.Advance(milliseconds(100));
  BOOST_TEST(!set.Pick(MakeQuery("s", "m")).has_value());
  // After a denial without a time, the agent is not asked again at once.
  set.upstreams.RecordPermitDenial(UpstreamId("a"), Duration::zero());
  BOOST_TEST(!set.upstreams.PickForColdPermit(MakeQuery("s", "m")).has_value());
  set.clock.Advance(milliseconds(20));
  BOOST_TEST(set.upstreams.PickForColdPermit(MakeQuery("s", "m")).has_value());
  // After a denial with a time, it is not asked until then.
  set.upstreams.RecordPermitDenial(UpstreamId("a"), milliseconds(100));
  BOOST_TEST(!set.upstreams.PickForColdPermit(MakeQuery("s", "m")).has_value());
  set.clock.Advance(milliseconds(110));
  BOOST_TEST(set.upstreams.PickForColdPermit(MakeQuery("s", "m")).has_value());
}

BOOST_AUTO_TEST_CASE(a_prompt_goes_to_the_engine_with_its_shared_parts) {
  UpstreamSetFixture set;
  for (int i = 0; i < 6; ++i) {
    set.upstreams.Put(MakeRecord("e" + std::to_string(i), i + 1));
  }
  const PromptPrefixes prompt = MakePrompt(77);
  PickQuery query = MakeQuery("s", "m");
  query.prompt = prompt;
  query.prompt_tokens = 9200;
  const UpstreamId first = *set.Pick(query);
  set.upstreams.RecordAttemptStart(first, query);
  set.upstreams.RecordAttemptResult(first, query, AttemptResult::kServed);
  for (std::uint64_t own_part = 100; own_part < 110; ++own_part) {
    query.prompt = MakePrompt(own_part);
    BOOST_TEST(set.Pick(query)->value() == first.value());
  }
  // If that engine is busy, another one gets the prompt.
  query.prompt = prompt;
  for (int i = 0; i < 80; ++i) {
    set.upstreams.RecordAttemptStart(first, query);
  }
  BOOST_TEST(set.Pick(query)->value() != first.value());
}

BOOST_AUTO_TEST_CASE(entries_choose_the_same_engine_for_a_prompt) {
  const PromptPrefixes prompt = MakePrompt(77);
  std::set<std::string> chosen;
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    ManualClock clock;
    SeededRandom random{seed};
    UpstreamSet entry(clock, random, DataCentreId("dc"),
                      [](const Endpoint&) { return true; });
    for (int i = 0; i < 6; ++i) {
      entry.Put(MakeRecord("e" + std::to_string(i), i + 1));
    }
    PickQuery query = MakeQuery("s", "m");
    query.prompt = prompt;
    query.prompt_tokens = 9200;
    chosen.insert(std::get<UpstreamId>(entry.Pick(query)).value());
  }
  BOOST_TEST(chosen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    pick_distinguishes_a_missing_model_from_a_missing_adapter) {
  UpstreamSetFixture set;
  set.upstreams.Put(MakeRecord("a", 1));
  PickQuery query = MakeQuery("s", "other");
  BOOST_TEST((std::get<PickFailure>(set.upstreams.Pick(query)) ==
              PickFailure::kModelMissing));
  query.model = ModelName("m");
  query.adapter = AdapterName("a1");
  BOOST_TEST((std::get<PickFailure>(set.upstreams.Pick(query)) ==
              PickFailure::kAdapterMissing));
  set.upstreams.MarkAdapterLoaded(UpstreamId("a"), ModelName("m"),
                                  AdapterName("a1"));
  BOOST_TEST(std::holds_alternative<UpstreamId>(set.upstreams.Pick(query)));
  query.service = ServiceName("none");
  BOOST_TEST((std::get<PickFailure>(set.upstreams.Pick(query)) ==
              PickFailure::kNoUpstream));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
