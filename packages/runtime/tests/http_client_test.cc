// The HTTP client against servers that misbehave.
#include "bambooquay/runtime/http_client.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "support/scripted_peer.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ScriptedReply;
using testing::ScriptedServer;

constexpr Duration kLimit = std::chrono::seconds(10);

/// Keeps a response; takes only those that name its id, if it has one.
struct Kept final : HttpObserver {
  bool Accepts(const HttpHeaders& headers) override {
    return id.empty() || headers.Get("Id") == id;
  }
  void OnHead(int code, const HttpHeaders& /*headers*/) override {
    status = code;
  }
  void OnPart(std::string_view bytes) override { body += bytes; }
  void OnEnd(HttpEnding how) override { ending = how; }

  std::string id;
  int status = 0;
  std::string body;
  std::optional<HttpEnding> ending;
};

std::string Ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One client and one scripted server.
struct Pair {
  explicit Pair(ScriptedServer::Script script)
      : server(loop, std::move(script)),
        client(loop, {.connect_timeout = milliseconds(500)}) {}

  HttpEnding Run(Kept& kept, Duration idle_timeout = kLimit,
                 const std::string& body = "") {
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = "/";
    request.body = body;
    const auto call = client.Start(server.endpoint(), request, idle_timeout,
                                   ConnectionReuse::kAllowed, kept);
    BOOST_TEST(
        loop.RunUntil([&] { return kept.ending.has_value(); }, kLimit * 2));
    return kept.ending.value_or(HttpEnding::kTimedOut);
  }

  EventLoop loop;
  ScriptedServer server;
  HttpClient client;
};

