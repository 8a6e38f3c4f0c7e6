// The HTTP server against callers that frame, stall and leave as they like.
#include "bambooquay/runtime/http_server.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/scripted_peer.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using testing::RawClient;

constexpr Duration kLimit = std::chrono::seconds(10);

/// A server that keeps the exchanges it gets, on a port of its own.
struct Served {
  explicit Served(const HttpServerLimits& limits = {})
      : server(loop, limits, [this](std::shared_ptr<HttpExchange> exchange) {
          exchanges.push_back(std::move(exchange));
        }) {
    BOOST_REQUIRE(server.Listen({"127.0.0.1", 0}));
    endpoint = {"127.0.0.1", server.port()};
  }

  /// Sends `bytes` and returns all that comes back until the server closes.
  std::string Refusal(const std::string& bytes) {
    RawClient client(loop, endpoint, bytes);
    BOOST_TEST(loop.RunUntil([&] { return client.closed(); }, kLimit));
    BOOST_TEST(exchanges.empty());
    return client.received();
  }

  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server;
  Endpoint endpoint;
};

bool HasStatus(const std::string& reply, const std::string& status) {
  return reply.starts_with("HTTP/1.1 " + status + " ");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server)

BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused) {
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
    Served served;
    BOOST_TEST(HasStatus(served.Refusal(request), "400"), request);
  }
}

BOOST_AUTO_TEST_CASE(limits_on_header_and_body_hold) {
  HttpServerLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  Served served(limits);
  BOOST_TEST(HasStatus(served.Refusal("GET / HTTP/1.1\r\nX: " +
                                      std::string(300, 'a') + "\r\n\r\n"),
                       "431"));
  BOOST_TEST(HasStatus(
      served.Refusal("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"), "413"));
  BOOST_TEST(HasStatus(
      served.Refusal("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "b\r\nhello world\r\n0\r\n\r\n"),
      "413"));
}

BOOST_AUTO_TEST_CASE(a_header_that_never_ends_times_out) {
  HttpServerLimits limits;
  limits.header_timeout = milliseconds(100);
  Served served(limits);
  BOOST_TEST(HasStatus(served.Refusal("GET / HTTP/1.1\r\nX: "), "408"));
}

BOOST_AUTO_TEST_CASE(a_chunked_body_arrives_whole) {
  Served served;
  RawClient client(served.loop, served.endpoint,
                   "POST /p?q=1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  BOOST_REQUIRE(
      served.loop.RunUntil([&] { return !served.exchanges.empty(); }, kLimit));
  BOOST_TEST(served.exchanges[0]->request().body == "abcde");
  BOOST_TEST(served.exchanges[0]->request().target == "/p?q=1");
}

BOOST_AUTO_TEST_CASE(requests_on_one_connection_are_answered_in_order) {
  Served served;
  RawClient client(served.loop, served.endpoint,
                   "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(
      served.loop.RunUntil([&] { return !served.exchanges.empty(); }, kLimit));
  // The second one waits until the first has its answer.
  BOOST_TEST(served.exchanges.size() == 1U);
  served.exchanges[0]->Reply(200, {}, "one");
  BOOST_REQUIRE(served.loop.RunUntil(
      [&] { return served.exchanges.size() == 2; }, kLimit));
  BOOST_TEST(served.exchanges[1]->request().target == "/2");
  served.exchanges[1]->Reply(200, {}, "two");
  BOOST_TEST(served.loop.RunUntil(
      [&] { return client.received().ends_with("two"); }, kLimit));
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_noticed_before_the_reply) {
  Served served;
  auto client = std::make_unique<RawClient>(served.loop, served.endpoint,
                                            "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(
      served.loop.RunUntil([&] { return !served.exchanges.empty(); }, kLimit));
  bool gone = false;
  served.exchanges[0]->OnCallerGone([&] { gone = true; });
  client = nullptr;
  BOOST_TEST(served.loop.RunUntil([&] { return gone; }, kLimit));
  BOOST_TEST(served.exchanges[0]->closed());
}

BOOST_AUTO_TEST_CASE(a_cut_stream_does_not_look_complete) {
  Served served;
  RawClient client(served.loop, served.endpoint, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(
      served.loop.RunUntil([&] { return !served.exchanges.empty(); }, kLimit));
  served.exchanges[0]->StartStream(200, {});
  served.exchanges[0]->SendPart("abc", [&] { served.exchanges[0]->Abort(); });
  BOOST_TEST(served.loop.RunUntil([&] { return client.closed(); }, kLimit));
  BOOST_TEST(client.received().ends_with("3\r\nabc\r\n"));
}

// A process that stops must know of replies that have not left: one that was
// only written to a buffer is lost with it.
BOOST_AUTO_TEST_CASE(a_reply_that_has_not_left_counts_as_busy) {
  Served served;
  RawClient client(served.loop, served.endpoint, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(
      served.loop.RunUntil([&] { return !served.exchanges.empty(); }, kLimit));
  served.exchanges[0]->Reply(200, {}, std::string(8 << 20, 'x'));
  BOOST_TEST(served.server.busy_count() == 1U);
  BOOST_TEST(served.loop.RunUntil(
      [&] { return served.server.busy_count() == 0; }, kLimit));
  BOOST_TEST(served.loop.RunUntil(
      [&] { return client.received().size() > (8U << 20); }, kLimit));
}

BOOST_AUTO_TEST_CASE(a_closing_server_answers_what_it_has_and_says_so) {
  Served served;
  RawClient busy(served.loop, served.endpoint, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(
      served.loop.RunUntil([&] { return !served.exchanges.empty(); }, kLimit));
  served.server.CloseAfterReplies();
  served.exchanges[0]->Reply(200, {}, "done");
  BOOST_TEST(served.loop.RunUntil([&] { return busy.closed(); }, kLimit));
  BOOST_TEST(busy.received().find("Connection: close") != std::string::npos);
  BOOST_TEST(busy.received().ends_with("done"));
}

// However a request is cut into packets, the same request arrives.
RC_BOOST_PROP(requests_do_not_depend_on_how_bytes_arrive, ()) {
  const std::string bytes =
      "POST /a/b HTTP/1.1\r\nHost: x.example\r\nX-Two:  v \r\n"
      "Content-Length: 5\r\n\r\nhello";
  const auto cut = *rc::gen::inRange<std::size_t>(1, bytes.size());
  Served served;
  RawClient client(served.loop, served.endpoint, bytes.substr(0, cut));
  served.loop.RunUntil([&] { return served.server.connection_count() == 1; },
                       kLimit);
  client.Send(bytes.substr(cut));
  RC_ASSERT(
      served.loop.RunUntil([&] { return !served.exchanges.empty(); }, kLimit));
  const HttpRequest& request = served.exchanges[0]->request();
  RC_ASSERT(request.target == "/a/b");
  RC_ASSERT(request.headers.Get("host") == "x.example");
  RC_ASSERT(request.body == "hello");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
