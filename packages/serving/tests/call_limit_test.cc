// Tests for the limits on calls that upstreams name: what entries know of them,
// and what the entries send together.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bambooquay/serving/entry_permits.h"
#include "bambooquay/serving/permit_issuer.h"
#include "bambooquay/serving/upstream_notices.h"
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// In any such time an upstream may get one and a half times what its limit
// allows, and five calls more.
constexpr Duration kWindow = seconds(4);
constexpr double kWindowOverage = 1.5;
constexpr double kWindowSlack = 5.0;

const UpstreamId kUpstream("a");
const UpstreamRun kRun{kUpstream, 1};
const ServiceName kService("s");

PermitBounds Limit(double per_second) {
  return {false, CallsPerSecond{per_second}};
}

PickQuery MakeQuery(bool may_request_permit) {
  PickQuery query;
  query.service = kService;
  query.model = ModelName("m");
  query.may_request_permit = may_request_permit;
  return query;
}

/// Entries that know each other and one upstream.
class LimitedFleet {
 public:
  LimitedFleet(std::size_t entry_count, bool has_engine)
      : m_has_engine(has_engine), m_agent(clock) {
    for (std::size_t i = 0; i < entry_count; ++i) {
      m_ids.emplace_back("entry-" + std::to_string(i));
    }
    for (const InstanceId& id : m_ids) {
      Entry& entry = m_entries.emplace_back();
      entry.upstreams =
          std::make_unique<UpstreamSet>(clock, random, DataCentreId("dc"),
                                        [](const Endpoint&) { return true; });
      entry.permits = std::make_unique<EntryPermits>(clock, id);
      entry.permits->SetEntries(m_ids, m_ids.size());
      UpstreamSet& upstreams = *entry.upstreams;
      upstreams.SetEntries(id, m_ids);
      if (has_engine) {
        upstreams.SetEngineServices({kService});
      }
      UpstreamRecord record;
      record.id = kUpstream;
      record.service = kService;
      record.address = {"127.0.0.1", 1};
      record.slots = 1000;
      record.started_at_ms = 1;
      record.models = {{ModelName("m"), {}}};
      upstreams.Put(record);
    }
  }

  /// All entries hear the limit.
  void NameLimit(CallsPerSecond limit) {
    std::ranges::for_each(m_entries, [&](Entry& entry) {
      entry.upstreams->notices().RecordCallLimit(kRun, limit);
    });
  }
  /// The others have not heard of an entry for a while: it is frozen, cut off
  /// or dead.
  void SetSilent(std::size_t silent_entry) {
    std::vector<InstanceId> live = m_ids;
    live.erase(live.begin() + static_cast<std::ptrdiff_t>(silent_entry));
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      m_entries[i].permits->SetEntries(
          i == silent_entry ? std::vector{m_ids[i]} : live, m_ids.size());
    }
  }
  /// @returns the index of the entry that issues the permits.
  [[nodiscard]] std::size_t IssuerIndex() const {
    const InstanceId issuer = m_entries.front().permits->IssuerOf(kUpstream);
    return static_cast<std::size_t>(std::ranges::find(m_ids, issuer) -
                                    m_ids.begin());
  }
  /// Sends a call from an entry if that gets a permit.
  bool TrySend(std::size_t index) {
    Entry& entry = m_entries[index];
    UpstreamSet& upstreams = *entry.upstreams;
    if (m_has_engine) {
      EngineReport report;
      report.started_at_ms = 1;
      report.models = {{ModelName("m"), {}}};
      upstreams.SetReport(kUpstream, report);
    }
    PickResult picked = upstreams.Pick(MakeQuery(true));
    if (std::holds_alternative<PermitNeeded>(picked)) {
      const PermitBounds bounds = upstreams.BoundsOf(kUpstream);
      const PermitReply reply = RequestPermit(entry, bounds);
      if (reply.granted) {
        upstreams.AddPermit(kUpstream);
      } else {
        upstreams.RecordPermitDenial(kUpstream, reply.wait);
      }
      picked = upstreams.Pick(MakeQuery(false));
    }
    if (!std::holds_alternative<UpstreamId>(picked)) {
      return false;
    }
    upstreams.RecordAttemptStart(kUpstream, MakeQuery(false));
    upstreams.RecordAttemptResult(kUpstream, MakeQuery(false),
                                  AttemptResult::kServed);
    return true;
  }
  [[nodiscard]] std::size_t size() const { return m_entries.size(); }

  ManualClock clock;
  SeededRandom random{7};

 private:
  struct Entry {
    std::unique_ptr<UpstreamSet> upstreams;
    std::unique_ptr<EntryPermits> permits;
  };

  PermitReply RequestPermit(Entry& entry, const PermitBounds& bounds) {
    if (m_has_engine) {
      const bool granted = m_agent.TryIssue(bounds);
      return {0, granted, m_agent.TimeUntilNext(bounds)};
    }
    const InstanceId issuer = entry.permits->IssuerOf(kUpstream);
    const auto index = static_cast<std::size_t>(
        std::ranges::find(m_ids, issuer) - m_ids.begin());
    return m_entries[index].permits->Issue({0, kUpstream, bounds});
  }

  bool m_has_engine;
  PermitIssuer m_agent;
  std::vector<InstanceId> m_ids;
  std::vector<Entry> m_entries;
};

