// Tests of the HTTP server against callers that send malformed requests, stall
// or disconnect.
#include "bambooquay/runtime/http_server.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "support/plain_caller.h"
#include "support/scripted_peer.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using testing::HoldUp;
using testing::PlainCaller;
using testing::RawClient;

constexpr Duration kTestTimeout = std::chrono::seconds(10);

/// A server on a free port that stores the exchanges it receives.
struct TestServer {
  explicit TestServer(const HttpServerLimits& limits = {})
      : server(loop, limits, [this](std::shared_ptr<HttpExchange> exchange) {
          exchanges.push_back(std::move(exchange));
        }) {
    BOOST_REQUIRE(server.Listen({"127.0.0.1", 0}));
    endpoint = {"127.0.0.1", server.port()};
  }

  /// Sends an invalid request, which must not reach the handler.
  /// @returns everything received until the server closes the connection.
  std::string SendInvalid(const std::string& bytes) {
    RawClient client(loop, endpoint, bytes);
    BOOST_TEST(loop.RunUntil([&] { return client.closed(); }, kTestTimeout));
    BOOST_TEST(exchanges.empty());
    return client.received();
  }

  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server;
  Endpoint endpoint;
};

bool HasStatus(const std::string& response, const std::string& status) {
  return response.starts_with("HTTP/1.1 " + status + " ");
}

/// Limits of which a few large requests are more than enough.
HttpServerLimits SmallLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 200'000;
  limits.max_held_bytes = 800'000;
  return limits;
}

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

std::size_t CountOf(const std::string& text, std::string_view part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

/// A server that answers at once, and a caller with a kept connection.
struct KeptConnection {
  explicit KeptConnection(const HttpServerLimits& limits)
      : server(loop, limits, [](const std::shared_ptr<HttpExchange>& exchange) {
          exchange->Respond(200, {}, "done");
        }) {
    BOOST_REQUIRE(server.Listen({"127.0.0.1", 0}));
    caller =
        std::make_unique<PlainCaller>(Endpoint{"127.0.0.1", server.port()});
    BOOST_REQUIRE(AsksAndIsAnswered());
  }

  /// @returns whether the caller gets an answer to one more request.
  bool AsksAndIsAnswered() {
    caller->Send(kGet);
    return IsAnswered();
  }
  bool IsAnswered() {
    ++request_count;
    loop.RunUntil(
        [this] {
          return CountOf(caller->Received(), "done") == request_count ||
                 caller->closed();
        },
        kTestTimeout);
    return CountOf(caller->Received(), "done") == request_count;
  }
  /// Runs the loop, which is held up as the time ends. The caller sends a
  /// request into that pause.
  void RestAndSendIntoPause(Duration rest, Duration pause) {
    loop.RunUntil([] { return false; }, rest);
    const auto hold = loop.After(Duration::zero(), [&] {
      HoldUp(pause / 2);
      caller->Send(kGet);
      HoldUp(pause / 2);
      if (after_pause) {
        after_pause();
      }
    });
    loop.RunUntil([] { return false; }, milliseconds(20));
  }

  EventLoop loop;
  HttpServer server;
  std::unique_ptr<PlainCaller> caller;
  std::size_t request_count = 0;
  /// Runs as the loop goes on.
  std::function<void()> after_pause;
};

HttpServerLimits WithIdleTimeout(Duration timeout) {
  HttpServerLimits limits;
  limits.idle_timeout = timeout;
  return limits;
}

// More than the system's buffers hold.
constexpr std::size_t kLongBody = 20'000'000;

/// A response to an HTTP/1.0 caller that only the end of its connection ends.
struct UnframedStream {
  /// Writes the head and `part`, which is not the end of the response.
  explicit UnframedStream(std::string part, const HttpServerLimits& limits = {})
      : body(std::move(part)),
        server(std::make_unique<HttpServer>(
            loop, limits, [this](std::shared_ptr<HttpExchange> new_exchange) {
              exchange = std::move(new_exchange);
              exchange->StartStream(200, {});
              exchange->SendPart(body, nullptr);
            })) {
    BOOST_REQUIRE(server->Listen({"127.0.0.1", 0}));
    caller =
        std::make_unique<PlainCaller>(Endpoint{"127.0.0.1", server->port()});
    caller->Send("GET / HTTP/1.0\r\n\r\n");
    BOOST_REQUIRE(
        loop.RunUntil([&] { return exchange != nullptr; }, kTestTimeout));
  }

  void WaitForBody() {
    BOOST_REQUIRE(loop.RunUntil([&] { return HasWholeBody(); }, kTestTimeout));
  }
  [[nodiscard]] bool HasWholeBody() {
    return caller->Received().ends_with(body);
  }
  /// @returns how the connection ends for the caller.
  [[nodiscard]] std::string WaitForEnd() {
    const bool has_ended =
        loop.RunUntil([&] { return caller->HasClosed(); }, kTestTimeout);
    return !has_ended ? "open" : caller->was_reset() ? "reset" : "orderly";
  }

  EventLoop loop;
  std::string body;
  std::shared_ptr<HttpExchange> exchange;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<PlainCaller> caller;
};

std::string PostOf(std::size_t length, std::size_t sent) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n" + std::string(sent, 'x');
}

