// Which upstreams get calls, and how many.
#include "bambooquay/serving/upstream_set.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bambooquay/serving/cold_permits.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests a second that a cold upstream bears.
constexpr double kColdRate = 8.0;

UpstreamRecord Record(const std::string& id, int port,
                      std::int64_t born_ms = 1) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceName("s");
  record.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
  record.data_centre = DataCentreId("dc");
  record.slots = 64;
  record.born_ms = born_ms;
  record.models = {{ModelName("m"), {}}};
  return record;
}

PickQuery Query(const std::string& service, const std::string& model = "") {
  PickQuery query;
  query.service = ServiceName(service);
  query.model = ModelName(model);
  return query;
}

// Two parts that requests share, and one of its own.
PromptPrefixes PromptOf(std::uint64_t own) {
  return MakePrefixes(ModelName("m"), AdapterName(),
                      {{1, 2500}, {2, 3800}, {own, 2900}});
}

/// Entries that know of each other and of one cold upstream.
std::vector<std::unique_ptr<UpstreamSet>> EntriesOfColdUpstream(
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
    UpstreamRecord record = Record("a", 1);
    record.cold_remaining = seconds(20);
    entry.Put(record);
  }
  return entries;
}

struct Set {
  Set() { upstreams.SetEntries(InstanceId("self"), {InstanceId("self")}); }

  std::optional<UpstreamId> Pick(const PickQuery& query = Query("s")) {
    const auto picked = upstreams.Pick(query);
    const auto* id = std::get_if<UpstreamId>(&picked);
    return id == nullptr ? std::nullopt : std::optional(*id);
  }

  void Serve(const UpstreamId& id, AttemptEnd end) {
    const PickQuery query = Query("s");
    upstreams.Began(id, query);
    upstreams.Ended(id, query, end);
  }

  ManualClock clock;
  SeededRandom random{1};
  UpstreamSet upstreams{clock, random, DataCentreId("dc"),
                        [](const Endpoint&) { return true; }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream_set)

BOOST_AUTO_TEST_CASE(upstreams_that_leave_or_are_out_get_nothing) {
  Set set;
  set.upstreams.Put(Record("a", 1));
  BOOST_TEST(set.Pick().has_value());
  UpstreamRecord draining = Record("a", 1);
  draining.draining = true;
  set.upstreams.Put(draining);
  BOOST_TEST(!set.Pick().has_value());
  set.upstreams.Put(Record("a", 1));
  set.upstreams.SetDataCentreOut(DataCentreId("dc"), true);
  BOOST_TEST(!set.Pick().has_value());
  set.upstreams.SetDataCentreOut(DataCentreId("dc"), false);
  BOOST_TEST(set.Pick().has_value());
  set.upstreams.Remove(UpstreamId("a"), Duration::zero());
  BOOST_TEST(!set.Pick().has_value());
}

// After a loss of power the list still names the dead beside those that were
// started at their addresses.
BOOST_AUTO_TEST_CASE(the_upstream_born_last_has_the_address) {
  Set set;
  set.upstreams.Put(Record("old", 1, 100));
  set.upstreams.Put(Record("new", 1, 200));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(set.Pick()->value() == "new");
  }
  // The same when the list names them the other way round.
  Set reversed;
  reversed.upstreams.Put(Record("new", 1, 200));
  reversed.upstreams.Put(Record("old", 1, 100));
  BOOST_TEST(reversed.Pick()->value() == "new");
}

BOOST_AUTO_TEST_CASE(an_entry_that_lapsed_with_the_store_away_has_a_grace) {
  Set set;
  set.upstreams.Put(Record("a", 1));
  set.upstreams.Remove(UpstreamId("a"), seconds(2));
  BOOST_TEST(set.Pick().has_value());
  set.clock.Advance(milliseconds(2100));
  set.upstreams.Tick();
  BOOST_TEST(!set.Pick().has_value());
}

