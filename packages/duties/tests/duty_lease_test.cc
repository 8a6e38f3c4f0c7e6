// Tests of the lease: one failure each, and all of them at random.
#include "bambooquay/duties/duty_lease.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "duty_fleet.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallFate;
using testing::DutyFleet;

constexpr Duration kLease = DutyFleet::kLeaseTime;
// A successor waits for the lease time after the last renewal, and reads and
// writes the row.
constexpr Duration kTakeOverTime = kLease + milliseconds(500);

/// A fleet in which machine 0 has held the lease for some seconds.
struct HeldFleet : DutyFleet {
  explicit HeldFleet(std::size_t machines = 3) : DutyFleet(machines) {
    BOOST_REQUIRE(RunUntilHolder(seconds(2)));
    time.RunFor(seconds(4));
    BOOST_REQUIRE(Holder() == std::optional<std::size_t>(0));
  }

  [[nodiscard]] std::uint64_t Token(std::size_t index) const {
    return lease(index).fencing_token();
  }
  /// Gives the next call of a machine one fate, and the ones after it another.
  void SetFate(std::size_t index, CallFate next, CallFate after) {
    table(index).next_fate = [next, after, is_first = true]() mutable {
      return std::exchange(is_first, false) ? next : after;
    };
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(duty_lease)

BOOST_AUTO_TEST_CASE(the_row_is_read_as_it_was_written) {
  const LeaseRecord record{
      InstanceId("a"), 7, 12, 3, true, {InstanceId("b"), InstanceId("c")}};
  BOOST_TEST((DecodeLease(EncodeLease(record)) == record));
  BOOST_TEST(!DecodeLease("").has_value());
  BOOST_TEST(!DecodeLease(R"({"holder":"a","token":-1})").has_value());
}

BOOST_AUTO_TEST_CASE(one_entry_holds_the_lease_and_few_calls_are_made) {
  HeldFleet fleet;
  const int before = fleet.table(0).call_count;
  fleet.time.RunFor(seconds(30));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.Token(0) == 1U);
  BOOST_TEST(fleet.table(0).call_count - before <= 31);
  BOOST_TEST(fleet.table(1).call_count <= 1);
  BOOST_TEST(fleet.table(2).call_count <= 1);
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_killed_holder_has_a_successor_after_the_lease_time) {
  HeldFleet fleet;
  fleet.Kill(0);
  fleet.time.RunFor(milliseconds(1900));
  BOOST_TEST(!fleet.Holder().has_value());
  BOOST_TEST(fleet.RunUntilHolder(kTakeOverTime));
  fleet.time.RunFor(seconds(3));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  BOOST_TEST(fleet.Token(1) == 2U);
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_restarted_holder_takes_a_new_token) {
  HeldFleet fleet(1);
  fleet.Kill(0);
  fleet.time.RunFor(milliseconds(200));
  fleet.Start(0);
  BOOST_TEST(fleet.RunUntilHolder(seconds(1) + kTakeOverTime));
  BOOST_TEST(fleet.Token(0) == 2U);
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(the_token_rises_over_a_restart_of_all_entries) {
  HeldFleet fleet;
  for (std::size_t index = 0; index < 3; ++index) {
    fleet.Kill(index);
  }
  fleet.time.RunFor(seconds(5));
  for (std::size_t index = 0; index < 3; ++index) {
    fleet.Start(index);
  }
  BOOST_TEST(fleet.RunUntilHolder(seconds(2) + kTakeOverTime));
  fleet.time.RunFor(seconds(5));
  BOOST_TEST(fleet.Token(*fleet.Holder()) == 2U);
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_lost_response_to_a_renewal_costs_nothing) {
  HeldFleet fleet;
  fleet.SetFate(0, CallFate::kResponseLost, CallFate::kDone);
  for (int step = 0; step < 50; ++step) {
    fleet.time.RunFor(milliseconds(100));
    BOOST_TEST(fleet.lease(0).is_holder());
  }
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.Token(0) == 1U);
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_renewal_that_is_applied_late_does_no_harm) {
  HeldFleet fleet;
  fleet.SetFate(0, CallFate::kAppliedLate, CallFate::kDone);
  fleet.time.RunFor(seconds(8));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.Token(0) == 1U);
  BOOST_TEST(fleet.Fault() == "");
}

