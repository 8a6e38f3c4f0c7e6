// Tests of calls and timers whose event loop is held up.
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"
#include "support/plain_server.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using testing::HoldUp;
using testing::PlainServer;

constexpr Duration kTestTimeout = std::chrono::seconds(10);
constexpr Duration kIdleTimeout = milliseconds(300);
constexpr Duration kPause = milliseconds(700);

std::string Ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpRequest MakeGet() {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  return request;
}

struct Outcome final : HttpObserver {
  void OnHead(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnPart(std::string_view bytes) override { body += bytes; }
  void OnEnd(HttpOutcome call_outcome) override { outcome = call_outcome; }

  std::string body;
  std::optional<HttpOutcome> outcome;
};

/// A client whose loop can be held up, and a server outside that loop.
struct HeldUpClient {
  std::unique_ptr<HttpCall> Start(Outcome& outcome) {
    return client.Start(server.endpoint(), MakeGet(), kIdleTimeout,
                        ConnectionReuse::kAllowed, outcome);
  }
  void WaitForRequest() {
    BOOST_REQUIRE(
        loop.RunUntil([&] { return server.HasRequest(); }, kTestTimeout));
  }
  void WaitForEnd(const Outcome& outcome) {
    BOOST_REQUIRE(loop.RunUntil([&] { return outcome.outcome.has_value(); },
                                kTestTimeout));
  }

