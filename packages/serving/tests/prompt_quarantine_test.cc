// Tests of the quarantine of parts of prompts that crash engines.
#include "bambooquay/serving/prompt_quarantine.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <initializer_list>
#include <memory>
#include <random>
#include <variant>
#include <vector>

#include "bambooquay/serving/quarantine_table.h"
#include "support/fake_table.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Prompt = std::vector<PromptPart>;

constexpr std::uint64_t kDeadly = 0xdead;
constexpr std::uint64_t kBeginning = 1;
constexpr std::uint64_t kNeighbour = 2;

/// @returns a prompt of these shared parts and a last one of its own.
Prompt MakePrompt(std::initializer_list<std::uint64_t> shared) {
  static std::uint64_t own_part = 1'000'000;
  Prompt prompt;
  for (const std::uint64_t id : shared) {
    prompt.push_back({PromptPartId{id}, 100.0});
  }
  prompt.push_back({PromptPartId{++own_part}, 100.0});
  return prompt;
}

/// One entry's quarantine, and the crashes of engines one after the other.
struct Fixture {
  /// A call that begins 50 ms from now and takes its engine with it.
  void Crash(const Prompt& prompt) {
    clock.Advance(milliseconds(50));
    const TimePoint begun_at = clock.Now();
    clock.Advance(milliseconds(50));
    quarantine.RecordCrash(prompt, ++run, begun_at);
  }
  void Survive(const Prompt& prompt) {
    clock.Advance(milliseconds(50));
    const TimePoint begun_at = clock.Now();
    clock.Advance(milliseconds(50));
    quarantine.RecordSurvival(prompt, begun_at);
  }
  /// Three crashes over more than the shortest observation.
  void CrashThrice(std::initializer_list<std::uint64_t> shared) {
    for (int i = 0; i < 3; ++i) {
      Crash(MakePrompt(shared));
      clock.Advance(milliseconds(300));
    }
  }
  /// Calls that begin at the same moment, each at an engine of its own, and
  /// take it with them.
  void CrashAtOnce(const std::vector<Prompt>& prompts) {
    const TimePoint begun_at = clock.Now();
    clock.Advance(milliseconds(60));
    for (const Prompt& prompt : prompts) {
      clock.Advance(milliseconds(10));
      quarantine.RecordCrash(prompt, ++run, begun_at);
    }
  }
  bool Allows(std::initializer_list<std::uint64_t> shared) {
    return quarantine.Judge(MakePrompt(shared)) == PromptVerdict::kAllowed;
  }
  bool Refuses(std::initializer_list<std::uint64_t> shared) {
    return quarantine.Judge(MakePrompt(shared)) == PromptVerdict::kQuarantined;
  }

  ManualClock clock;
  PromptQuarantine quarantine{clock};
  std::uint64_t run = 0;
};

/// Entries that exchange what they know.
struct Fleet {
  explicit Fleet(std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) {
      entries.push_back(std::make_unique<PromptQuarantine>(clock));
      entries.back()->SetTrialChooser(
          [i, size](PromptPartId /*part*/, std::uint64_t turn) {
            return turn % size == i;
          });
    }
  }
  void Exchange() {
    for (const auto& sender : entries) {
      const PromptPartReports reports = sender->MakeReports();
      for (const auto& receiver : entries) {
        if (receiver != sender) {
          receiver->Merge(reports);
        }
      }
    }
  }
  void CrashThrice(std::initializer_list<std::uint64_t> shared) {
    for (std::size_t i = 0; i < 3; ++i) {
      const TimePoint begun_at = clock.Now();
      clock.Advance(milliseconds(50));
      entries[i % entries.size()]->RecordCrash(MakePrompt(shared), ++run,
                                               begun_at);
      Exchange();
      clock.Advance(milliseconds(500));
    }
  }
  /// A request at each entry at the same moment.
  /// @returns the entries that let it through.
  std::vector<std::size_t> JudgeAtAll(
      std::initializer_list<std::uint64_t> shared) {
    std::vector<std::size_t> allowed;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (entries[i]->Judge(MakePrompt(shared)) !=
          PromptVerdict::kQuarantined) {
        allowed.push_back(i);
      }
    }
    return allowed;
  }

  ManualClock clock;
  std::vector<std::unique_ptr<PromptQuarantine>> entries;
  std::uint64_t run = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(prompt_quarantine)