ScriptedServer::Script Always(
    std::string bytes, ScriptedReply::Then then = ScriptedReply::Then::kKeep) {
  return [bytes = std::move(bytes), then](const std::string& /*request*/) {
    return ScriptedReply{bytes, then};
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client)

BOOST_AUTO_TEST_CASE(calls_share_a_connection) {
  Pair pair(Always(Ok("a")));
  for (int i = 0; i < 5; ++i) {
    Kept kept;
    BOOST_TEST((pair.Run(kept) == HttpEnding::kComplete));
    BOOST_TEST(kept.body == "a");
  }
  BOOST_TEST(pair.server.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(a_connection_that_is_to_close_is_not_used_again) {
  Pair pair(Always(Ok("a", "Connection: close\r\n")));
  Kept first;
  Kept second;
  pair.Run(first);
  pair.Run(second);
  BOOST_TEST(pair.server.connections() == 2U);
}

BOOST_AUTO_TEST_CASE(extra_bytes_after_a_response_reach_no_later_call) {
  Pair pair(Always(Ok("a") + Ok("stray")));
  for (int i = 0; i < 3; ++i) {
    Kept kept;
    BOOST_TEST((pair.Run(kept) == HttpEnding::kComplete));
    BOOST_TEST(kept.body == "a");
  }
  BOOST_TEST(pair.server.connections() == 3U);
}

BOOST_AUTO_TEST_CASE(bytes_on_an_idle_connection_drop_it) {
  Pair pair(Always(Ok("a")));
  Kept first;
  pair.Run(first);
  pair.server.SendStray(Ok("stray"));
  BOOST_TEST(pair.loop.RunUntil(
      [&] { return pair.server.closed_by_peer() == 1; }, kLimit));
  Kept second;
  pair.Run(second);
  BOOST_TEST(second.body == "a");
}

BOOST_AUTO_TEST_CASE(a_late_response_to_an_earlier_call_is_skipped) {
  Pair pair(Always(Ok("old", "Id: 1\r\n") + Ok("new", "Id: 2\r\n")));
  Kept kept;
  kept.id = "2";
  BOOST_TEST((pair.Run(kept) == HttpEnding::kComplete));
  BOOST_TEST(kept.body == "new");
}

BOOST_AUTO_TEST_CASE(interim_responses_are_passed_over) {
  Pair pair(
      Always("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
             "Link: x\r\n\r\n" +
             Ok("final")));
  Kept kept;
  BOOST_TEST((pair.Run(kept) == HttpEnding::kComplete));
  BOOST_TEST(kept.status == 200);
  BOOST_TEST(kept.body == "final");
}

BOOST_AUTO_TEST_CASE(a_response_without_length_ends_with_its_connection) {
  Pair pair(Always("HTTP/1.1 200 OK\r\n\r\nabc", ScriptedReply::Then::kClose));
  Kept kept;
  BOOST_TEST((pair.Run(kept) == HttpEnding::kComplete));
  BOOST_TEST(kept.body == "abc");
}

BOOST_AUTO_TEST_CASE(a_reset_response_without_length_is_broken) {
  Pair pair(Always("HTTP/1.1 200 OK\r\n\r\nabc", ScriptedReply::Then::kReset));
  Kept kept;
  BOOST_TEST((pair.Run(kept) == HttpEnding::kBroken));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_http_are_broken) {
  Pair pair(Always("SSH-2.0-x\r\n"));
  Kept kept;
  BOOST_TEST((pair.Run(kept) == HttpEnding::kBroken));
  BOOST_TEST(kept.status == 0);
}

BOOST_AUTO_TEST_CASE(two_lengths_are_broken) {
  Pair pair(
      Always("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
             "Content-Length: 2\r\n\r\nab"));
  Kept kept;
  BOOST_TEST((pair.Run(kept) == HttpEnding::kBroken));
}

BOOST_AUTO_TEST_CASE(a_reset_of_a_reused_connection_is_noticed) {
  int count = 0;
  Pair pair([&](const std::string& /*request*/) {
    return ++count == 1 ? ScriptedReply{Ok("a"), ScriptedReply::Then::kKeep}
                        : ScriptedReply{"", ScriptedReply::Then::kReset};
  });
  Kept first;
  pair.Run(first);
  Kept second;
  BOOST_TEST((pair.Run(second) == HttpEnding::kBroken));
}

// A call may wait long for its answer; its connection may go meanwhile.
BOOST_AUTO_TEST_CASE(a_reset_while_a_call_waits_is_noticed) {
  for (const bool reused : {false, true}) {
    int count = 0;
    Pair pair([&](const std::string& /*request*/) {
      return ScriptedReply{reused && ++count == 1 ? Ok("a") : "",
                           ScriptedReply::Then::kKeep};
    });
    if (reused) {
      Kept first;
      pair.Run(first);
    }
    Kept waiting;
    const auto call = pair.client.Start(pair.server.endpoint(), {}, kLimit,
                                        ConnectionReuse::kAllowed, waiting);
    const std::size_t expected = reused ? 2 : 1;
    BOOST_REQUIRE(pair.loop.RunUntil(
        [&] { return pair.server.requests().size() == expected; }, kLimit));
    pair.server.ResetNewest();
    BOOST_TEST(pair.loop.RunUntil([&] { return waiting.ending.has_value(); },
                                  seconds(2)));
  }
}

BOOST_AUTO_TEST_CASE(silence_times_out) {
  Pair pair(Always(""));
  Kept kept;
  BOOST_TEST((pair.Run(kept, milliseconds(100)) == HttpEnding::kTimedOut));
}

BOOST_AUTO_TEST_CASE(no_listener_means_that_nothing_was_sent) {
  EventLoop loop;
  HttpClient client(loop, {});
  Endpoint endpoint;
  { endpoint = ScriptedServer(loop, Always("")).endpoint(); }
  Kept kept;
  const auto call =
      client.Start(endpoint, {}, kLimit, ConnectionReuse::kAllowed, kept);
  BOOST_TEST(loop.RunUntil([&] { return kept.ending.has_value(); }, kLimit));
  BOOST_TEST((kept.ending == HttpEnding::kNotSent));
}

BOOST_AUTO_TEST_CASE(an_answer_before_a_long_body_is_read_is_delivered) {
  Pair pair(Always(Ok("early")));
  Kept kept;
  BOOST_TEST((pair.Run(kept, kLimit, std::string(4 << 20, 'x')) ==
              HttpEnding::kComplete));
  BOOST_TEST(kept.body == "early");
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_closes_its_connection) {
  Pair pair(Always(""));
  Kept kept;
  auto call = pair.client.Start(pair.server.endpoint(), {}, kLimit,
                                ConnectionReuse::kAllowed, kept);
  BOOST_REQUIRE(pair.loop.RunUntil(
      [&] { return pair.server.requests().size() == 1; }, kLimit));
  call = nullptr;
  BOOST_TEST(pair.loop.RunUntil(
      [&] { return pair.server.closed_by_peer() == 1; }, kLimit));
  BOOST_TEST(!kept.ending.has_value());
}

// A response cut at any byte is never taken for a whole one.
RC_BOOST_PROP(a_response_cut_at_any_byte_is_broken, ()) {
  const bool chunked = *rc::gen::arbitrary<bool>();
  const std::string whole =
      chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
              : Ok("abcdefg");
  const auto cut = *rc::gen::inRange<std::size_t>(1, whole.size());
  Pair pair(Always(whole.substr(0, cut), ScriptedReply::Then::kClose));
  Kept kept;
  RC_ASSERT(pair.Run(kept) == HttpEnding::kBroken);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
