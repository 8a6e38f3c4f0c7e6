// What an entry takes other entries and agents for after it stood still.
#include "bambooquay/serving/peer_exchange.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "bambooquay/core/random.h"
#include "bambooquay/serving/entry_permits.h"
#include "support/free_port.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using testing::FreePort;

constexpr Duration kTestTimeout = std::chrono::seconds(10);
// Period of the entry's statuses, in which it judges the others.
constexpr Duration kStatusPeriod = milliseconds(150);
// Longer than the time after which a peer counts as silent.
constexpr Duration kPause = milliseconds(1200);
constexpr CallsPerSecond kCallLimit{40.0};
const InstanceId kSelf("entry-b");
const InstanceId kPeer("entry-a");

/// An entry, and a peer that plans placement as long as it is not silent.
struct PeerPair {
  PeerPair() {
    exchange.SetStatusSource([this] {
      if (on_tick) {
        on_tick();
      }
      return EntryStatus{};
    });
    exchange.OnPeerFound([] {});
    exchange.OnEngineStatus([](const EngineStatus&) {});
    BOOST_REQUIRE(exchange.Bind(address));
    BOOST_REQUIRE(peer.Bind({"127.0.0.1", 0}));
    SendPeerStatus();
    BOOST_REQUIRE(
        loop.RunUntil([this] { return !exchange.IsPlanner(); }, kTestTimeout));
  }

  void SendPeerStatus() {
    peer.Send(address, EncodeStatus({kPeer, 1, EntryStatus{}}));
  }
  /// Runs the loop until just after a status of the entry.
  void RunUntilTick() {
    bool has_ticked = false;
    on_tick = [&] { has_ticked = true; };
    SendPeerStatus();
    BOOST_REQUIRE(loop.RunUntil([&] { return has_ticked; }, kTestTimeout));
    on_tick = nullptr;
  }
  /// Holds up the loop across the entry's next status, which is due when the
  /// loop goes on. The peer sends `count` statuses meanwhile.
  void HoldUpAcrossTick(int count) {
    RunUntilTick();
    // Both timers are due in the same turn of the loop.
    const auto first = loop.After(
        kStatusPeriod / 3, [] { std::this_thread::sleep_for(kStatusPeriod); });
    const auto second = loop.After(kStatusPeriod / 2, [&] {
      on_paused();
      std::this_thread::sleep_for(kPause);
      for (int i = 0; i < count; ++i) {
        SendPeerStatus();
      }
      on_resumed();
    });
    bool has_ticked = false;
    on_tick = [&, after = on_tick_after_pause] {
      if (!has_ticked) {
        after();
      }
      has_ticked = true;
    };
    BOOST_REQUIRE(loop.RunUntil([&] { return has_ticked; }, kTestTimeout));
    on_tick = nullptr;
  }

  /// The same, but the statuses are read before the entry's next one is due.
  void HoldUpBeforeTick() {
    RunUntilTick();
    const auto hold = loop.After(Duration::zero(), [&] {
      SendPeerStatus();
      std::this_thread::sleep_for(kPause);
      on_resumed();
    });
    bool has_ticked = false;
    on_tick = [&, after = on_tick_after_pause] {
      after();
      has_ticked = true;
    };
    BOOST_REQUIRE(loop.RunUntil([&] { return has_ticked; }, kTestTimeout));
    on_tick = nullptr;
  }
  /// @returns an upstream for which this entry issues the permits.
  UpstreamId AddOwnUpstream() {
    EntryPermits permits(loop.clock(), kSelf);
    permits.SetEntries({kSelf, kPeer}, 2);
    UpstreamRecord record;
    int number = 0;
    do {
      record.id = UpstreamId("upstream-" + std::to_string(++number));
    } while (permits.IssuerOf(record.id) != kSelf);
    upstreams.Put(record);
    return record.id;
  }
  /// Requests permits for one upstream.
  /// @returns how many are granted at once.
  int CountPermits(const UpstreamId& upstream, int requests) {
    const auto granted = std::make_shared<int>(0);
    for (int i = 0; i < requests; ++i) {
      exchange.RequestPermit(
          upstream, {false, kCallLimit},
          [granted](bool is_granted, Duration) { *granted += is_granted; });
    }
    return *granted;
  }

  EventLoop loop;
  SeededRandom random{1};
  UpstreamSet upstreams{loop.clock(), random, DataCentreId("dc"),
                        [](const Endpoint&) { return true; }};
  FleetAllowance allowance{loop.input_clock()};
  PeerExchange exchange{loop, kSelf, allowance, upstreams};
  Endpoint address{"127.0.0.1", FreePort()};
  DatagramSocket peer{loop, [](const Endpoint&, std::string_view) {}};
  std::function<void()> on_tick;
  std::function<void()> on_paused = [] {};
  std::function<void()> on_resumed = [] {};
  std::function<void()> on_tick_after_pause = [] {};
};

/// An engine that the entry knows, and the socket of the agent beside it.
struct EngineAgent {
  explicit EngineAgent(PeerPair& pair)
      : entry(pair.address),
        socket(pair.loop, [this](const Endpoint&, std::string_view bytes) {
          const auto message = DecodeStatus(bytes);
          if (!message.has_value()) {
            return;
          }
          if (const auto* permit = std::get_if<PermitRequest>(&message->body)) {
            permit_request_id = permit->request_id;
          } else if (const auto* room =
                         std::get_if<RoomRequest>(&message->body)) {
            room_request_id = room->request_id;
          }
        }) {
    BOOST_REQUIRE(socket.Bind({kHost, entry.port}));
    UpstreamRecord record;
    record.id = upstream;
    record.service = ServiceName("engines");
    record.address = {kHost, 1};
    pair.upstreams.SetEngineServices({record.service});
    pair.upstreams.Put(record);
  }

