// Tests of the decision which connections give way.
#include "bambooquay/runtime/connection_budget.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::seconds;

constexpr std::size_t kMaxBytes = 1'000'000;
constexpr std::size_t kMaxConnections = 100;
constexpr std::size_t kRefusedBytes = 100;

/// A connection that gives way like that of a server.
class FakeConnection final : public BudgetedConnection {
 public:
  using BudgetedConnection::BudgetedConnection;

  void GiveWay(YieldReason reason) override {
    gave_way = reason;
    SetPhase(ConnectionPhase::kRefused);
    SetHeld(kRefusedBytes);
  }
  void Read(std::size_t bytes) {
    SetPhase(ConnectionPhase::kReading);
    SetHeld(bytes);
    SetProgress(bytes);
  }
  void Serve(std::size_t bytes) {
    SetPhase(ConnectionPhase::kServed);
    SetHeld(bytes);
  }

  std::optional<YieldReason> gave_way;
};

struct Fixture {
  FakeConnection& Connect(const std::string& address) {
    return *connections.emplace_back(
        std::make_unique<FakeConnection>(budget, address));
  }
  [[nodiscard]] std::size_t yielded_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(connections, [](const auto& connection) {
          return connection->gave_way.has_value();
        }));
  }

  ManualClock clock;
  ConnectionBudget budget{clock, {kMaxBytes, kMaxConnections}};
  std::vector<std::unique_ptr<FakeConnection>> connections;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(connection_budget)

BOOST_AUTO_TEST_CASE(nothing_gives_way_within_the_limit) {
  Fixture test;
  test.Connect("a").Read(kMaxBytes / 2);
  test.Connect("a").Read(kMaxBytes / 2);
  test.clock.Advance(seconds(30));
  test.budget.Enforce();
  BOOST_TEST(test.yielded_count() == 0U);
  BOOST_TEST(test.budget.held() == kMaxBytes);
}

