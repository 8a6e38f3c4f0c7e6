// Tests of the choice of an engine by its predicted work, among them a load
// that is played on simulated engines with and without estimates.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

UpstreamRecord MakeEngine(const std::string& id, const std::string& centre) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceName("s");
  record.address = {"127.0.0.1",
                    static_cast<std::uint16_t>(std::hash<std::string>()(id))};
  record.data_centre = DataCentreId(centre);
  record.slots = 64;
  record.started_at_ms = 1;
  record.models = {{ModelName("m"), {}}};
  return record;
}

EngineReport MakeReport(int running = 0) {
  EngineReport report;
  report.started_at_ms = 1;
  report.running = running;
  report.models = {{ModelName("m"), {}}};
  return report;
}

/// @param own_part  the part that is the call's own.
PickQuery MakeQuery(double tokens, std::uint64_t own_part,
                    std::uint64_t shared_part = 1) {
  PickQuery query;
  query.service = ServiceName("s");
  query.model = ModelName("m");
  query.prompt_tokens = tokens;
  query.prompt = MakePrefixes(ModelName("m"), AdapterName(),
                              {{PromptPartId{shared_part}, tokens / 2.0},
                               {PromptPartId{own_part}, tokens / 2.0}});
  query.events = 9;
  query.body_bytes = static_cast<std::size_t>(tokens);
  query.needs = {milliseconds(800), milliseconds(500), seconds(5)};
  return query;
}

struct ChoiceFixture {
  void Add(const std::string& id, const EngineWork& work,
           const std::string& centre = "dc") {
    upstreams.Put(MakeEngine(id, centre));
    upstreams.SetReport(UpstreamId(id), MakeReport(work.streams));
    upstreams.SetWork(UpstreamId(id), work);
    upstreams.Tick();
  }

  /// @returns the engine that is chosen most often.
  std::string Pick(const PickQuery& query) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < 21; ++i) {
      const auto picked = upstreams.Pick(query);
      const auto* id = std::get_if<UpstreamId>(&picked);
      BOOST_REQUIRE(id != nullptr);
      ++chosen[id->value()];
    }
    return std::ranges::max_element(
               chosen, {}, [](const auto& item) { return item.second; })
        ->first;
  }

  ManualClock clock;
  SeededRandom random{1};
  UpstreamSet upstreams{clock, random, DataCentreId("dc"),
                        [](const Endpoint&) { return true; }};
};

EngineWork MakeWork(double rate, double unread = 0.0, int streams = 0) {
  return {.prompt_tokens_per_ms = rate,
          .event_interval = milliseconds(30),
          .unread_prompt_tokens = unread,
          .streams = streams};
}

/// Reads prompts in the order of their arrival. Reports of several entries'
/// calls reach all of them each 100 ms.
class SimulatedEngines {
 public:
  /// @param rates  prompt tokens per millisecond of each engine.
  SimulatedEngines(const std::vector<double>& rates, bool with_estimates)
      : m_with_estimates(with_estimates) {
    std::vector<InstanceId> ids;
    for (int i = 0; i < kEntries; ++i) {
      ids.emplace_back("entry-" + std::to_string(i));
    }
    for (const InstanceId& id : ids) {
      m_entries.push_back(
          std::make_unique<UpstreamSet>(m_clock, m_random, DataCentreId("dc"),
                                        [](const Endpoint&) { return true; }));
      m_entries.back()->SetEntries(id, ids);
    }
    for (std::size_t i = 0; i < rates.size(); ++i) {
      const std::string id = "engine-" + std::to_string(i);
      m_engines.push_back({UpstreamId(id), rates[i], {}});
      for (const auto& entry : m_entries) {
        entry->Put(MakeEngine(id, "dc"));
      }
    }
  }

  /// Sends a long prompt each `interval`, in turn from each entry.
  /// @returns the share of first events within the objective.
  double Play(Duration interval, Duration time) {
    int sent = 0;
    int in_time = 0;
    for (Duration now{}; now < time; now += milliseconds(1)) {
      m_clock.Advance(milliseconds(1));
      if (now % milliseconds(100) == Duration::zero()) {
        Report();
      }
      if (now % interval == Duration::zero()) {
        in_time += Send(sent++) <= milliseconds(800) ? 1 : 0;
      }
      for (Engine& engine : m_engines) {
        Read(engine);
      }
    }
    return static_cast<double>(in_time) / sent;
  }

 private:
  static constexpr int kEntries = 4;
  static constexpr double kTokens = 9000.0;

  struct Engine {
    UpstreamId id;
    double rate = 0.0;
    std::deque<double> queue;  ///< Unread tokens of each call.

    [[nodiscard]] double Unread() const {
      double sum = 0.0;
      std::ranges::for_each(queue, [&](double tokens) { sum += tokens; });
      return sum;
    }
  };

  void Read(Engine& engine) {
    if (!engine.queue.empty()) {
      engine.queue.front() -= engine.rate;
      if (engine.queue.front() <= 0.0) {
        engine.queue.pop_front();
      }
    }
  }

  void Report() {
    for (const auto& entry : m_entries) {
      for (const Engine& engine : m_engines) {
        entry->SetReport(engine.id,
                         MakeReport(static_cast<int>(engine.queue.size())));
        if (m_with_estimates) {
          entry->SetWork(engine.id, MakeWork(engine.rate, engine.Unread()));
        }
      }
      entry->Tick();
    }
  }