  EventLoop loop;
  PlainServer server;
  HttpClient client{loop, {.connect_timeout = kIdleTimeout}};
};

bool IsOk(const std::optional<HttpResult>& result) {
  return result.has_value() && std::holds_alternative<HttpResponse>(*result);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(held_up_loop)

BOOST_AUTO_TEST_CASE(a_response_that_arrived_in_a_pause_is_not_timed_out) {
  HeldUpClient test;
  Outcome outcome;
  const auto call = test.Start(outcome);
  test.WaitForRequest();
  test.server.Send(Ok("done"));
  HoldUp(kPause);
  test.WaitForEnd(outcome);
  BOOST_TEST((outcome.outcome == HttpOutcome::kComplete));
  BOOST_TEST(outcome.body == "done");
}

BOOST_AUTO_TEST_CASE(a_stream_that_went_on_in_a_pause_is_not_timed_out) {
  HeldUpClient test;
  Outcome outcome;
  const auto call = test.Start(outcome);
  test.WaitForRequest();
  const std::string response = Ok("first second");
  test.server.Send(response.substr(0, response.size() - 6));
  BOOST_REQUIRE(test.loop.RunUntil([&] { return outcome.body == "first "; },
                                   kTestTimeout));
  test.server.Send("sec");
  HoldUp(kPause);
  BOOST_REQUIRE(test.loop.RunUntil([&] { return outcome.body == "first sec"; },
                                   kTestTimeout));
  BOOST_TEST(!outcome.outcome.has_value());
  test.server.Send("ond");
  test.WaitForEnd(outcome);
  BOOST_TEST((outcome.outcome == HttpOutcome::kComplete));
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_silent_after_a_pause_is_timed_out) {
  HeldUpClient test;
  Outcome outcome;
  const auto call = test.Start(outcome);
  test.WaitForRequest();
  test.server.Send("HTTP/1.1 200 OK\r\n");
  HoldUp(kPause);
  test.WaitForEnd(outcome);
  BOOST_TEST((outcome.outcome == HttpOutcome::kTimedOut));
}

BOOST_AUTO_TEST_CASE(a_connection_made_in_a_pause_is_used) {
  HeldUpClient test;
  Outcome outcome;
  const auto call = test.Start(outcome);
  HoldUp(kPause);
  BOOST_REQUIRE(test.loop.RunUntil(
      [&] { return test.server.HasRequest() || outcome.outcome.has_value(); },
      kTestTimeout));
  test.server.Send(Ok("done"));
  test.WaitForEnd(outcome);
  BOOST_TEST((outcome.outcome == HttpOutcome::kComplete));
}

BOOST_AUTO_TEST_CASE(
    a_paused_response_is_not_timed_out_by_a_pause_of_the_loop) {
  HeldUpClient test;
  Outcome outcome;
  const auto call = test.Start(outcome);
  test.WaitForRequest();
  const std::string response = Ok("first second");
  test.server.Send(response.substr(0, response.size() - 6));
  BOOST_REQUIRE(test.loop.RunUntil([&] { return outcome.body == "first "; },
                                   kTestTimeout));
  test.server.Send("second");
  HoldUp(kPause);
  call->SetPaused(true);
  test.loop.RunUntil([] { return false; }, kIdleTimeout * 2);
  BOOST_TEST(!outcome.outcome.has_value());
  BOOST_TEST(outcome.body == "first ");
  call->SetPaused(false);
  test.WaitForEnd(outcome);
  BOOST_TEST((outcome.outcome == HttpOutcome::kComplete));
}

BOOST_AUTO_TEST_CASE(
    a_fetched_response_that_arrived_in_a_pause_is_not_timed_out) {
  // Larger than what one turn of the loop reads from a socket.
  const std::string body(200'000, 'x');
  EventLoop loop;
  PlainServer server;
  std::optional<HttpResult> result;
  const auto call =
      FetchHttp(loop, server.endpoint(), MakeGet(), kIdleTimeout,
                [&](HttpResult fetched) { result = std::move(fetched); });
  BOOST_REQUIRE(
      loop.RunUntil([&] { return server.HasRequest(); }, kTestTimeout));
  server.Send(Ok(body));
  HoldUp(kPause);
  BOOST_REQUIRE(
      loop.RunUntil([&] { return result.has_value(); }, kTestTimeout));
  BOOST_REQUIRE(IsOk(result));
  BOOST_TEST((std::get<HttpResponse>(*result).body == body));
}

BOOST_AUTO_TEST_CASE(a_fetched_response_without_an_end_is_timed_out) {
  EventLoop loop;
  PlainServer server;
  std::optional<HttpResult> result;
  const TimePoint started_at = loop.clock().Now();
  const auto call =
      FetchHttp(loop, server.endpoint(), MakeGet(), kIdleTimeout,
                [&](HttpResult fetched) { result = std::move(fetched); });
  BOOST_REQUIRE(
      loop.RunUntil([&] { return server.HasRequest(); }, kTestTimeout));
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
  const auto drip =
      loop.Every(milliseconds(1), [&] { server.Send("some bytes"); });
  BOOST_REQUIRE(
      loop.RunUntil([&] { return result.has_value(); }, kTestTimeout));
  BOOST_TEST(!IsOk(result));
  BOOST_TEST((loop.clock().Now() - started_at < kIdleTimeout * 4));
}

BOOST_AUTO_TEST_CASE(a_pooled_connection_closed_in_a_pause_is_not_used_again) {
  HeldUpClient test;
  Outcome first;
  const auto call = test.Start(first);
  test.WaitForRequest();
  test.server.Send(Ok("done"));
  test.WaitForEnd(first);
  test.server.Close();
  Outcome second;
  const auto next_call = test.Start(second);
  BOOST_REQUIRE(test.loop.RunUntil(
      [&] { return test.server.HasRequest() || second.outcome.has_value(); },
      kTestTimeout));
  test.server.Send(Ok("done"));
  test.WaitForEnd(second);
  BOOST_TEST((second.outcome == HttpOutcome::kComplete));
  BOOST_TEST(test.client.opened_connection_count() == 2U);
}

BOOST_AUTO_TEST_CASE(a_timer_set_after_a_slow_callback_waits_its_whole_time) {
  EventLoop loop;
  std::optional<Duration> waited;
  std::unique_ptr<Timer> timer;
  const auto slow = loop.After(Duration::zero(), [&] {
    HoldUp(milliseconds(400));
    timer = loop.After(milliseconds(300), [&, set_at = loop.clock().Now()] {
      waited = loop.clock().Now() - set_at;
    });
  });
  BOOST_REQUIRE(
      loop.RunUntil([&] { return waited.has_value(); }, kTestTimeout));
  BOOST_TEST((*waited >= milliseconds(290)));
}

BOOST_AUTO_TEST_CASE(a_call_begun_by_a_slow_callback_has_its_whole_timeout) {
  HeldUpClient test;
  Outcome outcome;
  std::unique_ptr<HttpCall> call;
  std::optional<TimePoint> started_at;
  const auto slow = test.loop.After(Duration::zero(), [&] {
    HoldUp(milliseconds(250));
    started_at = test.loop.clock().Now();
    call = test.Start(outcome);
  });
  test.WaitForRequest();
  test.WaitForEnd(outcome);
  BOOST_TEST((outcome.outcome == HttpOutcome::kTimedOut));
  BOOST_TEST((test.loop.clock().Now() - *started_at >= milliseconds(290)));
}

BOOST_AUTO_TEST_CASE(input_of_many_connections_is_handled_before_a_decision) {
  constexpr std::size_t kConnections = 400;
  EventLoop loop;
  std::size_t request_count = 0;
  HttpServer server(loop, {},
                    [&](const std::shared_ptr<HttpExchange>& exchange) {
                      ++request_count;
                      exchange->Respond(200, {}, "");
                    });
  BOOST_REQUIRE(server.Listen({"127.0.0.1", 0}));
  std::vector<int> callers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    callers.push_back(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(callers.back(), reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0);
    loop.RunUntil([] { return false; }, milliseconds(1));
  }
  for (const int caller : callers) {
    constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(send(caller, kGet.data(), kGet.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(kGet.size()));
  }
  std::optional<std::size_t> handled;
  const auto decision = loop.AfterInput([&] { handled = request_count; });
  BOOST_REQUIRE(
      loop.RunUntil([&] { return handled.has_value(); }, kTestTimeout));
  BOOST_TEST(*handled == kConnections);
  for (const int caller : callers) {
    close(caller);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