BOOST_AUTO_TEST_CASE(the_part_that_no_call_survives_is_kept_away) {
  Fixture fixture;
  for (std::uint64_t i = 0; i < 3; ++i) {
    BOOST_TEST(fixture.Allows({kBeginning, kDeadly}));
    fixture.Crash(MakePrompt({kBeginning, kDeadly, 10 + i}));
    fixture.Survive(MakePrompt({kBeginning, 10 + i}));
    fixture.clock.Advance(milliseconds(300));
  }
  BOOST_TEST(fixture.Refuses({kBeginning, kDeadly, 99}));
  BOOST_TEST(fixture.Allows({kBeginning, 10}));
  BOOST_TEST(
      (fixture.quarantine.TimeLeft(MakePrompt({kDeadly})) > seconds(20)));
}

BOOST_AUTO_TEST_CASE(the_last_part_is_never_to_blame) {
  Fixture fixture;
  const Prompt prompt = {{PromptPartId{kDeadly}, 100.0}};
  for (int i = 0; i < 5; ++i) {
    fixture.Crash(prompt);
    fixture.clock.Advance(milliseconds(300));
  }
  BOOST_TEST(fixture.Allows({kDeadly}));
}

BOOST_AUTO_TEST_CASE(a_part_far_behind_in_its_prompt_is_kept_away) {
  for (const std::uint64_t before : {17, 63, 200}) {
    Fixture fixture;
    Prompt sound;
    for (std::uint64_t i = 0; i < before; ++i) {
      sound.push_back({PromptPartId{100 + i}, 10.0});
    }
    Prompt deadly = sound;
    sound.push_back({PromptPartId{kNeighbour}, 10.0});
    sound.push_back({PromptPartId{1'000}, 10.0});
    deadly.push_back({PromptPartId{kDeadly}, 10.0});
    deadly.push_back({PromptPartId{1'001}, 10.0});
    fixture.Survive(sound);
    for (int i = 0; i < 3; ++i) {
      fixture.Crash(deadly);
      fixture.Survive(sound);
      fixture.clock.Advance(milliseconds(300));
    }
    BOOST_TEST(
        (fixture.quarantine.Judge(deadly) == PromptVerdict::kQuarantined));
    BOOST_TEST((fixture.quarantine.Judge(sound) == PromptVerdict::kAllowed));
  }
}

BOOST_AUTO_TEST_CASE(a_call_suspected_of_two_crashes_is_not_repeated) {
  Fixture fixture;
  fixture.Crash(MakePrompt({kDeadly}));
  BOOST_TEST(fixture.quarantine.MayRepeat(MakePrompt({kDeadly})));
  fixture.Crash(MakePrompt({kDeadly}));
  BOOST_TEST(!fixture.quarantine.MayRepeat(MakePrompt({kDeadly})));
  BOOST_TEST(fixture.quarantine.MayRepeat(MakePrompt({kNeighbour})));
}

// An engine that breaks its streams at their beginning, and is not replaced.
BOOST_AUTO_TEST_CASE(one_broken_upstream_makes_no_quarantine) {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.clock.Advance(milliseconds(300));
    fixture.quarantine.RecordCrash(MakePrompt({kNeighbour}), 7,
                                   fixture.clock.Now());
  }
  BOOST_TEST(fixture.Allows({kNeighbour}));
}

// All engines of a data centre lose power, and each breaks a call with the
// part.
BOOST_AUTO_TEST_CASE(the_loss_of_many_upstreams_at_once_makes_no_quarantine) {
  Fixture fixture;
  const TimePoint begun_at = fixture.clock.Now();
  for (std::uint64_t run = 0; run < 10; ++run) {
    fixture.clock.Advance(milliseconds(5));
    fixture.quarantine.RecordCrash(MakePrompt({kNeighbour}), run, begun_at);
  }
  fixture.clock.Advance(seconds(2));
  BOOST_TEST(fixture.Allows({kNeighbour}));
}

BOOST_AUTO_TEST_CASE(crashes_of_one_moment_convict_the_part_of_all_of_them) {
  Fixture fixture;
  fixture.CrashAtOnce({MakePrompt({kBeginning, kDeadly, 10}),
                       MakePrompt({kBeginning, kDeadly, 11}),
                       MakePrompt({kBeginning, kDeadly, 12})});
  fixture.Survive(MakePrompt({kBeginning, 10}));
  fixture.clock.Advance(milliseconds(2500));
  BOOST_TEST(fixture.Refuses({kBeginning, kDeadly, 13}));
  BOOST_TEST(fixture.Allows({kBeginning, 11}));
}

// Calls with one part are on three of the engines that lose power.
BOOST_AUTO_TEST_CASE(a_part_on_some_of_the_lost_engines_is_not_convicted) {
  Fixture fixture;
  std::vector<Prompt> prompts(3, MakePrompt({kBeginning, kNeighbour}));
  for (std::uint64_t other = 10; other < 16; ++other) {
    prompts.push_back(MakePrompt({kBeginning, other}));
  }
  fixture.CrashAtOnce(prompts);
  fixture.Survive(MakePrompt({kBeginning, 10}));
  fixture.clock.Advance(seconds(8));
  BOOST_TEST(fixture.Allows({kBeginning, kNeighbour}));
}

// All engines lose power, and no call survives until they are back.
BOOST_AUTO_TEST_CASE(the_loss_of_all_upstreams_convicts_no_common_part) {
  Fixture fixture;
  fixture.CrashAtOnce({MakePrompt({kBeginning, 10}),
                       MakePrompt({kBeginning, 11}),
                       MakePrompt({kBeginning, 12})});
  fixture.clock.Advance(seconds(8));
  BOOST_TEST(fixture.Allows({kBeginning, 13}));
}

BOOST_AUTO_TEST_CASE(crashes_that_come_rarely_convict_their_part) {
  Fixture fixture;
  for (std::uint64_t i = 0; i < 3; ++i) {
    fixture.clock.Advance(seconds(50));
    fixture.quarantine.Update();
    BOOST_TEST(fixture.Allows({kBeginning, kDeadly, 10 + i}));
    fixture.Crash(MakePrompt({kBeginning, kDeadly, 10 + i}));
    fixture.Survive(MakePrompt({kBeginning, 10 + i}));
  }
  BOOST_TEST(fixture.Refuses({kBeginning, kDeadly, 13}));
}

BOOST_AUTO_TEST_CASE(prompts_with_one_of_two_suspect_parts_tell_them_apart) {
  Fixture fixture;
  fixture.CrashThrice({kDeadly, kNeighbour});
  BOOST_TEST(fixture.Refuses({kDeadly, kNeighbour}));
  // One prompt at a time with only one of the parts.
  BOOST_TEST((fixture.quarantine.Judge(MakePrompt({kNeighbour})) ==
              PromptVerdict::kTrial));
  BOOST_TEST(fixture.Refuses({kNeighbour}));
  fixture.Survive(MakePrompt({kNeighbour}));
  BOOST_TEST(fixture.Allows({kNeighbour}));
  BOOST_TEST(fixture.Refuses({kDeadly}));
}

BOOST_AUTO_TEST_CASE(a_crash_without_its_companion_convicts_a_part_alone) {
  Fixture fixture;
  fixture.CrashThrice({kDeadly, kNeighbour});
  BOOST_TEST((fixture.quarantine.Judge(MakePrompt({kDeadly})) ==
              PromptVerdict::kTrial));
  fixture.Crash(MakePrompt({kDeadly}));
  fixture.clock.Advance(seconds(6));
  BOOST_TEST(fixture.Refuses({kDeadly}));
}

// The third crash breaks a sound call with the part beside the deadly one.
BOOST_AUTO_TEST_CASE(a_crash_that_is_half_known_does_not_hide_the_cause) {
  Fixture fixture;
  fixture.Crash(MakePrompt({kBeginning, kDeadly}));
  fixture.clock.Advance(milliseconds(300));
  fixture.Crash(MakePrompt({kBeginning, kDeadly}));
  fixture.clock.Advance(milliseconds(300));
  // The deadly call of an earlier crash is reported by another entry, later.
  PartCrash crash{{PromptPartId{kBeginning}, PromptPartId{10}},
                  100,
                  seconds(1),
                  milliseconds(950),
                  kNoEvent,
                  true};
  fixture.quarantine.Merge({{crash}, {}, {}});
  fixture.Crash(MakePrompt({kBeginning, kDeadly}));
  crash.parts.back() = PromptPartId{kDeadly};
  fixture.quarantine.Merge({{crash}, {}, {}});
  fixture.clock.Advance(seconds(1));
  BOOST_TEST(fixture.Refuses({kBeginning, kDeadly}));
  BOOST_TEST((fixture.quarantine.Judge(MakePrompt({kBeginning, kNeighbour})) ==
              PromptVerdict::kTrial));
}

BOOST_AUTO_TEST_CASE(a_part_that_was_beside_the_cause_is_not_taken_for_it) {
  Fixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.Crash(MakePrompt({kDeadly, kNeighbour}));
    fixture.clock.Advance(milliseconds(300));
  }
  const TimePoint begun_at = fixture.clock.Now();
  fixture.clock.Advance(milliseconds(50));
  fixture.quarantine.RecordCrash(MakePrompt({kNeighbour}), ++fixture.run,
                                 begun_at);
  fixture.quarantine.RecordCrash(MakePrompt({kDeadly}), fixture.run, begun_at);
  fixture.clock.Advance(milliseconds(500));
  BOOST_TEST(!fixture.Refuses({kNeighbour}));
  fixture.Survive(MakePrompt({kNeighbour}));
  BOOST_TEST(fixture.Allows({kNeighbour}));
  BOOST_TEST(fixture.Refuses({kDeadly}));
}

BOOST_AUTO_TEST_CASE(sound_calls_that_broke_beside_the_cause_are_repeated) {
  Fixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.Crash(MakePrompt({kBeginning, kDeadly}));
    fixture.clock.Advance(milliseconds(300));
  }
  BOOST_TEST(!fixture.quarantine.MayRepeat(MakePrompt({kBeginning, kDeadly})));
  BOOST_TEST(
      fixture.quarantine.MayRepeat(MakePrompt({kBeginning, kNeighbour})));
}

// A part that was taken for the cause: calls that were on their way survive.
BOOST_AUTO_TEST_CASE(a_call_that_was_on_its_way_ends_a_wrong_quarantine) {
  Fixture fixture;
  fixture.CrashThrice({kBeginning});
  BOOST_TEST(fixture.Refuses({kBeginning}));
  fixture.Survive(MakePrompt({kBeginning}));
  BOOST_TEST(fixture.Allows({kBeginning}));
}

BOOST_AUTO_TEST_CASE(a_quarantine_ends_by_a_trial_and_doubles_after_a_crash) {
  Fixture fixture;
  fixture.CrashThrice({kDeadly});
  fixture.clock.Advance(seconds(31));
  BOOST_TEST((fixture.quarantine.Judge(MakePrompt({kDeadly})) ==
              PromptVerdict::kTrial));
  BOOST_TEST(fixture.Refuses({kDeadly}));
  fixture.Crash(MakePrompt({kDeadly}));
  fixture.clock.Advance(seconds(31));
  BOOST_TEST(fixture.Refuses({kDeadly}));
  fixture.clock.Advance(seconds(30));
  BOOST_TEST((fixture.quarantine.Judge(MakePrompt({kDeadly})) ==
              PromptVerdict::kTrial));
  fixture.Survive(MakePrompt({kDeadly}));
  BOOST_TEST(fixture.Allows({kDeadly}));
}

BOOST_AUTO_TEST_CASE(one_call_of_the_fleet_tells_suspect_parts_apart) {
  Fleet fleet(8);
  fleet.CrashThrice({kBeginning, kDeadly});
  std::size_t trials = 0;
  for (std::uint64_t place = 10; place < 30; ++place) {
    fleet.clock.Advance(milliseconds(700));
    const TimePoint begun_at = fleet.clock.Now();
    for (const std::size_t entry : fleet.JudgeAtAll({place, kDeadly})) {
      ++trials;
      fleet.entries[entry]->RecordCrash(MakePrompt({place, kDeadly}),
                                        ++fleet.run, begun_at);
    }
    fleet.clock.Advance(milliseconds(100));
    fleet.Exchange();
  }
  BOOST_TEST(trials == 1U);
}

BOOST_AUTO_TEST_CASE(a_trial_at_one_entry_is_known_to_the_others) {
  Fleet fleet(2);
  fleet.CrashThrice({kDeadly});
  fleet.clock.Advance(seconds(29));
  std::size_t trials = 0;
  // Calls that are stuck: the trial has no outcome while the turn changes.
  for (int i = 0; i < 8; ++i) {
    fleet.clock.Advance(milliseconds(500));
    trials += fleet.JudgeAtAll({kDeadly}).size();
    fleet.Exchange();
  }
  BOOST_TEST(trials == 1U);
}

BOOST_AUTO_TEST_CASE(an_ended_run_that_one_entry_knows_of_is_known_to_all) {
  Fleet fleet(2);
  PromptQuarantine& informed = *fleet.entries[0];
  PromptQuarantine& other = *fleet.entries[1];
  informed.SetRunFinder([](const UpstreamId& /*id*/) { return std::nullopt; });
  other.SetRunFinder([](const UpstreamId& id) {
    return std::optional(UpstreamRun{id, 1});
  });
  for (std::uint64_t i = 0; i < 3; ++i) {
    const UpstreamRun run{UpstreamId("u" + std::to_string(i)), 1};
    const TimePoint begun_at = fleet.clock.Now();
    fleet.clock.Advance(milliseconds(50));
    informed.RecordBroken(MakePrompt({kBeginning, 10 + i}), run, begun_at, true,
                          milliseconds(10));
    other.RecordBroken(MakePrompt({kBeginning, kDeadly}), run, begun_at, false,
                       kNoEvent);
    informed.Update();
    fleet.Exchange();
    fleet.clock.Advance(milliseconds(500));
    fleet.Exchange();
  }
  // Sound calls are not refused, but tell the parts apart.
  BOOST_TEST((informed.Judge(MakePrompt({kBeginning, kNeighbour})) !=
              PromptVerdict::kQuarantined));
  informed.RecordSurvival(MakePrompt({kBeginning, kNeighbour}),
                          fleet.clock.Now(), kCompleteCall);
  fleet.Exchange();
  BOOST_TEST((other.Judge(MakePrompt({kBeginning, kNeighbour})) ==
              PromptVerdict::kAllowed));
  BOOST_TEST(fleet.JudgeAtAll({kBeginning, kDeadly}).empty());
}

BOOST_AUTO_TEST_CASE(reports_that_take_long_do_not_make_a_trial_last) {
  Fleet fleet(2);
  fleet.CrashThrice({kDeadly});
  fleet.clock.Advance(seconds(30));
  std::size_t trials = 0;
  for (int i = 0; i < 80; ++i) {
    trials += fleet.JudgeAtAll({kDeadly}).size();
    const std::vector reports = {fleet.entries[0]->MakeReports(),
                                 fleet.entries[1]->MakeReports()};
    fleet.clock.Advance(milliseconds(150));
    fleet.entries[0]->Merge(reports[1]);
    fleet.entries[1]->Merge(reports[0]);
  }
  // Each trial is without an outcome for 5 s.
  BOOST_TEST(trials >= 2U);
  BOOST_TEST(trials <= 3U);
}

BOOST_AUTO_TEST_CASE(a_trial_that_did_not_run_is_forgotten_by_all_entries) {
  Fleet fleet(2);
  fleet.CrashThrice({kDeadly});
  fleet.clock.Advance(seconds(30));
  const std::vector<std::size_t> first = fleet.JudgeAtAll({kDeadly});
  BOOST_REQUIRE(first.size() == 1U);
  fleet.Exchange();
  fleet.entries[first[0]]->WithdrawTrial(MakePrompt({kDeadly}));
  std::size_t trials = 0;
  for (int i = 0; i < 10; ++i) {
    fleet.Exchange();
    fleet.clock.Advance(milliseconds(150));
    trials += fleet.JudgeAtAll({kDeadly}).size();
  }
  BOOST_TEST(trials == 1U);
}

BOOST_AUTO_TEST_CASE(only_the_chosen_entry_makes_a_trial) {
  Fixture fixture;
  bool is_chosen = false;
  fixture.quarantine.SetTrialChooser(
      [&](PromptPartId /*part*/, std::uint64_t /*turn*/) { return is_chosen; });
  fixture.CrashThrice({kDeadly});
  fixture.clock.Advance(seconds(31));
  BOOST_TEST(fixture.Refuses({kDeadly}));
  is_chosen = true;
  BOOST_TEST((fixture.quarantine.Judge(MakePrompt({kDeadly})) ==
              PromptVerdict::kTrial));
}

BOOST_AUTO_TEST_CASE(a_restarted_entry_learns_of_a_quarantine_from_the_others) {
  Fixture fixture;
  fixture.CrashThrice({kDeadly});
  fixture.clock.Advance(seconds(10));
  BOOST_TEST(fixture.Refuses({kDeadly}));
  PromptQuarantine restarted(fixture.clock);
  restarted.Merge(fixture.quarantine.MakeReports());
  BOOST_TEST(
      (restarted.Judge(MakePrompt({kDeadly})) == PromptVerdict::kQuarantined));
  // A trial that the restarted entry makes clears the part everywhere.
  fixture.clock.Advance(seconds(30));
  restarted.RecordSurvival(MakePrompt({kDeadly}), fixture.clock.Now());
  fixture.quarantine.Merge(restarted.MakeReports());
  BOOST_TEST(fixture.Allows({kDeadly}));
}

BOOST_AUTO_TEST_CASE(
    entries_that_all_restart_read_a_quarantine_from_the_store) {
  Fixture before;
  before.CrashThrice({kBeginning, kDeadly});
  before.clock.Advance(seconds(1));
  BOOST_TEST(before.Refuses({kBeginning, kDeadly}));
  EventLoop loop;
  testing::FakeTable table(loop);
  QuarantineTable writer(loop, table, before.quarantine, [] { return true; });
  writer.Start();
  BOOST_REQUIRE(loop.RunUntil([&] { return table.Has("quarantine", "parts"); },
                              seconds(5)));

  table.now += seconds(10);
  Fixture after;
  QuarantineTable reader(loop, table, after.quarantine, [] { return false; });
  reader.Start();
  BOOST_REQUIRE(loop.RunUntil(
      [&] { return after.quarantine.quarantined_count() > 0; }, seconds(5)));
  const Prompt prompt = MakePrompt({kBeginning, kDeadly});
  BOOST_TEST((after.quarantine.Judge(prompt) == PromptVerdict::kQuarantined));
  const Duration passed =
      before.quarantine.TimeLeft(prompt) - after.quarantine.TimeLeft(prompt);
  BOOST_TEST((passed > seconds(9) && passed <= seconds(10)));
  // The companions are known, too.
  BOOST_TEST((after.quarantine.Judge(MakePrompt({kBeginning})) ==
              PromptVerdict::kTrial));
}

BOOST_AUTO_TEST_CASE(the_store_forgets_a_quarantine_that_has_ended) {
  Fixture fixture;
  fixture.CrashThrice({kDeadly});
  EventLoop loop;
  testing::FakeTable table(loop);
  QuarantineTable writer(loop, table, fixture.quarantine, [] { return true; });
  writer.Start();
  const auto is_listed = [&] { return table.Has("quarantine", "parts"); };
  BOOST_REQUIRE(loop.RunUntil(is_listed, seconds(5)));
  fixture.Survive(MakePrompt({kDeadly}));
  BOOST_TEST(loop.RunUntil([&] { return !is_listed(); }, seconds(5)));
  BOOST_TEST(!DecodeQuarantines("no row", {}).has_value());
}

BOOST_AUTO_TEST_CASE(
    an_entry_that_missed_a_survival_does_not_spread_its_error) {
  Fixture fixture;
  fixture.CrashThrice({kBeginning});
  BOOST_TEST(fixture.Refuses({kBeginning}));
  PromptQuarantine other(fixture.clock);
  other.Merge(fixture.quarantine.MakeReports());
  fixture.Survive(MakePrompt({kBeginning}));
  // The reports of the survival are lost, and are sent again when the other
  // entry shows that it has missed them.
  fixture.clock.Advance(seconds(10));
  fixture.quarantine.Merge(other.MakeReports());
  BOOST_TEST(fixture.Allows({kBeginning}));
  other.Merge(fixture.quarantine.MakeReports());
  BOOST_TEST(
      (other.Judge(MakePrompt({kBeginning})) == PromptVerdict::kAllowed));
}

BOOST_AUTO_TEST_CASE(reports_are_the_same_after_their_way_in_a_status) {
  EntryStatus status;
  status.operators_version = 41;
  status.prompt_parts.crashes = {{{PromptPartId{kDeadly}, PromptPartId{2}},
                                  ~std::uint64_t{0},
                                  milliseconds(150),
                                  milliseconds(50),
                                  milliseconds(0),
                                  true}};
  status.prompt_parts.survivals = {
      {PromptPartId{3}, milliseconds(7), kCompleteCall}};
  status.prompt_parts.quarantines = {{PromptPartId{kDeadly},
                                      2,
                                      seconds(9),
                                      milliseconds(-4),
                                      {PromptPartId{2}},
                                      milliseconds(80),
                                      milliseconds(0)},
                                     {}};
  const auto message =
      DecodeStatus(EncodeStatus({InstanceId("entry-1"), 1, status}));
  BOOST_REQUIRE(message.has_value());
  const auto& received = std::get<EntryStatus>(message->body);
  BOOST_TEST(received.operators_version == 41U);
  const PromptPartReports& reports = received.prompt_parts;
  BOOST_REQUIRE(reports.crashes.size() == 1U);
  BOOST_TEST(
      (reports.crashes[0].parts == status.prompt_parts.crashes[0].parts));
  BOOST_TEST(reports.crashes[0].upstream_run == ~std::uint64_t{0});
  BOOST_TEST((reports.crashes[0].begun_age == milliseconds(150)));
  BOOST_TEST((reports.crashes[0].crash_age == milliseconds(50)));
  BOOST_TEST((reports.crashes[0].progress == milliseconds(0)));
  BOOST_TEST(reports.crashes[0].is_certain);
  BOOST_REQUIRE(reports.survivals.size() == 1U);
  BOOST_TEST((reports.survivals[0].begun_age == milliseconds(7)));
  BOOST_TEST((reports.survivals[0].lasted == kCompleteCall));
  BOOST_REQUIRE(reports.quarantines.size() == 2U);
  BOOST_TEST((reports.quarantines[0].trial_age == milliseconds(0)));
  BOOST_TEST(!reports.quarantines[1].trial_age.has_value());
  BOOST_TEST(reports.quarantines[0].round == 2);
  BOOST_TEST((reports.quarantines[0].last_crash_age == seconds(9)));
  BOOST_TEST((reports.quarantines[0].time_left == milliseconds(-4)));
  BOOST_TEST(
      (reports.quarantines[0].companions == std::vector{PromptPartId{2}}));
  BOOST_TEST((reports.quarantines[0].progress == milliseconds(80)));
}

BOOST_AUTO_TEST_CASE(invented_parts_do_not_displace_a_quarantine) {
  Fixture fixture;
  fixture.CrashThrice({kDeadly});
  BOOST_TEST(fixture.Refuses({kDeadly}));
  for (std::uint64_t i = 0; i < 2000; ++i) {
    fixture.Crash(MakePrompt({100 + 3 * i, 101 + 3 * i, 102 + 3 * i}));
  }
  const PromptPartReports reports = fixture.quarantine.MakeReports();
  BOOST_TEST(reports.crashes.size() <= 32U);
  BOOST_TEST(reports.quarantines.size() == 1U);
}

// Load: five entries and 18 engines; 17 calls a second begin with the same
// part, and a few of them have the deadly one. Engines return after 3 s.
// Entries exchange reports every 150 ms, some of which are lost.
RC_BOOST_PROP(few_deadly_calls_arrive_and_sound_ones_are_served, ()) {
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const int deadly_percent = *rc::gen::inRange(2, 12);
  const auto below = [&](int bound) {
    return static_cast<int>(random() % static_cast<unsigned>(bound));
  };
  struct Call {
    Prompt prompt;
    std::size_t entry;
    std::size_t engine;
    TimePoint begins_at;
    TimePoint decides_at;  ///< Of its first event, or its crash.
    bool is_deadly;
  };
  struct Engine {
    std::uint64_t run = 0;
    TimePoint back_at{};
  };
  ManualClock clock;
  std::vector<std::unique_ptr<PromptQuarantine>> entries;
  for (int i = 0; i < 5; ++i) {
    entries.push_back(std::make_unique<PromptQuarantine>(clock));
  }
  std::vector<Engine> engines(18);
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].run = i;
  }
  std::uint64_t last_run = engines.size();
  std::vector<Call> calls;
  std::vector<TimePoint> crashes;
  int sound_calls = 0;
  int sound_refused = 0;
  int late_deadly_calls = 0;
  const TimePoint start = clock.Now();
  for (int step = 0; step < 2500; ++step) {
    clock.Advance(milliseconds(10));
    const TimePoint now = clock.Now();
    if (below(100) < 17) {
      const bool is_deadly = below(100) < deadly_percent;
      const auto topic =
          std::uint64_t{10} + static_cast<std::uint64_t>(below(20));
      Prompt prompt = is_deadly ? MakePrompt({kBeginning, kDeadly, topic})
                                : MakePrompt({kBeginning, topic});
      const auto entry = static_cast<std::size_t>(below(5));
      if (entries[entry]->Judge(prompt) == PromptVerdict::kQuarantined) {
        sound_refused += is_deadly ? 0 : 1;
        sound_calls += is_deadly ? 0 : 1;
        continue;
      }
      sound_calls += is_deadly ? 0 : 1;
      auto engine = static_cast<std::size_t>(below(18));
      for (int i = 0; i < 18 && engines[engine].back_at > now; ++i) {
        engine = (engine + 1) % engines.size();
      }
      if (is_deadly && crashes.size() >= 5 && now - crashes[4] > seconds(3)) {
        ++late_deadly_calls;
      }
      const TimePoint begins_at = now + milliseconds(50 + below(200));
      calls.push_back({std::move(prompt), entry, engine, begins_at,
                       begins_at + milliseconds(30 + below(90)), is_deadly});
    }
    for (std::size_t i = 0; i < calls.size();) {
      const Call call = calls[i];
      if (now < call.decides_at) {
        ++i;
        continue;
      }
      calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(i));
      if (!call.is_deadly) {
        entries[call.entry]->RecordSurvival(call.prompt, call.begins_at);
        continue;
      }
      // The crash breaks all calls on the engine; those that have begun are
      // suspected too.
      crashes.push_back(now);
      const std::uint64_t run = engines[call.engine].run;
      engines[call.engine] = {++last_run, now + seconds(3)};
      entries[call.entry]->RecordCrash(call.prompt, run, call.begins_at);
      std::erase_if(calls, [&](const Call& other) {
        if (other.engine != call.engine) {
          return false;
        }
        if (other.begins_at <= now) {
          entries[other.entry]->RecordCrash(other.prompt, run, other.begins_at);
        }
        return true;
      });
      i = 0;
    }
    if (step % 15 == 0) {
      for (const auto& sender : entries) {
        const PromptPartReports reports = sender->MakeReports();
        for (const auto& receiver : entries) {
          if (receiver != sender && below(10) > 0) {
            receiver->Merge(reports);
          }
        }
      }
    }
  }
  RC_ASSERT(clock.Now() - start == seconds(25));
  RC_ASSERT(late_deadly_calls <= 3);
  RC_ASSERT(sound_refused * 20 <= sound_calls);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
