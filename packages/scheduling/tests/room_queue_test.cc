// Tests of the order in which calls get room on an engine.
#include "bambooquay/scheduling/room_queue.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Tokens that the engine of these tests reads in a millisecond.
constexpr double kRate = 20.0;
constexpr Duration kMaxPause = milliseconds(500);

EngineRoom MakeEngine() {
  EngineRoom engine;
  engine.work.prompt_tokens_per_ms = kRate;
  engine.max_pause = kMaxPause;
  return engine;
}

RoomCall MakeCall(const std::string& id, double tokens, int priority = 0,
                  Duration target_wait = seconds(2),
                  Duration max_wait = seconds(10)) {
  RoomCall call;
  call.id = RequestId(id);
  call.organisation = OrganisationId("o");
  call.priority = priority;
  call.unread_tokens = tokens;
  call.memory_tokens = tokens;
  call.target_wait = target_wait;
  call.max_wait = max_wait;
  return call;
}

struct Fixture {
  ManualClock clock;
  RoomQueue queue{clock};
  Fixture() { queue.SetEngine(MakeEngine()); }

  /// @returns the verdict on the call itself.
  RoomDecision Ask(const RoomCall& call) {
    const auto decisions = queue.Ask(call);
    const auto own = std::ranges::find(decisions, call.id, &RoomDecision::call);
    BOOST_REQUIRE(own != decisions.end());
    return *own;
  }
  /// Ends the call and returns the ids of those that are granted then.
  std::vector<std::string> GrantedAfter(const std::string& id) {
    queue.Release(RequestId(id));
    std::vector<std::string> granted;
    for (const RoomDecision& decision : queue.Decide()) {
      if (decision.verdict == RoomVerdict::kGranted) {
        granted.push_back(decision.call.value());
      }
    }
    return granted;
  }
};

BOOST_FIXTURE_TEST_SUITE(room_queue, Fixture)