/// Counts the calls in a sliding window.
class WindowCounter {
 public:
  void Add(TimePoint now) { m_sent.push_back(now); }
  [[nodiscard]] std::size_t CountAt(TimePoint now) {
    while (!m_sent.empty() && now - m_sent.front() >= kWindow) {
      m_sent.pop_front();
    }
    return m_sent.size();
  }

 private:
  std::deque<TimePoint> m_sent;
};

double MostInWindow(double per_second) {
  return per_second * ToSeconds(kWindow) * kWindowOverage + kWindowSlack;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(call_limit)

// Calls arrive at one entry, at all of them, or at others from second to
// second. Without permits each entry would use its part of the limit at most,
// or all entries together a multiple of it.
BOOST_AUTO_TEST_CASE(entries_together_use_a_limit_and_stay_within_it) {
  using ChooseEntries =
      std::function<bool(std::size_t entry, std::size_t second)>;
  const std::vector<ChooseEntries> patterns = {
      [](std::size_t entry, std::size_t /*second*/) { return entry == 0; },
      [](std::size_t /*entry*/, std::size_t /*second*/) { return true; },
      [](std::size_t entry, std::size_t second) {
        return entry % 5 == second % 5;
      }};
  for (const std::size_t entry_count : {1, 5, 21}) {
    for (const double per_second : {0.3, 1.2, 9.3, 47.0}) {
      for (const bool has_engine : {false, true}) {
        for (const ChooseEntries& has_calls : patterns) {
          LimitedFleet fleet(entry_count, has_engine);
          fleet.NameLimit({per_second});
          WindowCounter window;
          int sent = 0;
          for (std::size_t step = 0; step < 2000; ++step) {
            fleet.clock.Advance(milliseconds(10));
            for (std::size_t i = 0; i < fleet.size(); ++i) {
              if (has_calls(i, entry_count == 1 ? 0 : step / 100) &&
                  fleet.TrySend(i)) {
                window.Add(fleet.clock.Now());
                ++sent;
              }
            }
            BOOST_REQUIRE(static_cast<double>(window.CountAt(
                              fleet.clock.Now())) <= MostInWindow(per_second));
          }
          BOOST_TEST(sent >= 0.9 * per_second * 20 - 1);
        }
      }
    }
  }
}

// The issuer falls silent, the next one takes over, and the silent entry goes
// on alone: it may only be cut off from the others.
BOOST_AUTO_TEST_CASE(a_limit_is_kept_when_the_issuer_is_cut_off) {
  for (const double per_second : {1.2, 9.3}) {
    LimitedFleet fleet(5, false);
    fleet.NameLimit({per_second});
    WindowCounter window;
    for (int step = 0; step < 3000; ++step) {
      fleet.clock.Advance(milliseconds(10));
      if (step == 1000) {
        fleet.SetSilent(fleet.IssuerIndex());
      }
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.TrySend(i)) {
          window.Add(fleet.clock.Now());
        }
      }
      BOOST_REQUIRE(static_cast<double>(window.CountAt(fleet.clock.Now())) <=
                    MostInWindow(per_second));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_permit_is_within_the_cold_rate_and_the_call_limit) {
  ManualClock clock;
  PermitIssuer issuer(clock);
  issuer.SetColdRate({8.0});
  const PermitBounds both{true, CallsPerSecond{2.0}};
  BOOST_TEST(issuer.TryIssue(both));
  BOOST_TEST(!issuer.TryIssue(both));
  BOOST_TEST((issuer.TimeUntilNext(both) == milliseconds(500)));
  clock.Advance(milliseconds(250));
  // Of the cold rate there is a permit, of the limit there is none.
  BOOST_TEST(!issuer.TryIssue(both));
  BOOST_TEST(issuer.TryIssue({true, std::nullopt}));
}

BOOST_AUTO_TEST_CASE(a_changed_limit_applies_from_then_on) {
  ManualClock clock;
  PermitIssuer issuer(clock);
  BOOST_TEST(issuer.TryIssue(Limit(100.0)));
  BOOST_TEST(!issuer.TryIssue(Limit(1.0)));
  clock.Advance(milliseconds(900));
  BOOST_TEST(!issuer.TryIssue(Limit(1.0)));
  clock.Advance(milliseconds(100));
  BOOST_TEST(issuer.TryIssue(Limit(1.0)));
}

BOOST_AUTO_TEST_CASE(a_limited_upstream_gets_no_calls_without_a_permit) {
  LimitedFleet fleet(1, false);
  fleet.NameLimit({1.0});
  BOOST_TEST(fleet.TrySend(0));
  BOOST_TEST(!fleet.TrySend(0));
  fleet.clock.Advance(seconds(1));
  BOOST_TEST(fleet.TrySend(0));
}

BOOST_AUTO_TEST_CASE(a_call_that_no_upstream_takes_in_time_is_known_at_once) {
  ManualClock clock;
  SeededRandom random{1};
  UpstreamSet upstreams{clock, random, DataCentreId("dc"),
                        [](const Endpoint&) { return true; }};
  UpstreamRecord record;
  record.id = kUpstream;
  record.service = kService;
  record.started_at_ms = 1;
  record.models = {{ModelName("m"), {}}};
  upstreams.Put(record);
  BOOST_TEST((upstreams.TimeUntilOffer(MakeQuery(true)) == Duration::zero()));
  upstreams.notices().RecordCallLimit(kRun, CallsPerSecond{0.5});
  upstreams.RecordPermitDenial(kUpstream, seconds(2));
  BOOST_TEST((upstreams.TimeUntilOffer(MakeQuery(true)) == seconds(2)));
  BOOST_TEST(
      std::holds_alternative<PickFailure>(upstreams.Pick(MakeQuery(true))));
  // The limit ends.
  upstreams.notices().RecordCallLimit(kRun, NoCallLimit{});
  BOOST_TEST((upstreams.TimeUntilOffer(MakeQuery(true)) == Duration::zero()));
  BOOST_TEST(
      std::holds_alternative<UpstreamId>(upstreams.Pick(MakeQuery(true))));
}

BOOST_AUTO_TEST_CASE(a_limit_holds_until_a_newer_response_or_run) {
  ManualClock clock;
  UpstreamNotices notices(clock);
  notices.RecordCallLimit(kRun, CallsPerSecond{3.0});
  clock.Advance(seconds(100));
  BOOST_TEST(notices.CallLimit(kRun)->value == 3.0);
  BOOST_TEST(!notices.CallLimit({kUpstream, 2}).has_value());
  notices.RecordCallLimit(kRun, UnreadableCallLimit{});
  BOOST_TEST(notices.CallLimit(kRun)->value == 3.0);
  notices.RecordCallLimit(kRun, CallsPerSecond{5.0});
  BOOST_TEST(notices.CallLimit(kRun)->value == 5.0);
  notices.RecordCallLimit(kRun, NoCallLimit{});
  BOOST_TEST(!notices.CallLimit(kRun).has_value());
}

// A few calls are needed to learn that the limit has ended.
BOOST_AUTO_TEST_CASE(a_limit_of_zero_leaves_a_call_now_and_then) {
  ManualClock clock;
  UpstreamNotices notices(clock);
  notices.RecordCallLimit(kRun, CallsPerSecond{0.0});
  const double per_second = notices.CallLimit(kRun)->value;
  BOOST_TEST(per_second > 0.0);
  BOOST_TEST(per_second * ToSeconds(kWindow) <= kWindowSlack);
}

BOOST_AUTO_TEST_CASE(entries_learn_of_limits_from_each_other) {
  ManualClock clock;
  UpstreamNotices first(clock);
  UpstreamNotices second(clock);
  first.RecordCallLimit(kRun, CallsPerSecond{3.0});
  second.Merge(first.MakeReports());
  BOOST_TEST(second.CallLimit(kRun)->value == 3.0);
  // Only the entry that heard it first reports it.
  BOOST_TEST(second.MakeReports().empty());
  clock.Advance(seconds(3));
  BOOST_TEST(first.MakeReports().empty());
  // An older statement does not replace a newer one.
  clock.Advance(seconds(1));
  first.RecordCallLimit(kRun, NoCallLimit{});
  const auto ended = first.MakeReports();
  BOOST_REQUIRE(ended.size() == 1U);
  clock.Advance(milliseconds(100));
  second.RecordCallLimit(kRun, CallsPerSecond{4.0});
  second.Merge({{kRun, std::nullopt, milliseconds(100)}});
  BOOST_TEST(second.CallLimit(kRun)->value == 4.0);
  second.Merge({{kRun, std::nullopt, milliseconds(0)}});
  BOOST_TEST(!second.CallLimit(kRun).has_value());
}

BOOST_AUTO_TEST_CASE(limits_of_runs_that_have_ended_are_forgotten) {
  ManualClock clock;
  UpstreamNotices notices(clock);
  notices.RecordCallLimit(kRun, CallsPerSecond{3.0});
  const auto is_listed = [](bool listed) {
    return [listed](const UpstreamRun&) { return listed; };
  };
  clock.Advance(std::chrono::minutes(30));
  notices.RemoveExpired(is_listed(true));
  BOOST_TEST(notices.CallLimit(kRun).has_value());
  clock.Advance(std::chrono::minutes(9));
  notices.RemoveExpired(is_listed(false));
  BOOST_TEST(notices.CallLimit(kRun).has_value());
  clock.Advance(std::chrono::minutes(2));
  notices.RemoveExpired(is_listed(false));
  BOOST_TEST(!notices.CallLimit(kRun).has_value());
}

BOOST_AUTO_TEST_CASE(entries_agree_on_the_issuer_and_spread_upstreams) {
  ManualClock clock;
  std::vector<InstanceId> ids;
  for (int i = 0; i < 5; ++i) {
    ids.emplace_back("entry-" + std::to_string(i));
  }
  std::map<InstanceId, int> upstreams_of;
  for (int i = 0; i < 100; ++i) {
    const UpstreamId upstream("i-" + std::to_string(i));
    EntryPermits first(clock, ids[0]);
    first.SetEntries(ids, ids.size());
    EntryPermits second(clock, ids[1]);
    second.SetEntries({ids.rbegin(), ids.rend()}, ids.size());
    BOOST_TEST(first.IssuerOf(upstream).value() ==
               second.IssuerOf(upstream).value());
    ++upstreams_of[first.IssuerOf(upstream)];
  }
  BOOST_TEST(upstreams_of.size() == ids.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