  /// @returns the time to the first event.
  Duration Send(int number) {
    UpstreamSet& entry =
        *m_entries[static_cast<std::size_t>(number % kEntries)];
    const auto part = static_cast<std::uint64_t>(number) + 100;
    const PickQuery query = MakeQuery(kTokens, part, part + 1'000'000);
    const auto picked = entry.Pick(query);
    const auto* id = std::get_if<UpstreamId>(&picked);
    BOOST_REQUIRE(id != nullptr);
    entry.RecordAttemptStart(*id, query);
    Engine& engine = *std::ranges::find(m_engines, *id, &Engine::id);
    engine.queue.push_back(kTokens);
    return FromSeconds(engine.Unread() / engine.rate / 1000.0);
  }

  bool m_with_estimates;
  ManualClock m_clock;
  SeededRandom m_random{3};
  std::vector<std::unique_ptr<UpstreamSet>> m_entries;
  std::vector<Engine> m_engines;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(predicted_choice)

BOOST_AUTO_TEST_CASE(a_call_goes_where_its_first_event_comes_first) {
  ChoiceFixture fixture;
  fixture.Add("slow", MakeWork(12.0));
  fixture.Add("fast", MakeWork(40.0));
  BOOST_TEST(fixture.Pick(MakeQuery(9000.0, 7)) == "fast");
  // With enough work the faster one is later.
  fixture.upstreams.SetWork(UpstreamId("fast"), MakeWork(40.0, 60'000.0));
  BOOST_TEST(fixture.Pick(MakeQuery(9000.0, 7)) == "slow");
}

BOOST_AUTO_TEST_CASE(long_prompts_and_streams_separate) {
  ChoiceFixture fixture;
  fixture.Add("streams", MakeWork(32.0, 0.0, 30));
  fixture.Add("prompts", MakeWork(32.0, 3000.0, 0));
  BOOST_TEST(fixture.Pick(MakeQuery(9000.0, 7)) == "prompts");
  BOOST_TEST(fixture.Pick(MakeQuery(600.0, 8)) == "streams");
}

BOOST_AUTO_TEST_CASE(parts_that_were_read_for_other_entries_count_as_kept) {
  ChoiceFixture fixture;
  fixture.Add("a", MakeWork(32.0));
  fixture.Add("b", MakeWork(32.0));
  const PickQuery query = MakeQuery(9000.0, 7);
  const std::string other = fixture.Pick(query) == "a" ? "b" : "a";
  const PromptPrefixes shared{query.prompt.front()};
  fixture.upstreams.SetWork(UpstreamId(other), MakeWork(32.0), shared);
  BOOST_TEST(fixture.Pick(query) == other);
}

BOOST_AUTO_TEST_CASE(an_engine_where_a_call_would_end_too_late_is_the_last) {
  ChoiceFixture fixture;
  fixture.Add("late", MakeWork(40.0, 300'000.0));
  fixture.Add("full", MakeWork(12.0, 50'000.0, 60));
  BOOST_TEST(fixture.Pick(MakeQuery(3000.0, 7)) == "full");
  PickQuery query = MakeQuery(3000.0, 7);
  query.excluded.insert(UpstreamId("full"));
  BOOST_TEST(fixture.Pick(query) == "late");
}

BOOST_AUTO_TEST_CASE(calls_stay_in_their_data_centre_unless_it_pays) {
  ChoiceFixture fixture;
  fixture.Add("home", MakeWork(32.0, 300.0));
  fixture.Add("away", MakeWork(32.0), "other");
  BOOST_TEST(fixture.Pick(MakeQuery(9000.0, 7)) == "home");
  fixture.upstreams.SetWork(UpstreamId("home"), MakeWork(32.0, 60'000.0));
  BOOST_TEST(fixture.Pick(MakeQuery(3000.0, 7)) == "away");
  // A rule goes before the prediction.
  fixture.upstreams.SetDataCentreDisabled(DataCentreId("other"), true);
  BOOST_TEST(fixture.Pick(MakeQuery(3000.0, 7)) == "home");
}

BOOST_AUTO_TEST_CASE(an_engine_with_a_stale_estimate_is_still_chosen) {
  ChoiceFixture fixture;
  fixture.Add("a", MakeWork(32.0));
  fixture.clock.Advance(seconds(2));
  BOOST_TEST(fixture.Pick(MakeQuery(3000.0, 7)) == "a");
}

// Load it plays: half of the engines take 2.5 times as long. A choice by the
// number of calls gives both halves the same.
BOOST_AUTO_TEST_CASE(callers_of_engines_of_different_speed_are_in_time) {
  const std::vector<double> rates = {48.0, 48.0, 48.0, 19.0, 19.0, 19.0};
  SimulatedEngines counted(rates, false);
  SimulatedEngines predicted(rates, true);
  const double without = counted.Play(milliseconds(60), seconds(30));
  const double with = predicted.Play(milliseconds(60), seconds(30));
  BOOST_TEST_MESSAGE(without << " in time without estimates, " << with);
  BOOST_TEST(with > without + 0.1);
  BOOST_TEST(with > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