// The read before the acquisition is answered, the acquisition is not.
BOOST_AUTO_TEST_CASE(a_lost_response_to_an_acquisition_is_found_out) {
  HeldFleet fleet;
  fleet.Kill(0);
  fleet.table(1).next_fate = [call = 0]() mutable {
    return ++call == 2 ? CallFate::kResponseLost : CallFate::kDone;
  };
  BOOST_TEST(fleet.RunUntilHolder(kTakeOverTime + seconds(1)));
  fleet.time.RunFor(seconds(5));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  BOOST_TEST(fleet.Token(1) == 2U);
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(an_acquisition_that_is_applied_late_has_no_effect) {
  HeldFleet fleet;
  fleet.Kill(0);
  fleet.table(1).next_fate = [call = 0]() mutable {
    ++call;
    return call == 2  ? CallFate::kAppliedLate
           : call > 2 ? CallFate::kRequestLost
                      : CallFate::kDone;
  };
  fleet.time.RunFor(seconds(12));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(2)));
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_frozen_holder_acts_on_nothing_before_it_has_checked) {
  HeldFleet fleet;
  fleet.Freeze(0);
  fleet.time.RunFor(seconds(6));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  fleet.Thaw(0);
  BOOST_TEST(!fleet.lease(0).GrantFor(Duration::zero()).has_value());
  fleet.time.RunFor(seconds(5));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  BOOST_TEST(!fleet.lease(0).is_holder());
  BOOST_TEST(fleet.Fault() == "");
}

// The grant from before the freeze would still be valid.
BOOST_AUTO_TEST_CASE(a_short_freeze_ends_the_grant_until_a_renewal) {
  HeldFleet fleet;
  fleet.Freeze(0);
  fleet.time.RunFor(milliseconds(900));
  fleet.Thaw(0);
  BOOST_TEST(!fleet.lease(0).GrantFor(Duration::zero()).has_value());
  fleet.time.RunFor(milliseconds(300));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.Token(0) == 1U);
  BOOST_TEST(fleet.Fault() == "");
}

// As before, and the first renewal after the freeze is lost.
BOOST_AUTO_TEST_CASE(a_freeze_ends_the_grant_also_if_the_check_is_lost) {
  HeldFleet fleet;
  while (*fleet.lease(0).RenewalAge() > milliseconds(50)) {
    fleet.time.RunFor(milliseconds(10));
  }
  fleet.Freeze(0);
  fleet.time.RunFor(milliseconds(750));
  fleet.SetFate(0, CallFate::kRequestLost, CallFate::kDone);
  const std::size_t before = fleet.calls.size();
  fleet.Thaw(0);
  fleet.time.RunFor(milliseconds(300));
  BOOST_TEST(fleet.calls.size() == before);
  fleet.time.RunFor(seconds(1));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_holder_that_loses_the_store_stops_before_a_successor) {
  HeldFleet fleet;
  fleet.SetFate(0, CallFate::kRequestLost, CallFate::kRequestLost);
  fleet.time.RunFor(milliseconds(2400));
  BOOST_TEST(!fleet.Holder().has_value());
  BOOST_TEST(fleet.RunUntilHolder(kTakeOverTime));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  fleet.time.RunFor(seconds(5));
  BOOST_TEST(fleet.Fault() == "");
}

// The store turns one machine away and serves the others.
BOOST_AUTO_TEST_CASE(a_holder_that_the_store_refuses_has_a_successor) {
  HeldFleet fleet;
  fleet.SetFate(0, CallFate::kRefused, CallFate::kRefused);
  fleet.time.RunFor(kTakeOverTime + seconds(1));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  fleet.time.RunFor(seconds(5));
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(nobody_acts_while_the_store_is_down_and_one_does_after) {
  HeldFleet fleet;
  for (std::size_t index = 0; index < 3; ++index) {
    fleet.SetFate(index, CallFate::kRequestLost, CallFate::kRequestLost);
  }
  fleet.time.RunFor(seconds(3));
  BOOST_TEST(!fleet.Holder().has_value());
  fleet.time.RunFor(seconds(4));
  for (std::size_t index = 0; index < 3; ++index) {
    fleet.SetFate(index, CallFate::kDone, CallFate::kDone);
  }
  BOOST_TEST(fleet.RunUntilHolder(seconds(1)));
  fleet.time.RunFor(seconds(5));
  BOOST_TEST(fleet.Holder().has_value());
  BOOST_TEST(fleet.Fault() == "");
}

// The others hear no notices of the holder; it reaches the store.
BOOST_AUTO_TEST_CASE(entries_that_cannot_hear_the_holder_do_not_replace_it) {
  HeldFleet fleet;
  fleet.SetCutFromPeers(0, true);
  const int before = fleet.table(1).call_count;
  fleet.time.RunFor(seconds(12));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.table(1).call_count - before <= 5);
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_holder_that_stops_hands_over_at_once) {
  HeldFleet fleet;
  fleet.Drain(0);
  // The last call arrives, and the release is written.
  fleet.time.RunFor(DutyClient::kCallTime + milliseconds(150));
  BOOST_TEST(!fleet.lease(0).is_holder());
  BOOST_TEST(fleet.RunUntilHolder(milliseconds(300)));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  BOOST_TEST(fleet.Token(1) == 2U);
  fleet.time.RunFor(seconds(5));
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_lost_response_to_a_release_is_made_good) {
  HeldFleet fleet;
  fleet.SetFate(0, CallFate::kResponseLost, CallFate::kDone);
  fleet.Drain(0);
  fleet.time.RunFor(milliseconds(2000));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(1)));
  fleet.time.RunFor(seconds(5));
  BOOST_TEST(fleet.Fault() == "");
}