/// Limits of a configuration, of which the first is the larger one.
struct ChangedLimits {
  HttpServerLimits larger;
  HttpServerLimits smaller;
};

ChangedLimits MakeChangedLimits() {
  ChangedLimits limits;
  limits.larger.max_header_bytes = 4000;
  limits.larger.max_body_bytes = 4000;
  limits.larger.header_timeout = std::chrono::seconds(5);
  limits.smaller.max_header_bytes = 200;
  limits.smaller.max_body_bytes = 200;
  limits.smaller.header_timeout = milliseconds(100);
  return limits;
}

std::string GetWithHeader(std::size_t bytes) {
  return "GET / HTTP/1.1\r\nX: " + std::string(bytes, 'a') + "\r\n\r\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server)

BOOST_AUTO_TEST_CASE(malformed_requests_and_ambiguous_framing_are_rejected) {
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::vector<std::string> requests = {
      post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      post + "Content-Length: +1\r\n\r\na",
      "GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n",
      "nonsense\r\n\r\n"};
  for (const std::string& request : requests) {
    TestServer test;
    BOOST_TEST(HasStatus(test.SendInvalid(request), "400"), request);
  }
}

BOOST_AUTO_TEST_CASE(header_and_body_limits_are_enforced) {
  HttpServerLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  TestServer test(limits);
  BOOST_TEST(HasStatus(test.SendInvalid("GET / HTTP/1.1\r\nX: " +
                                        std::string(300, 'a') + "\r\n\r\n"),
                       "431"));
  BOOST_TEST(HasStatus(
      test.SendInvalid("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"),
      "413"));
  BOOST_TEST(HasStatus(
      test.SendInvalid("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "b\r\nhello world\r\n0\r\n\r\n"),
      "413"));
}

BOOST_AUTO_TEST_CASE(too_many_header_fields_are_refused) {
  std::string fields;
  for (int i = 0; i < 300; ++i) {
    fields += "a:\r\n";
  }
  TestServer test;
  BOOST_TEST(HasStatus(
      test.SendInvalid("GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n"),
      "431"));
}

BOOST_AUTO_TEST_CASE(an_incomplete_header_times_out) {
  HttpServerLimits limits;
  limits.header_timeout = milliseconds(100);
  TestServer test(limits);
  BOOST_TEST(HasStatus(test.SendInvalid("GET / HTTP/1.1\r\nX: "), "408"));
}

BOOST_AUTO_TEST_CASE(a_chunked_body_is_received_completely) {
  TestServer test;
  RawClient client(test.loop, test.endpoint,
                   "POST /p?q=1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  BOOST_TEST(test.exchanges[0]->request().body == "abcde");
  BOOST_TEST(test.exchanges[0]->request().target == "/p?q=1");
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  TestServer test;
  RawClient client(test.loop, test.endpoint,
                   "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  // The second request waits until the first one has been answered.
  BOOST_TEST(test.exchanges.size() == 1U);
  test.exchanges[0]->Respond(200, {}, "one");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return test.exchanges.size() == 2; },
                                   kTestTimeout));
  BOOST_TEST(test.exchanges[1]->request().target == "/2");
  test.exchanges[1]->Respond(200, {}, "two");
  BOOST_TEST(test.loop.RunUntil(
      [&] { return client.received().ends_with("two"); }, kTestTimeout));
}

BOOST_AUTO_TEST_CASE(
    a_caller_that_disconnects_before_the_response_is_detected) {
  TestServer test;
  auto client = std::make_unique<RawClient>(test.loop, test.endpoint,
                                            "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  bool disconnected = false;
  test.exchanges[0]->OnDisconnect([&] { disconnected = true; });
  client = nullptr;
  BOOST_TEST(test.loop.RunUntil([&] { return disconnected; }, kTestTimeout));
  BOOST_TEST(test.exchanges[0]->closed());
}

BOOST_AUTO_TEST_CASE(an_aborted_stream_does_not_look_complete) {
  TestServer test;
  RawClient client(test.loop, test.endpoint, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  test.exchanges[0]->StartStream(200, {});
  test.exchanges[0]->SendPart("abc", [&] { test.exchanges[0]->Abort(); });
  BOOST_TEST(test.loop.RunUntil([&] { return client.closed(); }, kTestTimeout));
  BOOST_TEST(client.received().ends_with("3\r\nabc\r\n"));
}

// A process must not exit before all responses are written to their sockets: a
// response that is still in an output buffer is lost when the process exits.
BOOST_AUTO_TEST_CASE(a_connection_is_busy_until_its_response_is_written) {
  TestServer test;
  RawClient client(test.loop, test.endpoint, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  test.exchanges[0]->Respond(200, {}, std::string(8 << 20, 'x'));
  BOOST_TEST(test.server.busy_connection_count() == 1U);
  BOOST_TEST(test.loop.RunUntil(
      [&] { return test.server.busy_connection_count() == 0; }, kTestTimeout));
  BOOST_TEST(test.loop.RunUntil(
      [&] { return client.received().size() > (8U << 20); }, kTestTimeout));
}

BOOST_AUTO_TEST_CASE(
    a_closing_server_completes_its_response_with_connection_close) {
  TestServer test;
  RawClient client(test.loop, test.endpoint, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  test.server.CloseAfterResponses();
  test.exchanges[0]->Respond(200, {}, "done");
  BOOST_TEST(test.loop.RunUntil([&] { return client.closed(); }, kTestTimeout));
  BOOST_TEST(client.received().find("Connection: close") != std::string::npos);
  BOOST_TEST(client.received().ends_with("done"));
}

// A request is parsed the same way wherever it is split into packets.
RC_BOOST_PROP(a_request_is_parsed_alike_wherever_it_is_split, ()) {
  const std::string bytes =
      "POST /a/b HTTP/1.1\r\nHost: x.example\r\nX-Two:  v \r\n"
      "Content-Length: 5\r\n\r\nhello";
  const auto split = *rc::gen::inRange<std::size_t>(1, bytes.size());
  TestServer test;
  RawClient client(test.loop, test.endpoint, bytes.substr(0, split));
  test.loop.RunUntil([&] { return test.server.connection_count() == 1; },
                     kTestTimeout);
  client.Send(bytes.substr(split));
  RC_ASSERT(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                               kTestTimeout));
  const HttpRequest& request = test.exchanges[0]->request();
  RC_ASSERT(request.target == "/a/b");
  RC_ASSERT(request.headers.Get("host") == "x.example");
  RC_ASSERT(request.body == "hello");
}

// A caller that goes on sending after the refusal is not read for long.
BOOST_AUTO_TEST_CASE(a_refused_body_is_not_read_to_its_end) {
  HttpServerLimits limits;
  limits.max_body_bytes = 1000;
  TestServer test(limits);
  RawClient client(test.loop, test.endpoint,
                   PostOf(std::size_t{64} << 20, std::size_t{32} << 20));
  BOOST_TEST(test.loop.RunUntil([&] { return client.closed(); }, kTestTimeout));
  BOOST_TEST(test.exchanges.empty());
  BOOST_TEST(test.loop.RunUntil(
      [&] { return test.server.connection_count() == 0; }, kTestTimeout));
  BOOST_TEST(test.server.held_bytes() == 0U);
}

// Load: bodies that stop just short of their end, on more connections than
// memory allows.
BOOST_AUTO_TEST_CASE(requests_that_stop_short_give_way_with_a_refusal) {
  TestServer test(SmallLimits());
  std::vector<std::string> limits;
  test.server.OnLimitExceeded(
      [&](std::string_view limit) { limits.emplace_back(limit); });
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t i = 0; i < 20; ++i) {
    crowd.push_back(std::make_unique<RawClient>(test.loop, test.endpoint,
                                                PostOf(200'000, 200'000 - 1)));
  }
  const auto refused = [&] {
    return std::ranges::count_if(crowd, [](const auto& client) {
      return HasStatus(client->received(), "503");
    });
  };
  BOOST_TEST(test.loop.RunUntil([&] { return refused() >= 16; }, kTestTimeout));
  const auto answered = std::ranges::find_if(
      crowd, [](const auto& client) { return !client->received().empty(); });
  BOOST_REQUIRE((answered != crowd.end()));
  const std::string& response = (*answered)->received();
  BOOST_TEST(response.find("Connection: close") != std::string::npos);
  BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(response.find("not_run") != std::string::npos);
  BOOST_TEST(test.exchanges.empty());
  BOOST_TEST(!limits.empty());
  BOOST_TEST(std::ranges::count(limits, "memory") ==
             static_cast<std::ptrdiff_t>(limits.size()));
  BOOST_TEST(test.server.held_bytes() <= 800'000U);
  const RawClient ordinary(test.loop, test.endpoint, PostOf(5, 5));
  BOOST_TEST(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                kTestTimeout));
}

BOOST_AUTO_TEST_CASE(a_body_takes_no_more_memory_than_its_length) {
  HttpServerLimits limits;
  limits.max_body_bytes = 3'000'000;
  TestServer test(limits);
  RawClient client(test.loop, test.endpoint, PostOf(3'000'000, 0));
  // Its size would double a string's memory at the end.
  for (int part = 0; part < 30; ++part) {
    client.Send(std::string(100'000, 'x'));
  }
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  BOOST_TEST(test.exchanges[0]->request().body.size() == 3'000'000U);
  BOOST_TEST(test.exchanges[0]->request().body.capacity() == 3'000'000U);
}

// While a large request is served, there are two copies of its body.
BOOST_AUTO_TEST_CASE(large_requests_in_service_leave_room_for_small_ones) {
  TestServer test(SmallLimits());
  const RawClient first(test.loop, test.endpoint, PostOf(200'000, 200'000));
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  const RawClient second(test.loop, test.endpoint, PostOf(200'000, 200'000));
  BOOST_TEST(test.loop.RunUntil([&] { return second.closed(); }, kTestTimeout));
  BOOST_TEST(HasStatus(second.received(), "503"));
  const RawClient small(test.loop, test.endpoint, PostOf(50'000, 50'000));
  BOOST_TEST(test.loop.RunUntil([&] { return test.exchanges.size() == 2; },
                                kTestTimeout));
  test.exchanges[0]->Respond(200, {}, "done");
  BOOST_TEST(test.loop.RunUntil(
      [&] { return first.received().ends_with("done"); }, kTestTimeout));
}

// A request that is served never gives way, so what arrives behind it must not
// pile up.
BOOST_AUTO_TEST_CASE(
    pipelined_requests_wait_unread_and_cost_no_call_while_memory_is_short) {
  TestServer test(SmallLimits());
  RawClient caller(test.loop, test.endpoint, PostOf(5, 5));
  BOOST_REQUIRE(test.loop.RunUntil([&] { return test.exchanges.size() == 1; },
                                   kTestTimeout));
  const RawClient large(test.loop, test.endpoint, PostOf(200'000, 200'000));
  BOOST_REQUIRE(test.loop.RunUntil([&] { return test.exchanges.size() == 2; },
                                   kTestTimeout));
  const std::size_t held = test.server.held_bytes();
  caller.Send(PostOf(200'000, 200'000));
  test.loop.RunUntil([] { return false; }, milliseconds(200));
  BOOST_TEST(test.server.held_bytes() <= held + 1024);
  BOOST_TEST(!caller.closed());
  test.exchanges[1]->Respond(200, {}, "large");
  test.exchanges[0]->Respond(200, {}, "first");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return test.exchanges.size() == 3; },
                                   kTestTimeout));
  BOOST_TEST(caller.received().ends_with("first"));
  BOOST_TEST(test.exchanges[2]->request().body.size() == 200'000U);
  test.exchanges[2]->Respond(200, {}, "second");
  BOOST_TEST(test.loop.RunUntil(
      [&] { return caller.received().ends_with("second"); }, kTestTimeout));
}

// Load: what is read behind a request counts when that is taken.
BOOST_AUTO_TEST_CASE(a_crowd_that_pipelines_stays_within_the_limit) {
  TestServer test(SmallLimits());
  constexpr std::size_t kCrowd = 100;
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.push_back(std::make_unique<RawClient>(
        test.loop, test.endpoint, PostOf(5, 5) + PostOf(200'000, 100'000)));
  }
  std::size_t most = 0;
  test.loop.RunUntil(
      [&] {
        most = std::max(most, test.server.held_bytes());
        return false;
      },
      milliseconds(1000));
  // Each connection may have one part of its input that is not counted yet.
  BOOST_TEST(most <= 800'000U + kCrowd * 1024);
  BOOST_TEST(test.exchanges.size() > 0U);
  const auto refused = std::ranges::count_if(crowd, [](const auto& client) {
    return HasStatus(client->received(), "503");
  });
  // Each first request is served or refused.
  BOOST_TEST(test.exchanges.size() + static_cast<std::size_t>(refused) ==
             kCrowd);
  for (const auto& exchange : test.exchanges) {
    BOOST_TEST(!exchange->closed());
  }
}

// Load: bodies for which there is no room while they arrive. The callers read
// nothing before they have sent all.
BOOST_AUTO_TEST_CASE(a_caller_may_send_the_rest_of_a_body_that_is_refused) {
  HttpServerLimits limits;
  limits.max_body_bytes = 2'000'000;
  limits.max_held_bytes = 8'000'000;
  TestServer test(limits);
  constexpr std::size_t kCrowd = 8;
  const std::string request = PostOf(2'000'000, 2'000'000);
  std::vector<std::unique_ptr<PlainCaller>> crowd;
  std::vector<std::size_t> sent(kCrowd, 0);
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.push_back(std::make_unique<PlainCaller>(test.endpoint));
  }
  int broken = 0;
  const auto send_up_to = [&](std::size_t end) {
    for (std::size_t i = 0; i < kCrowd; ++i) {
      const ssize_t length =
          sent[i] < end ? crowd[i]->SendSome(std::string_view(request).substr(
                              sent[i], end - sent[i]))
                        : 0;
      broken += length < 0 ? 1 : 0;
      sent[i] += static_cast<std::size_t>(std::max<ssize_t>(length, 0));
    }
    return broken > 0 || std::ranges::all_of(sent, [&](std::size_t bytes) {
             return bytes >= end;
           });
  };
  for (std::size_t end = 1'100'000; end <= 2'000'000; end += 150'000) {
    BOOST_TEST(
        test.loop.RunUntil([&] { return send_up_to(end); }, kTestTimeout));
    test.loop.RunUntil([] { return false; }, milliseconds(300));
  }
  BOOST_TEST(test.loop.RunUntil([&] { return send_up_to(request.size()); },
                                kTestTimeout));
  BOOST_TEST(broken == 0);
  const auto answered = [&] {
    return test.exchanges.size() +
           static_cast<std::size_t>(
               std::ranges::count_if(crowd, [](const auto& caller) {
                 return HasStatus(caller->Received(), "503");
               }));
  };
  BOOST_TEST(test.loop.RunUntil([&] { return answered() == kCrowd; },
                                milliseconds(2000)));
  BOOST_TEST(test.exchanges.size() < kCrowd);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_arrives_in_parts_is_charged_to_its_organisation) {
  TestServer test(SmallLimits());
  int asked = 0;
  test.server.SetOrganisationSource([&](const HttpHeaders& headers) {
    ++asked;
    return std::string(headers.Get("Key"));
  });
  const std::string head = "POST / HTTP/1.1\r\nContent-Length: 200000\r\nKey: ";
  // Six requests of one organisation, and a larger one of another.
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 6; ++i) {
    crowd.push_back(std::make_unique<RawClient>(
        test.loop, test.endpoint,
        head + "many\r\n\r\n" + std::string(90'000, 'x')));
  }
  RawClient other(test.loop, test.endpoint,
                  head + "other\r\n\r\n" + std::string(150'000, 'x'));
  BOOST_REQUIRE(test.loop.RunUntil([&] { return asked == 7; }, kTestTimeout));
  crowd.push_back(std::make_unique<RawClient>(
      test.loop, test.endpoint,
      head + "many\r\n\r\n" + std::string(190'000, 'x')));
  BOOST_TEST(test.loop.RunUntil(
      [&] {
        return std::ranges::any_of(
            crowd, [](const auto& client) { return client->closed(); });
      },
      kTestTimeout));
  BOOST_TEST(other.received() == "");
}

BOOST_AUTO_TEST_CASE(an_idle_connection_gives_way_to_a_new_one) {
  HttpServerLimits limits;
  limits.max_connections = 4;
  TestServer test(limits);
  std::vector<std::unique_ptr<RawClient>> idle;
  for (int i = 0; i < 20; ++i) {
    idle.push_back(
        std::make_unique<RawClient>(test.loop, test.endpoint, "POST "));
  }
  const RawClient ordinary(test.loop, test.endpoint, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  BOOST_TEST(test.server.connection_count() <= 4U);
  test.exchanges[0]->Respond(200, {}, "done");
  BOOST_TEST(test.loop.RunUntil(
      [&] { return ordinary.received().ends_with("done"); }, kTestTimeout));
}

// The caller reads nothing, so the responses pile up.
BOOST_AUTO_TEST_CASE(pipelined_requests_wait_until_responses_are_written) {
  EventLoop loop;
  int served = 0;
  HttpServer server(loop, {},
                    [&](const std::shared_ptr<HttpExchange>& exchange) {
                      ++served;
                      exchange->Respond(200, {}, std::string(1 << 20, 'x'));
                    });
  BOOST_REQUIRE(server.Listen({"127.0.0.1", 0}));
  std::string requests;
  for (int i = 0; i < 1000; ++i) {
    requests += "GET / HTTP/1.1\r\n\r\n";
  }
  RawClient client(loop, {"127.0.0.1", server.port()}, requests);
  client.SetPaused(true);
  loop.RunUntil([&] { return server.held_bytes() > (8U << 20); },
                milliseconds(300));
  BOOST_TEST(served > 0);
  BOOST_TEST(server.held_bytes() <= (2U << 20));
  client.SetPaused(false);
  BOOST_TEST(loop.RunUntil([&] { return served == 1000; }, kTestTimeout));
}

BOOST_AUTO_TEST_CASE(a_request_sent_in_time_is_answered_after_a_long_pause) {
  KeptConnection test(WithIdleTimeout(milliseconds(1000)));
  test.RestAndSendIntoPause(milliseconds(600), milliseconds(600));
  BOOST_TEST(test.IsAnswered());
}

BOOST_AUTO_TEST_CASE(a_request_sent_before_a_planned_stop_is_answered) {
  KeptConnection test(WithIdleTimeout(std::chrono::seconds(60)));
  test.after_pause = [&] { test.server.CloseAfterResponses(); };
  test.RestAndSendIntoPause(milliseconds(10), milliseconds(60));
  BOOST_TEST(test.IsAnswered());
  BOOST_TEST(test.caller->Received().find("Connection: close") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_shorter_idle_limit_spares_connections_that_are_idle) {
  KeptConnection test(WithIdleTimeout(milliseconds(2000)));
  test.loop.RunUntil([] { return false; }, milliseconds(400));
  test.server.SetLimits(WithIdleTimeout(milliseconds(300)));
  test.loop.RunUntil([] { return false; }, milliseconds(1000));
  BOOST_TEST(test.AsksAndIsAnswered());
  // The next pause is judged by the new limit.
  BOOST_TEST(test.loop.RunUntil(
      [&] {
        static_cast<void>(test.caller->Received());
        return test.caller->closed();
      },
      milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(a_request_that_has_arrived_keeps_its_connection_open) {
  HttpServerLimits limits;
  limits.max_connections = 2;
  KeptConnection test(limits);
  std::unique_ptr<PlainCaller> other;
  test.after_pause = [&] {
    other = std::make_unique<PlainCaller>(
        Endpoint{"127.0.0.1", test.server.port()});
  };
  test.RestAndSendIntoPause(milliseconds(10), milliseconds(60));
  BOOST_TEST(test.IsAnswered());
}

BOOST_AUTO_TEST_CASE(a_connection_with_an_unread_request_is_busy) {
  KeptConnection test({});
  bool was_busy = false;
  test.after_pause = [&] {
    was_busy = test.server.busy_connection_count() == 1;
  };
  test.RestAndSendIntoPause(milliseconds(10), milliseconds(60));
  BOOST_TEST(was_busy);
  BOOST_TEST(test.IsAnswered());
}

BOOST_AUTO_TEST_CASE(a_header_that_arrived_in_time_is_not_timed_out) {
  HttpServerLimits limits;
  limits.header_timeout = milliseconds(800);
  KeptConnection test(limits);
  test.caller->Send(kGet.substr(0, 10));
  test.loop.RunUntil([] { return false; }, milliseconds(300));
  const auto hold = test.loop.After(Duration::zero(), [&] {
    test.caller->Send(kGet.substr(10));
    HoldUp(milliseconds(900));
  });
  BOOST_TEST(test.IsAnswered());
}

BOOST_AUTO_TEST_CASE(a_response_that_took_longer_than_the_idle_limit_is_sent) {
  for (const bool after_input : {false, true}) {
    TestServer test(WithIdleTimeout(milliseconds(100)));
    const RawClient client(test.loop, test.endpoint, kGet);
    const auto respond = [&] {
      test.exchanges.at(0)->Respond(200, {}, "done");
    };
    std::unique_ptr<Timer> next;
    // All of these are due at once, with the server's check after them.
    const auto hold =
        test.loop.After(milliseconds(400), [] { HoldUp(milliseconds(300)); });
    const auto start = test.loop.After(milliseconds(410), [&] {
      if (after_input) {
        next = test.loop.AfterInput(respond);
      } else {
        respond();
      }
    });
    test.loop.RunUntil([&] { return client.closed(); }, milliseconds(780));
    BOOST_TEST(client.received().ends_with("done"), after_input);
  }
}

BOOST_AUTO_TEST_CASE(a_response_that_a_slow_caller_reads_is_not_cut) {
  TestServer test(WithIdleTimeout(milliseconds(600)));
  PlainCaller caller(test.endpoint);
  caller.Send(kGet);
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  constexpr std::size_t kBodyBytes = 32 << 20;
  constexpr std::size_t kBytesAtOnce = 4 << 20;
  test.exchanges[0]->Respond(200, {}, std::string(kBodyBytes, 'x'));
  std::size_t received = 0;
  const auto reader = test.loop.Every(
      milliseconds(200), [&] { received += caller.Skip(kBytesAtOnce); });
  test.loop.RunUntil([&] { return received > kBodyBytes; }, 3 * kTestTimeout);
  BOOST_TEST(received > kBodyBytes);
}

// HTTP/1.0 has no chunks: the end of the connection ends a streamed response.
BOOST_AUTO_TEST_CASE(a_streamed_response_is_complete_for_an_http_1_0_caller) {
  for (const bool is_received : {false, true}) {
    for (const std::size_t size : {std::size_t{4}, kLongBody}) {
      UnframedStream test(std::string(size, 'x'));
      if (is_received) {
        test.WaitForBody();
      }
      test.exchange->EndStream();
      BOOST_TEST(test.WaitForEnd() == "orderly");
      BOOST_TEST(test.HasWholeBody());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_response_that_is_cut_is_reset_for_an_http_1_0_caller) {
  UnframedStream aborted("part");
  aborted.WaitForBody();
  aborted.exchange->Abort();
  BOOST_TEST(aborted.WaitForEnd() == "reset");

  UnframedStream dropped("part");
  dropped.WaitForBody();
  dropped.exchange = nullptr;
  BOOST_TEST(dropped.WaitForEnd() == "reset");

  UnframedStream stopped("part");
  stopped.WaitForBody();
  stopped.server = nullptr;
  BOOST_TEST(stopped.WaitForEnd() == "reset");

  // The caller does not read, also after the end of the response.
  for (const bool is_ended : {false, true}) {
    UnframedStream idle(std::string(kLongBody, 'x'),
                        WithIdleTimeout(milliseconds(300)));
    if (is_ended) {
      idle.exchange->EndStream();
    }
    BOOST_REQUIRE(idle.loop.RunUntil(
        [&] { return idle.server->connection_count() == 0; }, kTestTimeout));
    BOOST_TEST(idle.WaitForEnd() == "reset");
    BOOST_TEST(!idle.HasWholeBody());
  }
}

// Nothing is left to be written as the response ends.
BOOST_AUTO_TEST_CASE(a_streamed_response_to_head_ends_with_its_connection) {
  TestServer test;
  PlainCaller caller(test.endpoint);
  caller.Send("HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  test.exchanges.front()->StartStream(200, {});
  BOOST_REQUIRE(test.loop.RunUntil(
      [&] { return caller.Received().ends_with("\r\n\r\n"); }, kTestTimeout));
  test.exchanges.front()->EndStream();
  BOOST_TEST(
      test.loop.RunUntil([&] { return caller.HasClosed(); }, kTestTimeout));
  BOOST_TEST(!caller.was_reset());
}

BOOST_AUTO_TEST_CASE(a_body_in_progress_keeps_the_limit_that_it_began_under) {
  for (const bool is_chunked : {false, true}) {
    const ChangedLimits limits = MakeChangedLimits();
    KeptConnection test(limits.larger);
    const std::string body(1000, 'x');
    test.caller->Send(is_chunked
                          ? "POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n7d0\r\n" +
                                body
                          : PostOf(2000, 1000));
    test.loop.RunUntil([&] { return test.server.busy_connection_count() == 1; },
                       kTestTimeout);
    test.server.SetLimits(limits.smaller);
    test.caller->Send(is_chunked ? body + "\r\n0\r\n\r\n" : body);
    BOOST_TEST(test.IsAnswered());
  }
}

BOOST_AUTO_TEST_CASE(
    a_header_in_progress_keeps_the_limits_that_it_began_under) {
  const ChangedLimits limits = MakeChangedLimits();
  KeptConnection test(limits.larger);
  const std::string request = GetWithHeader(1000);
  test.caller->Send(request.substr(0, 100));
  test.loop.RunUntil([&] { return test.server.busy_connection_count() == 1; },
                     kTestTimeout);
  test.server.SetLimits(limits.smaller);
  // Longer than the new limit, and than the period of the checks.
  test.loop.RunUntil([] { return false; }, milliseconds(1200));
  test.caller->Send(request.substr(100));
  BOOST_TEST(test.IsAnswered());
  // The next request is judged by the new limits.
  test.caller->Send(request);
  BOOST_TEST(test.loop.RunUntil(
      [&] {
        return test.caller->Received().find("HTTP/1.1 431 ") !=
               std::string::npos;
      },
      kTestTimeout));
}

BOOST_AUTO_TEST_CASE(
    an_unread_request_keeps_the_limits_that_it_was_sent_under) {
  const ChangedLimits limits = MakeChangedLimits();
  KeptConnection test(limits.larger);
  const auto hold = test.loop.After(Duration::zero(), [&] {
    test.caller->Send(GetWithHeader(1000));
    HoldUp(milliseconds(20));
    test.server.SetLimits(limits.smaller);
  });
  BOOST_TEST(test.IsAnswered());
}

BOOST_AUTO_TEST_CASE(larger_limits_hold_on_connections_that_are_open) {
  const ChangedLimits limits = MakeChangedLimits();
  KeptConnection test(limits.smaller);
  test.server.SetLimits(limits.larger);
  test.caller->Send(GetWithHeader(1000));
  BOOST_TEST(test.IsAnswered());
  test.caller->Send(PostOf(1000, 1000));
  BOOST_TEST(test.IsAnswered());
}

BOOST_AUTO_TEST_CASE(larger_limits_hold_for_a_request_in_progress) {
  const ChangedLimits limits = MakeChangedLimits();
  KeptConnection test(limits.smaller);
  const std::string request = GetWithHeader(1000);
  test.caller->Send(request.substr(0, 100));
  test.loop.RunUntil([&] { return test.server.busy_connection_count() == 1; },
                     kTestTimeout);
  test.server.SetLimits(limits.larger);
  test.caller->Send(request.substr(100));
  BOOST_TEST(test.IsAnswered());
}

BOOST_AUTO_TEST_CASE(
    a_connection_that_rests_at_a_planned_stop_serves_one_more_request) {
  KeptConnection test({});
  test.server.CloseAfterResponses();
  test.loop.RunUntil([] { return false; }, milliseconds(100));
  BOOST_TEST(test.AsksAndIsAnswered());
  BOOST_TEST(test.caller->Received().find("Connection: close") !=
             std::string::npos);
  BOOST_TEST(test.loop.RunUntil(
      [&] {
        static_cast<void>(test.caller->Received());
        return test.caller->closed();
      },
      kTestTimeout));
}

BOOST_AUTO_TEST_CASE(
    a_response_that_began_before_a_planned_stop_keeps_its_connection) {
  TestServer test;
  RawClient client(test.loop, test.endpoint, kGet);
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  // Its head says nothing of a close.
  test.exchanges[0]->StartStream(200, {});
  test.server.CloseAfterResponses();
  test.exchanges[0]->EndStream();
  client.Send(kGet);
  BOOST_REQUIRE(test.loop.RunUntil([&] { return test.exchanges.size() == 2; },
                                   kTestTimeout));
  test.exchanges[1]->Respond(200, {}, "done");
  BOOST_TEST(test.loop.RunUntil([&] { return client.closed(); }, kTestTimeout));
  BOOST_TEST(client.received().ends_with("done"));
  BOOST_TEST(client.received().find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(only_connections_without_a_request_are_closed_as_idle) {
  KeptConnection test({});
  PlainCaller idle({"127.0.0.1", test.server.port()});
  test.loop.RunUntil([&] { return test.server.connection_count() == 2; },
                     kTestTimeout);
  test.after_pause = [&] {
    test.server.CloseAfterResponses();
    test.server.CloseIdleConnections(Duration::zero());
  };
  test.RestAndSendIntoPause(milliseconds(10), milliseconds(60));
  BOOST_TEST(test.IsAnswered());
  BOOST_TEST(idle.Received().empty());
  BOOST_TEST(idle.closed());
}

BOOST_AUTO_TEST_CASE(
    a_planned_stop_waits_for_the_first_request_of_a_connection) {
  TestServer test;
  PlainCaller caller(test.endpoint);
  test.loop.RunUntil([&] { return test.server.connection_count() == 1; },
                     kTestTimeout);
  test.server.CloseAfterResponses();
  test.server.CloseIdleConnections(std::chrono::seconds(5));
  caller.Send(kGet);
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
  test.exchanges[0]->Respond(200, {}, "done");
  BOOST_TEST(test.loop.RunUntil(
      [&] { return caller.Received().ends_with("done"); }, kTestTimeout));
}

BOOST_AUTO_TEST_CASE(
    a_request_in_progress_keeps_the_idle_limit_that_it_began_under) {
  KeptConnection test(WithIdleTimeout(milliseconds(3000)));
  test.caller->Send(kGet.substr(0, 5));
  test.loop.RunUntil([&] { return test.server.busy_connection_count() == 1; },
                     kTestTimeout);
  test.server.SetLimits(WithIdleTimeout(milliseconds(200)));
  test.caller->Send(kGet.substr(5, 5));
  test.loop.RunUntil([] { return false; }, milliseconds(1200));
  test.caller->Send(kGet.substr(10));
  BOOST_TEST(test.IsAnswered(), test.caller->Received());
}

BOOST_AUTO_TEST_CASE(connections_that_wait_to_be_accepted_are_served) {
  TestServer test;
  const PlainCaller caller(test.endpoint);
  caller.Send(kGet);
  test.server.StopListening();
  BOOST_TEST(test.server.busy_connection_count() == 1U);
  BOOST_REQUIRE(test.loop.RunUntil([&] { return !test.exchanges.empty(); },
                                   kTestTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