BOOST_AUTO_TEST_CASE(a_call_larger_than_the_bound_goes_alone) {
  BOOST_TEST((Ask(MakeCall("a", 30'000.0)).verdict == RoomVerdict::kGranted));
  BOOST_TEST((Ask(MakeCall("b", 100.0)).verdict == RoomVerdict::kQueued));
  BOOST_TEST(GrantedAfter("a") == std::vector<std::string>{"b"});
}

BOOST_AUTO_TEST_CASE(an_engine_of_unknown_rate_takes_all_calls) {
  queue.SetEngine({});
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST((Ask(MakeCall(std::to_string(i), 30'000.0)).verdict ==
                RoomVerdict::kGranted));
  }
}

BOOST_AUTO_TEST_CASE(the_most_urgent_goes_first_then_the_one_due_first) {
  static_cast<void>(Ask(MakeCall("running", 9000.0)));
  static_cast<void>(Ask(MakeCall("routine", 9000.0, 1, milliseconds(600))));
  static_cast<void>(Ask(MakeCall("later", 9000.0, 0, seconds(3))));
  static_cast<void>(Ask(MakeCall("sooner", 9000.0, 0, seconds(2))));
  BOOST_TEST(GrantedAfter("running") == std::vector<std::string>{"sooner"});
  BOOST_TEST(GrantedAfter("sooner") == std::vector<std::string>{"later"});
  BOOST_TEST(GrantedAfter("later") == std::vector<std::string>{"routine"});
}

BOOST_AUTO_TEST_CASE(a_late_call_gives_way_to_one_that_can_be_in_time) {
  static_cast<void>(Ask(MakeCall("running", 9000.0)));
  static_cast<void>(Ask(MakeCall("late", 9000.0, 0, milliseconds(100))));
  static_cast<void>(Ask(MakeCall("in time", 9000.0, 0, seconds(3))));
  BOOST_TEST(GrantedAfter("running") == std::vector<std::string>{"in time"});
  BOOST_TEST(GrantedAfter("in time") == std::vector<std::string>{"late"});
}

BOOST_AUTO_TEST_CASE(a_call_without_time_is_denied_at_once) {
  static_cast<void>(Ask(MakeCall("running", 40'000.0)));
  const RoomDecision decision =
      Ask(MakeCall("a", 1000.0, 0, milliseconds(500), milliseconds(500)));
  BOOST_TEST((decision.verdict == RoomVerdict::kDenied));
  // The engine reads for 2 s before there is room.
  BOOST_TEST((decision.wait > seconds(1)));
  BOOST_TEST((decision.wait <= seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_call_that_is_overtaken_for_too_long_is_denied) {
  static_cast<void>(Ask(MakeCall("running", 9000.0)));
  const RoomDecision first =
      Ask(MakeCall("routine", 9000.0, 1, seconds(1), seconds(1)));
  BOOST_TEST((first.verdict == RoomVerdict::kQueued));
  std::vector<RoomDecision> decisions;
  for (int i = 0; i < 3; ++i) {
    const auto more = queue.Ask(MakeCall(std::to_string(i), 9000.0));
    decisions.insert(decisions.end(), more.begin(), more.end());
  }
  const auto denied =
      std::ranges::find(decisions, RequestId("routine"), &RoomDecision::call);
  BOOST_REQUIRE(denied != decisions.end());
  BOOST_TEST((denied->verdict == RoomVerdict::kDenied));
}

// An entry has died: nobody gives its room back.
BOOST_AUTO_TEST_CASE(room_that_nobody_gives_back_expires) {
  static_cast<void>(Ask(MakeCall("lost", 9000.0)));
  BOOST_TEST((Ask(MakeCall("a", 9000.0)).verdict == RoomVerdict::kQueued));
  clock.Advance(seconds(2));
  const auto decisions = queue.Decide();
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions.front().verdict == RoomVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_has_room) {
  static_cast<void>(Ask(MakeCall("lost", 9000.0)));
  BOOST_TEST((Ask(MakeCall("a", 9000.0)).verdict == RoomVerdict::kQueued));
  queue.RecordRestart();
  const auto decisions = queue.Decide();
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions.front().verdict == RoomVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(an_engine_whose_places_are_taken_gets_no_more) {
  EngineRoom engine = MakeEngine();
  engine.free_places = 2;
  queue.SetEngine(engine);
  BOOST_TEST((Ask(MakeCall("a", 1.0)).verdict == RoomVerdict::kGranted));
  BOOST_TEST((Ask(MakeCall("b", 1.0)).verdict == RoomVerdict::kGranted));
  BOOST_TEST((Ask(MakeCall("c", 1.0)).verdict == RoomVerdict::kQueued));
}

BOOST_AUTO_TEST_CASE(an_engine_without_memory_gets_no_more) {
  EngineRoom engine = MakeEngine();
  engine.free_tokens = 150.0;
  queue.SetEngine(engine);
  BOOST_TEST((Ask(MakeCall("a", 100.0)).verdict == RoomVerdict::kGranted));
  BOOST_TEST((Ask(MakeCall("b", 100.0)).verdict == RoomVerdict::kQueued));
}

BOOST_AUTO_TEST_CASE(a_slow_engine_rests_before_it_reads_more) {
  EngineRoom engine = MakeEngine();
  engine.reading_interval = milliseconds(600);
  queue.SetEngine(engine);
  static_cast<void>(Ask(MakeCall("a", 3000.0)));
  static_cast<void>(Ask(MakeCall("b", 3500.0)));
  BOOST_TEST((Ask(MakeCall("c", 3500.0)).verdict == RoomVerdict::kQueued));
  // The first prompt has been read, but the engine has not rested.
  BOOST_TEST(GrantedAfter("a").empty());
  BOOST_TEST(GrantedAfter("b") == std::vector<std::string>{"c"});
}

// Load it plays: one organisation sends a call each 50 ms, another one in ten.
BOOST_AUTO_TEST_CASE(an_organisation_with_many_calls_leaves_room_to_others) {
  std::map<std::string, int> granted;
  std::map<std::string, int> asked;
  std::vector<std::string> running;
  const auto record = [&](const std::vector<RoomDecision>& decisions) {
    for (const RoomDecision& decision : decisions) {
      if (decision.verdict == RoomVerdict::kGranted) {
        ++granted[decision.call.value().substr(0, 1)];
        running.push_back(decision.call.value());
      }
    }
  };
  for (int i = 0; i < 400; ++i) {
    RoomCall call = MakeCall("a" + std::to_string(i), 4000.0, 0, seconds(1),
                             milliseconds(1500));
    call.organisation = OrganisationId("a");
    ++asked["a"];
    record(queue.Ask(call));
    if (i % 10 == 0) {
      call.id = RequestId("b" + std::to_string(i));
      call.organisation = OrganisationId("b");
      ++asked["b"];
      record(queue.Ask(call));
    }
    clock.Advance(milliseconds(50));
    // The engine needs 200 ms for each.
    if (i % 4 == 0 && !running.empty()) {
      queue.Release(RequestId(running.front()));
      running.erase(running.begin());
    }
    record(queue.Decide());
  }
  const double share_of_a = static_cast<double>(granted["a"]) / asked["a"];
  const double share_of_b = static_cast<double>(granted["b"]) / asked["b"];
  BOOST_TEST(share_of_b >= share_of_a);
}

RC_BOOST_FIXTURE_PROP(the_bound_is_kept_and_denials_are_true, Fixture, ()) {
  std::map<std::string, double> rooms;
  std::map<std::string, std::pair<TimePoint, Duration>> asked;
  const auto record = [&](const std::vector<RoomDecision>& decisions) {
    for (const RoomDecision& decision : decisions) {
      const std::string id = decision.call.value();
      const double tokens = std::stod(id.substr(id.find('/') + 1));
      if (decision.verdict == RoomVerdict::kGranted) {
        rooms[id] = tokens;
        double sum = 0.0;
        std::ranges::for_each(rooms,
                              [&](const auto& item) { sum += item.second; });
        RC_ASSERT(rooms.size() == 1U ||
                  sum <= kRate * ToSeconds(kMaxPause) * 1000.0);
      }
      if (decision.verdict == RoomVerdict::kDenied) {
        const auto [at, max_wait] = asked.at(id);
        RC_ASSERT(clock.Now() + decision.wait > at + max_wait);
      }
      if (decision.verdict != RoomVerdict::kQueued) {
        asked.erase(id);
      }
    }
  };
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const int tokens = *rc::gen::inRange(1, 20'000);
    const auto max_wait = milliseconds(*rc::gen::inRange(1, 3000));
    const std::string id = std::to_string(i) + "/" + std::to_string(tokens);
    asked[id] = {clock.Now(), max_wait};
    record(queue.Ask(MakeCall(id, tokens, *rc::gen::inRange(0, 3),
                              milliseconds(500), max_wait)));
    // Shorter than the shortest life of room, so that none expires.
    clock.Advance(milliseconds(*rc::gen::inRange(0, 15)));
    if (!rooms.empty() && *rc::gen::inRange(0, 2) == 0) {
      queue.Release(RequestId(rooms.begin()->first));
      rooms.erase(rooms.begin());
    }
    record(queue.Decide());
  }
}

// Whoever can wait is served, however many more urgent calls arrive.
RC_BOOST_FIXTURE_PROP(nobody_starves, Fixture, ()) {
  static_cast<void>(Ask(MakeCall("running", 9000.0)));
  static_cast<void>(
      Ask(MakeCall("patient", 9000.0, 9, seconds(1), std::chrono::hours(1))));
  std::string running = "running";
  const int kinds = *rc::gen::inRange(1, 5);
  bool served = false;
  for (int i = 0; i < 40 && !served; ++i) {
    for (int kind = 0; kind < kinds; ++kind) {
      static_cast<void>(
          queue.Ask(MakeCall(std::to_string(i) + "." + std::to_string(kind),
                             9000.0, kind, seconds(60), seconds(60))));
    }
    clock.Advance(milliseconds(450));
    const auto granted = GrantedAfter(running);
    RC_ASSERT(granted.size() == 1U);
    running = granted.front();
    served = running == "patient";
  }
  RC_ASSERT(served);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