  void Send(decltype(StatusMessage::body) body) {
    socket.Send(entry, EncodeStatus({InstanceId("agent"), 1, std::move(body)}));
  }

  static constexpr const char* kHost = "127.0.0.2";
  Endpoint entry;
  UpstreamId upstream{"engine"};
  std::optional<std::uint64_t> permit_request_id;
  std::optional<std::uint64_t> room_request_id;
  DatagramSocket socket;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_exchange)

BOOST_AUTO_TEST_CASE(a_peer_is_not_silent_because_this_entry_stood_still) {
  PeerPair test;
  std::optional<bool> took_over;
  test.on_tick_after_pause = [&] { took_over = test.exchange.IsPlanner(); };
  test.HoldUpAcrossTick(1);
  BOOST_TEST(took_over.has_value());
  BOOST_TEST(!took_over.value_or(true));
}

BOOST_AUTO_TEST_CASE(a_pause_adds_no_allowance_before_peers_spending_is_read) {
  const OrganisationId organisation("o");
  PeerPair test;
  test.allowance.Configure(organisation, TokensPerSecond{1000.0},
                           Tokens{100'000.0});
  double level_before = 0.0;
  double level_after = 0.0;
  test.on_paused = [&] {
    level_before = test.allowance.Level(organisation).count;
  };
  test.on_resumed = [&] {
    level_after = test.allowance.Level(organisation).count;
  };
  test.HoldUpAcrossTick(1);
  BOOST_TEST(level_after == level_before);
  BOOST_TEST(test.loop.RunUntil(
      [&] {
        return test.allowance.Level(organisation).count >=
               level_before + 1000.0 * ToSeconds(kPause);
      },
      kTestTimeout));
}

BOOST_AUTO_TEST_CASE(a_peer_that_stays_away_becomes_silent) {
  PeerPair test;
  BOOST_TEST(test.loop.RunUntil([&] { return test.exchange.IsPlanner(); },
                                kTestTimeout));
}

BOOST_AUTO_TEST_CASE(
    permits_of_an_entry_that_stood_still_do_not_exceed_its_own_share) {
  PeerPair test;
  const UpstreamId upstream = test.AddOwnUpstream();
  test.CountPermits(upstream, 1);
  int granted = 0;
  TimePoint resumed_at;
  TimePoint ticked_at;
  test.on_resumed = [&] {
    resumed_at = test.loop.clock().Now();
    granted = test.CountPermits(upstream, 10);
  };
  test.on_tick_after_pause = [&] {
    granted += test.CountPermits(upstream, 10);
    ticked_at = test.loop.clock().Now();
  };
  test.HoldUpBeforeTick();
  // Those of 250 ms may be unused, and this is one of two entries.
  const double rate = kCallLimit.value / 2;
  BOOST_TEST(granted >= 5);
  BOOST_TEST(granted <= 5 + rate * ToSeconds(ticked_at - resumed_at));
}

BOOST_AUTO_TEST_CASE(an_agent_that_answered_in_a_pause_is_not_unanswering) {
  constexpr Duration kWait = milliseconds(35);
  PeerPair test;
  EngineAgent agent(test);
  std::optional<Duration> permit_wait;
  std::optional<RoomOutcome::Kind> room;
  test.exchange.RequestPermit(agent.upstream, {false, kCallLimit},
                              [&](bool, Duration wait) { permit_wait = wait; });
  RoomRequest request;
  request.upstream = agent.upstream;
  request.max_wait = kPause;
  test.exchange.RequestRoom(
      request, [&](const RoomOutcome& outcome) { room = outcome.kind; });
  BOOST_REQUIRE(test.loop.RunUntil(
      [&] { return agent.permit_request_id && agent.room_request_id; },
      kTestTimeout));
  // The entry looks for unanswered requests in the same turn of the loop.
  const auto first = test.loop.After(
      Duration::zero(), [] { std::this_thread::sleep_for(milliseconds(40)); });
  const auto second = test.loop.After(milliseconds(1), [&] {
    agent.Send(PermitReply{*agent.permit_request_id, false, kWait});
    agent.Send(RoomReply{*agent.room_request_id, true, {}, false});
    std::this_thread::sleep_for(kPause);
  });
  BOOST_REQUIRE(test.loop.RunUntil(
      [&] { return permit_wait.has_value() && room.has_value(); },
      kTestTimeout));
  BOOST_TEST((*room == RoomOutcome::Kind::kGranted));
  BOOST_TEST((*permit_wait == kWait));
}

// What the agent granted is charged to an earlier time.
BOOST_AUTO_TEST_CASE(a_permit_that_is_read_late_is_not_used) {
  PeerPair test;
  EngineAgent agent(test);
  std::optional<bool> granted;
  test.exchange.RequestPermit(
      agent.upstream, {false, kCallLimit},
      [&](bool is_granted, Duration) { granted = is_granted; });
  BOOST_REQUIRE(test.loop.RunUntil(
      [&] { return agent.permit_request_id.has_value(); }, kTestTimeout));
  const auto hold = test.loop.After(Duration::zero(), [&] {
    agent.Send(PermitReply{*agent.permit_request_id, true, {}});
    std::this_thread::sleep_for(kPause);
  });
  BOOST_REQUIRE(
      test.loop.RunUntil([&] { return granted.has_value(); }, kTestTimeout));
  BOOST_TEST(!*granted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