BOOST_AUTO_TEST_CASE(an_unreachable_upstream_is_avoided_for_a_while) {
  Set set;
  set.upstreams.Put(Record("a", 1));
  set.upstreams.Put(Record("b", 2));
  for (int i = 0; i < 3; ++i) {
    set.Serve(UpstreamId("a"), AttemptEnd::kUnreachable);
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

// A server that hangs looks healthy and idle. Twenty calls a second for five
// seconds, answered after 20 ms by two others; each call to the one that hangs
// ends at its limit of a second.
BOOST_AUTO_TEST_CASE(an_upstream_that_hangs_gets_less) {
  Set set;
  for (const int port : {1, 2, 3}) {
    set.upstreams.Put(Record("s" + std::to_string(port), port));
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
      set.upstreams.Ended(call.second, Query("s"),
                          hangs ? AttemptEnd::kTimedOut : AttemptEnd::kServed);
      return true;
    });
    if (step % 5 == 0) {
      const UpstreamId picked = *set.Pick();
      set.upstreams.Began(picked, Query("s"));
      sent_to_hanging += picked == hanging ? 1 : 0;
      running.emplace_back(
          set.clock.Now() +
              (picked == hanging ? milliseconds(1000) : milliseconds(20)),
          picked);
    }
  }
  BOOST_TEST(sent_to_hanging <= 5);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_fails_often_gets_less) {
  Set set;
  set.upstreams.Put(Record("a", 1));
  set.upstreams.Put(Record("b", 2));
  for (int i = 0; i < 40; ++i) {
    set.Serve(UpstreamId("a"),
              i % 2 == 0 ? AttemptEnd::kFailed : AttemptEnd::kServed);
    set.Serve(UpstreamId("b"), AttemptEnd::kServed);
  }
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(set.Pick()->value() == "b");
  }
}

// Entries that each know only their own sending keep a cold upstream's bound
// together: 8 requests a second, half more, and 5.
BOOST_AUTO_TEST_CASE(entries_together_keep_the_bound_of_a_cold_upstream) {
  for (const int entry_count : {1, 4, 5, 21}) {
    ManualClock clock;
    SeededRandom random{3};
    const auto entries = EntriesOfColdUpstream(entry_count, clock, random, {});
    std::deque<TimePoint> sent;
    std::size_t all = 0;
    for (int step = 0; step < 1000; ++step) {
      clock.Advance(milliseconds(10));
      for (const auto& entry : entries) {
        if (std::holds_alternative<UpstreamId>(entry->Pick(Query("s")))) {
          sent.push_back(clock.Now());
          ++all;
        }
      }
      while (!sent.empty() && clock.Now() - sent.front() >= seconds(1)) {
        sent.pop_front();
      }
      BOOST_REQUIRE(sent.size() <= 8 * 1.5 + 5);
    }
    // And it is used: at least half of what it bears.
    BOOST_TEST(all >= 40U);
  }
}