BOOST_AUTO_TEST_CASE(a_stalled_request_gives_way_before_one_that_progresses) {
  Fixture test;
  FakeConnection& stalled = test.Connect("a");
  stalled.Read(kMaxBytes / 2);
  test.clock.Advance(seconds(3));
  FakeConnection& progressing = test.Connect("a");
  progressing.Read(kMaxBytes / 2 + 10'000);
  test.budget.Enforce();
  BOOST_TEST((stalled.gave_way == YieldReason::kMemory));
  BOOST_TEST(!progressing.gave_way.has_value());
}

// A byte now and then is no progress.
BOOST_AUTO_TEST_CASE(a_request_that_trickles_counts_as_stalled) {
  Fixture test;
  FakeConnection& trickling = test.Connect("a");
  trickling.Read(300'000);
  FakeConnection& progressing = test.Connect("a");
  progressing.Read(300'000);
  for (std::size_t i = 1; i <= 10; ++i) {
    test.clock.Advance(seconds(1));
    trickling.SetProgress(300'000 + i);
    progressing.SetProgress(300'000 + i * 10'000);
    progressing.SetHeld(300'000 + i * 10'000);
  }
  test.Connect("b").Read(400'000);
  test.budget.Enforce();
  BOOST_TEST(trickling.gave_way.has_value());
  BOOST_TEST(test.yielded_count() == 1U);
}

// Load: one caller with many connections, beside one with a single larger one.
BOOST_AUTO_TEST_CASE(one_address_gives_way_before_many) {
  Fixture test;
  for (int i = 0; i < 9; ++i) {
    test.Connect("crowd").Read(100'000);
  }
  FakeConnection& other = test.Connect("other");
  other.Read(150'000);
  test.clock.Advance(seconds(1));
  test.budget.Enforce();
  BOOST_TEST(test.yielded_count() == 1U);
  BOOST_TEST(!other.gave_way.has_value());
}

BOOST_AUTO_TEST_CASE(an_organisation_is_one_group_whatever_its_addresses) {
  Fixture test;
  for (int i = 0; i < 9; ++i) {
    FakeConnection& member = test.Connect("address-" + std::to_string(i));
    member.Read(100'000);
    member.SetGroup("organisation");
  }
  FakeConnection& other = test.Connect("other");
  other.Read(150'000);
  test.clock.Advance(seconds(1));
  test.budget.Enforce();
  BOOST_TEST(test.yielded_count() == 1U);
  BOOST_TEST(!other.gave_way.has_value());
}

BOOST_AUTO_TEST_CASE(a_request_that_is_served_never_gives_way) {
  Fixture test;
  FakeConnection& served = test.Connect("a");
  served.Serve(kMaxBytes);
  test.clock.Advance(seconds(60));
  FakeConnection& reading = test.Connect("b");
  reading.Read(1000);
  test.budget.Enforce();
  BOOST_TEST(!served.gave_way.has_value());
  BOOST_TEST(reading.gave_way.has_value());
}

BOOST_AUTO_TEST_CASE(a_response_gives_way_only_if_its_caller_takes_nothing) {
  Fixture test;
  FakeConnection& writing = test.Connect("a");
  writing.SetPhase(ConnectionPhase::kWriting);
  writing.SetHeld(kMaxBytes + 1);
  test.clock.Advance(seconds(1));
  test.budget.Enforce();
  BOOST_TEST(!writing.gave_way.has_value());
  test.clock.Advance(seconds(2));
  test.budget.Enforce();
  BOOST_TEST(writing.gave_way.has_value());
}

BOOST_AUTO_TEST_CASE(large_requests_leave_room_for_others) {
  Fixture test;
  // A single one is served even if it needs more than half.
  BOOST_TEST(test.budget.MayServe(800'000));
  FakeConnection& first = test.Connect("a");
  first.Serve(400'000);
  BOOST_TEST(!test.budget.MayServe(400'000));
  BOOST_TEST(test.budget.MayServe(60'000));
  first.SetPhase(ConnectionPhase::kIdle);
  first.SetHeld(0);
  BOOST_TEST(test.budget.MayServe(400'000));
}

BOOST_AUTO_TEST_CASE(a_slow_request_is_too_slow_only_while_memory_is_short) {
  Fixture test;
  FakeConnection& slow = test.Connect("a");
  slow.Read(5'000);
  test.clock.Advance(seconds(10));
  BOOST_TEST(!test.budget.IsTooSlow(slow));
  FakeConnection& fast = test.Connect("b");
  fast.Read(600'000);
  BOOST_TEST(test.budget.IsTooSlow(slow));
  BOOST_TEST(!test.budget.IsTooSlow(fast));
}

BOOST_AUTO_TEST_CASE(refused_and_long_idle_connections_free_their_descriptors) {
  Fixture test;
  FakeConnection& idle = test.Connect("a");
  test.clock.Advance(seconds(1));
  FakeConnection& refused = test.Connect("a");
  refused.SetPhase(ConnectionPhase::kRefused);
  FakeConnection& fresh = test.Connect("a");
  BOOST_TEST(test.budget.FreeDescriptor());
  BOOST_TEST((refused.gave_way == YieldReason::kDescriptors));
  refused.SetPhase(ConnectionPhase::kServed);
  BOOST_TEST(test.budget.FreeDescriptor());
  BOOST_TEST((idle.gave_way == YieldReason::kDescriptors));
  BOOST_TEST(!fresh.gave_way.has_value());
}

// Load: callers of any sizes and phases, some of which stall.
RC_BOOST_PROP(what_is_not_served_is_kept_within_the_limit, ()) {
  Fixture test;
  const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(kRefusedBytes, kMaxBytes / 2));
  for (const std::size_t size : sizes) {
    FakeConnection& connection =
        test.Connect(std::string(1, *rc::gen::inRange('a', 'd')));
    if (*rc::gen::arbitrary<bool>() && test.budget.MayServe(size)) {
      connection.Serve(size);
    } else {
      connection.Read(size);
    }
    test.clock.Advance(seconds(*rc::gen::inRange(0, 3)));
    test.budget.Enforce();
    RC_ASSERT(test.budget.held() <=
              kMaxBytes + test.connections.size() * kRefusedBytes);
  }
  test.connections.clear();
  RC_ASSERT(test.budget.held() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
