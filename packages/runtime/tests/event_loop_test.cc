// What the event loop does after a pause.
#include "bambooquay/runtime/event_loop.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <thread>

#include "bambooquay/runtime/datagram_socket.h"
#include "support/free_port.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTestTimeout = std::chrono::seconds(10);

/// A socket that counts what it receives, and one that sends to it.
struct DatagramFixture {
  DatagramFixture() {
    BOOST_REQUIRE(receiver.Bind(address));
    BOOST_REQUIRE(sender.Bind({"127.0.0.1", 0}));
  }

  void Send(int count) {
    for (int i = 0; i < count; ++i) {
      sender.Send(address, "x");
    }
  }

  EventLoop loop;
  Endpoint address{"127.0.0.1", testing::FreePort()};
  int received = 0;
  DatagramSocket receiver{loop, [this](const Endpoint&, std::string_view) {
                            ++received;
                            if (on_received) {
                              on_received();
                            }
                          }};
  DatagramSocket sender{loop, [](const Endpoint&, std::string_view) {}};
  std::function<void()> on_received;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(event_loop)

BOOST_AUTO_TEST_CASE(input_is_not_handled_while_a_socket_has_unread_datagrams) {
  constexpr int kSent = 150;
  DatagramFixture test;
  int received_before = -1;
  std::unique_ptr<Timer> judge;
  const auto hold = test.loop.After(Duration::zero(), [&] {
    test.Send(kSent);
    judge = test.loop.AfterInput([&] { received_before = test.received; });
  });
  BOOST_REQUIRE(
      test.loop.RunUntil([&] { return received_before >= 0; }, kTestTimeout));
  BOOST_TEST(received_before == kSent);
}

BOOST_AUTO_TEST_CASE(
    a_pause_is_not_counted_as_silence_before_input_is_handled) {
  DatagramFixture test;
  const Clock& input_clock = test.loop.input_clock();
  const TimePoint start = input_clock.Now();
  BOOST_REQUIRE(test.loop.RunUntil([&] { return input_clock.Now() > start; },
                                   kTestTimeout));
  TimePoint paused_at;
  TimePoint resumed_at;
  const auto hold = test.loop.After(Duration::zero(), [&] {
    paused_at = test.loop.clock().Now();
    test.Send(1);
    std::this_thread::sleep_for(milliseconds(500));
    resumed_at = test.loop.clock().Now();
  });
  bool was_standing_still = false;
  test.on_received = [&] {
    was_standing_still = input_clock.Now() < paused_at;
  };
  BOOST_REQUIRE(
      test.loop.RunUntil([&] { return test.received > 0; }, kTestTimeout));
  BOOST_TEST(was_standing_still);
  BOOST_TEST(test.loop.RunUntil([&] { return input_clock.Now() >= resumed_at; },
                                kTestTimeout));
}

// The callback waits for input for longer than the period.
BOOST_AUTO_TEST_CASE(a_busy_loop_does_not_put_off_periodic_decisions) {
  DatagramFixture test;
  int decisions = 0;
  const auto timer = test.loop.EveryAfterInput(milliseconds(5),
                                               [&](TimePoint) { ++decisions; });
  const auto busy = test.loop.Every(
      milliseconds(1), [] { std::this_thread::sleep_for(milliseconds(10)); });
  BOOST_TEST(test.loop.RunUntil([&] { return decisions >= 5; }, kTestTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