// After a loss of power every engine is cold and a model is held by one of
// them, while its calls come in at any entry: three of 21 here. Equal parts
// for all entries served these at a third of what the engine bears, or not at
// all. Some entries do not hear the agent and use what is left beside it.
BOOST_AUTO_TEST_CASE(a_cold_engine_is_used_by_whichever_entries_have_calls) {
  for (const std::uint32_t seed : {1, 2, 3, 4, 5}) {
    ManualClock clock;
    SeededRandom random{seed};
    ColdPermits permits(clock);
    permits.SetRate(kColdRate);
    const UpstreamId engine("a");
    const auto entries =
        EntriesOfColdUpstream(21, clock, random, {ServiceName("s")});
    const std::size_t first = random.Below(18);
    const auto hears = [&](std::size_t entry) { return entry % 3 != 2; };
    const auto calls = [&](std::size_t entry) {
      return (entry >= first && entry < first + 3) || !hears(entry);
    };
    EngineReport report;
    report.born_ms = 1;
    report.models = {{ModelName("m"), {}}};
    std::deque<TimePoint> sent;
    int sent_with_permit = 0;
    for (int step = 0; step < 1000; ++step) {
      clock.Advance(milliseconds(10));
      for (std::size_t i = 0; i < entries.size(); ++i) {
        UpstreamSet& entry = *entries[i];
        if (step % 20 == 0 && hears(i)) {
          entry.SetReport(engine, report);
        }
        if (!calls(i)) {
          continue;
        }
        if (const auto asked = entry.PickForPermit(Query("s", "m"))) {
          if (permits.TryAcquire()) {
            entry.GrantCold(*asked);
          } else {
            entry.DenyCold(*asked, permits.TimeUntilNext());
          }
        }
        if (std::holds_alternative<UpstreamId>(entry.Pick(Query("s", "m")))) {
          sent.push_back(clock.Now());
          sent_with_permit += hears(i) ? 1 : 0;
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

BOOST_AUTO_TEST_CASE(the_first_upstream_to_be_warm_tells_when_to_come_back) {
  Set set;
  set.upstreams.SetColdRate(ServiceName("s"), 8.0);
  BOOST_TEST(!set.upstreams.TimeUntilWarm(Query("s")).has_value());
  UpstreamRecord record = Record("a", 1);
  record.cold_remaining = milliseconds(2000);
  set.upstreams.Put(record);
  record = Record("b", 2);
  record.cold_remaining = milliseconds(1000);
  set.upstreams.Put(record);
  const auto first = set.upstreams.TimeUntilWarm(Query("s"));
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((*first >= milliseconds(1000) && *first < milliseconds(2000)));
  set.clock.Advance(seconds(5));
  BOOST_TEST(!set.upstreams.TimeUntilWarm(Query("s")).has_value());
}

BOOST_AUTO_TEST_CASE(a_permit_that_is_not_used_at_once_expires) {
  Set set;
  set.upstreams.SetEngineServices({ServiceName("s")});
  set.upstreams.SetColdRate(ServiceName("s"), 8.0);
  UpstreamRecord record = Record("a", 1);
  record.cold_remaining = seconds(20);
  set.upstreams.Put(record);
  EngineReport report;
  report.born_ms = 1;
  report.models = {{ModelName("m"), {}}};
  set.upstreams.SetReport(UpstreamId("a"), report);
  BOOST_TEST(!set.Pick(Query("s", "m")).has_value());
  set.upstreams.GrantCold(UpstreamId("a"));
  BOOST_TEST(set.Pick(Query("s", "m")).has_value());
  BOOST_TEST(!set.Pick(Query("s", "m")).has_value());
  set.upstreams.GrantCold(UpstreamId("a"));
  set.clock.Advance(milliseconds(100));
  BOOST_TEST(!set.Pick(Query("s", "m")).has_value());
  // A denial without a time is not followed by a request at once.
  set.upstreams.DenyCold(UpstreamId("a"), Duration::zero());
  BOOST_TEST(!set.upstreams.PickForPermit(Query("s", "m")).has_value());
  set.clock.Advance(milliseconds(20));
  BOOST_TEST(set.upstreams.PickForPermit(Query("s", "m")).has_value());
  // One with a time is kept in mind for it.
  set.upstreams.DenyCold(UpstreamId("a"), milliseconds(100));
  BOOST_TEST(!set.upstreams.PickForPermit(Query("s", "m")).has_value());
  set.clock.Advance(milliseconds(110));
  BOOST_TEST(set.upstreams.PickForPermit(Query("s", "m")).has_value());
}

BOOST_AUTO_TEST_CASE(a_prompt_goes_where_its_shared_parts_are) {
  Set set;
  for (int i = 0; i < 6; ++i) {
    set.upstreams.Put(Record("e" + std::to_string(i), i + 1));
  }
  const PromptPrefixes prompt = PromptOf(77);
  PickQuery query = Query("s", "m");
  query.prompt = prompt;
  query.prompt_tokens = 9200;
  const UpstreamId first = *set.Pick(query);
  set.upstreams.Began(first, query);
  set.upstreams.Ended(first, query, AttemptEnd::kServed);
  for (std::uint64_t own = 100; own < 110; ++own) {
    query.prompt = PromptOf(own);
    BOOST_TEST(set.Pick(query)->value() == first.value());
  }
  // A loaded engine passes the prompt on.
  query.prompt = prompt;
  for (int i = 0; i < 80; ++i) {
    set.upstreams.Began(first, query);
  }
  BOOST_TEST(set.Pick(query)->value() != first.value());
}

BOOST_AUTO_TEST_CASE(entries_agree_on_an_engine_without_talking) {
  const PromptPrefixes prompt = PromptOf(77);
  std::set<std::string> chosen;
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    ManualClock clock;
    SeededRandom random{seed};
    UpstreamSet entry(clock, random, DataCentreId("dc"),
                      [](const Endpoint&) { return true; });
    for (int i = 0; i < 6; ++i) {
      entry.Put(Record("e" + std::to_string(i), i + 1));
    }
    PickQuery query = Query("s", "m");
    query.prompt = prompt;
    query.prompt_tokens = 9200;
    chosen.insert(std::get<UpstreamId>(entry.Pick(query)).value());
  }
  BOOST_TEST(chosen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_missing_model_and_a_missing_adapter_are_told_apart) {
  Set set;
  set.upstreams.Put(Record("a", 1));
  PickQuery query = Query("s", "other");
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