// 0 hands over to 1, which hands back at once.
BOOST_AUTO_TEST_CASE(no_entry_acts_again_within_the_lease_time_of_another) {
  HeldFleet fleet(2);
  fleet.HandOver(0, seconds(1));
  fleet.time.RunFor(milliseconds(1000));
  BOOST_REQUIRE((fleet.Holder() == std::optional<std::size_t>(1)));
  fleet.HandOver(1, seconds(20));
  fleet.time.RunFor(milliseconds(1800));
  BOOST_TEST(fleet.lease(0).is_holder());
  BOOST_TEST(!fleet.Holder().has_value());
  BOOST_TEST(fleet.RunUntilHolder(kTakeOverTime));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.Token(0) == 3U);
  BOOST_TEST(fleet.Fault() == "");
}

// A process that starts again knows nothing of its turns before.
BOOST_AUTO_TEST_CASE(a_restarted_entry_knows_from_the_row_that_it_held_before) {
  HeldFleet fleet(2);
  fleet.Drain(0);
  fleet.time.RunFor(milliseconds(900));
  BOOST_REQUIRE((fleet.Holder() == std::optional<std::size_t>(1)));
  fleet.Kill(0);
  fleet.Start(0);
  fleet.time.RunFor(milliseconds(100));
  fleet.Drain(1);
  fleet.time.RunFor(milliseconds(1500));
  BOOST_TEST(fleet.lease(0).is_holder());
  BOOST_TEST(!fleet.Holder().has_value());
  fleet.time.RunFor(seconds(6));
  BOOST_TEST((fleet.Holder() == std::optional<std::size_t>(0)));
  BOOST_TEST(fleet.Fault() == "");
}

BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_read_is_not_replaced) {
  DutyFleet fleet(2);
  fleet.store.rows[{kDutyTable, kLeaseKey}] = {kDutyTable, kLeaseKey, "odd", 9,
                                               false};
  fleet.time.RunFor(seconds(10));
  BOOST_TEST(!fleet.Holder().has_value());
  BOOST_TEST((fleet.store.rows.at({kDutyTable, kLeaseKey}).value == "odd"));
}

// Kills, freezes, cuts, hand-overs and a store that misbehaves, in any order.
RC_BOOST_PROP(no_two_holders_act_with_overlapping_authority, ()) {
  const auto machines = *rc::gen::inRange<std::size_t>(2, 5);
  DutyFleet fleet(machines, *rc::gen::inRange<std::uint32_t>(1, 1000000));
  SeededRandom random(*rc::gen::inRange<std::uint32_t>(1, 1000000));
  for (std::size_t index = 0; index < machines; ++index) {
    fleet.table(index).next_fate = [&random] {
      constexpr std::uint32_t kOutOf = 20;
      const std::uint32_t fate = random.UniformBelow(kOutOf);
      return fate < 5 ? static_cast<CallFate>(fate) : CallFate::kDone;
    };
  }
  std::vector<int> state(machines, 0);  // 0: runs, 1: killed, 2: frozen
  for (int step = 0; step < 40; ++step) {
    const std::size_t index =
        random.UniformBelow(static_cast<std::uint32_t>(machines));
    const std::uint32_t action = random.UniformBelow(5);
    if (state[index] == 1) {
      fleet.Start(index);
      state[index] = 0;
    } else if (state[index] == 2) {
      fleet.Thaw(index);
      state[index] = 0;
    } else if (action == 0) {
      fleet.Kill(index);
      state[index] = 1;
    } else if (action == 1) {
      fleet.Freeze(index);
      state[index] = 2;
    } else if (action == 2) {
      fleet.HandOver(index, milliseconds(random.UniformBelow(2000)));
    } else if (action == 3) {
      fleet.SetCutFromPeers(index, random.UniformBelow(2) == 0);
    }
    fleet.time.RunFor(milliseconds(random.UniformBelow(3000)));
  }
  RC_ASSERT(fleet.Fault() == "");
  // Once all is well again, there is a holder.
  for (std::size_t index = 0; index < machines; ++index) {
    fleet.table(index).next_fate = [] { return CallFate::kDone; };
    fleet.SetCutFromPeers(index, false);
    if (state[index] == 1) {
      fleet.Start(index);
    } else if (state[index] == 2) {
      fleet.Thaw(index);
    }
  }
  fleet.time.RunFor(kLease * 4);
  RC_ASSERT(fleet.Holder().has_value());
  RC_ASSERT(fleet.Fault() == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
