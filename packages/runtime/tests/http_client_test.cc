// Tests of the HTTP client against servers that misbehave.
#include "bambooquay/runtime/http_client.h"

#include <netinet/in.h>
#include <rapidcheck/boost_test.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "support/plain_server.h"
#include "support/scripted_peer.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HoldUp;
using testing::PlainServer;
using testing::ScriptedResponse;
using testing::ScriptedServer;

constexpr Duration kTestTimeout = std::chrono::seconds(10);

/// Records a response. If `id` is set, accepts only responses with this `Id`
/// header.
struct RecordingObserver final : HttpObserver {
  ResponseMatch Match(const HttpHeaders& headers) override {
    const std::string_view response_id = headers.Get("Id");
    if (id.empty() || response_id == id) {
      return ResponseMatch::kOwn;
    }
    return response_id.empty() ? ResponseMatch::kUnidentified
                               : ResponseMatch::kOther;
  }
  void OnHead(int code, const HttpHeaders& /*headers*/) override {
    status = code;
  }
  void OnPart(std::string_view bytes) override { body += bytes; }
  void OnEnd(HttpOutcome call_outcome) override { outcome = call_outcome; }

  std::string id;
  int status = 0;
  std::string body;
  std::optional<HttpOutcome> outcome;
};

std::string Ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @param field  with its line end, or empty.
std::string HeadOf(int status, const std::string& field) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + field + "\r\n";
}

/// A client and a scripted server on one event loop.
struct ClientAndServer {
  explicit ClientAndServer(ScriptedServer::Script script)
      : server(loop, std::move(script)),
        client(loop, {.connect_timeout = milliseconds(500)}) {}

  /// Makes one call and waits for its end.
  HttpOutcome Run(RecordingObserver& observer,
                  Duration idle_timeout = kTestTimeout,
                  const std::string& body = "") {
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = "/";
    request.body = body;
    const auto call = client.Start(server.endpoint(), request, idle_timeout,
                                   ConnectionReuse::kAllowed, observer);
    BOOST_TEST(loop.RunUntil([&] { return observer.outcome.has_value(); },
                             kTestTimeout * 2));
    return observer.outcome.value_or(HttpOutcome::kTimedOut);
  }

  EventLoop loop;
  ScriptedServer server;
  HttpClient client;
};

/// @returns a script that sends `bytes` in response to every request.
ScriptedServer::Script AlwaysRespond(
    std::string bytes, ScriptedResponse::ConnectionAction action =
                           ScriptedResponse::ConnectionAction::kKeepOpen) {
  return [bytes = std::move(bytes), action](const std::string& /*request*/) {
    return ScriptedResponse{bytes, action};
  };
}

/// Checks that `response` is not delivered, be it the first one on its
/// connection, a later one, or one behind an interim response.
void ExpectBroken(const std::string& response) {
  const auto expect_broken = [&](ClientAndServer& fixture) {
    RecordingObserver observer;
    BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken), response);
    BOOST_TEST(observer.status == 0, response);
    BOOST_TEST(observer.body.empty(), response);
    BOOST_TEST(fixture.server.connection_count() == 1U);
  };
  ClientAndServer first(AlwaysRespond(response));
  expect_broken(first);

  int request_count = 0;
  ClientAndServer later([&](const std::string& /*request*/) {
    return ScriptedResponse{request_count++ == 0 ? Ok("sound") : response};
  });
  RecordingObserver sound;
  BOOST_TEST((later.Run(sound) == HttpOutcome::kComplete));
  expect_broken(later);

  ClientAndServer behind_interim(
      AlwaysRespond("HTTP/1.1 103 Early Hints\r\n\r\n" + response));
  expect_broken(behind_interim);
}

/// @returns the body of a response whose first `size` bytes arrive before the
///   others, or nothing if the response is broken.
std::optional<std::string> ReceiveInParts(const std::string& response,
                                          std::size_t size) {
  EventLoop loop;
  PlainServer server;
  HttpClient client(loop, {});
  RecordingObserver observer;
  const auto call = client.Start(server.endpoint(), {}, kTestTimeout,
                                 ConnectionReuse::kAllowed, observer);
  BOOST_REQUIRE(
      loop.RunUntil([&] { return server.HasRequest(); }, kTestTimeout));
  server.Send(response.substr(0, size));
  bool is_handled = false;
  const auto handled = loop.AfterInput([&] { is_handled = true; });
  BOOST_REQUIRE(loop.RunUntil([&] { return is_handled; }, kTestTimeout));
  if (!observer.outcome.has_value()) {
    server.Send(response.substr(size));
  }
  BOOST_REQUIRE(loop.RunUntil([&] { return observer.outcome.has_value(); },
                              kTestTimeout));
  return observer.outcome == HttpOutcome::kComplete
             ? std::optional(observer.body)
             : std::nullopt;
}

/// An upload to a server that responds while the request is being written, and
/// then acts between two turns of the client's loop.
struct UploadCall {
  /// @param is_reused  whether the connection has carried a call before.
  explicit UploadCall(bool is_reused, Duration idle_timeout = kTestTimeout) {
    if (is_reused) {
      RecordingObserver first;
      const auto call = client.Start(server.endpoint(), {}, kTestTimeout,
                                     ConnectionReuse::kAllowed, first);
      BOOST_REQUIRE(
          loop.RunUntil([&] { return server.HasRequest(); }, kTestTimeout));
      server.Send(Ok("first"));
      BOOST_REQUIRE(loop.RunUntil([&] { return first.outcome.has_value(); },
                                  kTestTimeout));
    }
    const std::size_t received = server.Received().size();
    HttpRequest request;
    request.method = "POST";
    request.target = "/";
    request.body = std::string(kUploadBytes, 'x');
    m_call = client.Start(server.endpoint(), request, idle_timeout,
                          ConnectionReuse::kAllowed, observer);
    BOOST_REQUIRE(loop.RunUntil(
        [&] { return server.Received().size() > received; }, kTestTimeout));
    BOOST_TEST(client.opened_connection_count() == 1U);
  }

  /// Waits until the client has read the beginning of the response.
  void Respond(const std::string& head, const std::string& body) {
    server.Send(head + body);
    BOOST_REQUIRE(
        loop.RunUntil([&] { return observer.body == body; }, kTestTimeout));
  }
  HttpOutcome WaitForEnd() {
    BOOST_REQUIRE(loop.RunUntil([&] { return observer.outcome.has_value(); },
                                kTestTimeout));
    return *observer.outcome;
  }

  // More than the system's buffers hold.
  static constexpr std::size_t kUploadBytes = std::size_t{16} << 20;

  EventLoop loop;
  PlainServer server;
  HttpClient client{loop, {}};
  RecordingObserver observer;

 private:
  std::unique_ptr<HttpCall> m_call;
};

const std::string kUnframedHeads[] = {"HTTP/1.1 200 OK\r\n\r\n",
                                      "HTTP/1.0 200 OK\r\n\r\n"};

/// A listening socket that accepts nothing by itself, as that of a process that
/// stands still.
class StandingServer {
 public:
  StandingServer() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address),
                       sizeof(address)) == 0);
    BOOST_REQUIRE(listen(m_listener, 1) == 0);
    socklen_t length = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
  }
  StandingServer(const StandingServer&) = delete;
  StandingServer& operator=(const StandingServer&) = delete;
  ~StandingServer() { close(m_listener); }

  [[nodiscard]] const Endpoint& endpoint() const { return m_endpoint; }
  /// Accepts a connection and reads from it until its end.
  /// @returns whether it ended with a reset.
  [[nodiscard]] bool ReadUntilReset() const {
    const int connection = accept(m_listener, nullptr, nullptr);
    const timeval limit{5, 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    do {
      size = recv(connection, buffer.data(), buffer.size(), 0);
    } while (size > 0);
    const bool is_reset = size < 0 && errno == ECONNRESET;
    close(connection);
    return is_reset;
  }

 private:
  int m_listener;
  Endpoint m_endpoint;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client)

BOOST_AUTO_TEST_CASE(successive_calls_share_a_connection) {
  ClientAndServer fixture(AlwaysRespond(Ok("a")));
  for (int i = 0; i < 5; ++i) {
    RecordingObserver observer;
    BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete));
    BOOST_TEST(observer.body == "a");
  }
  BOOST_TEST(fixture.server.connection_count() == 1U);
}

BOOST_AUTO_TEST_CASE(a_connection_with_connection_close_is_not_reused) {
  ClientAndServer fixture(AlwaysRespond(Ok("a", "Connection: close\r\n")));
  RecordingObserver first;
  RecordingObserver second;
  fixture.Run(first);
  fixture.Run(second);
  BOOST_TEST(fixture.server.connection_count() == 2U);
}

BOOST_AUTO_TEST_CASE(extra_bytes_after_a_response_do_not_reach_later_calls) {
  ClientAndServer fixture(AlwaysRespond(Ok("a") + Ok("stray")));
  for (int i = 0; i < 3; ++i) {
    RecordingObserver observer;
    BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete));
    BOOST_TEST(observer.body == "a");
  }
  BOOST_TEST(fixture.server.connection_count() == 3U);
}

BOOST_AUTO_TEST_CASE(unexpected_bytes_close_an_idle_connection) {
  ClientAndServer fixture(AlwaysRespond(Ok("a")));
  RecordingObserver first;
  fixture.Run(first);
  fixture.server.SendUnsolicited(Ok("stray"));
  BOOST_TEST(fixture.loop.RunUntil(
      [&] { return fixture.server.closed_by_peer_count() == 1; },
      kTestTimeout));
  RecordingObserver second;
  fixture.Run(second);
  BOOST_TEST(second.body == "a");
}

BOOST_AUTO_TEST_CASE(a_late_response_to_an_earlier_call_is_skipped) {
  ClientAndServer fixture(
      AlwaysRespond(Ok("old", "Id: 1\r\n") + Ok("new", "Id: 2\r\n")));
  RecordingObserver observer;
  observer.id = "2";
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete));
  BOOST_TEST(observer.body == "new");
}

// A response without an id may be a late second one to an earlier call.
BOOST_AUTO_TEST_CASE(
    an_unidentified_response_counts_only_as_the_first_on_its_connection) {
  ClientAndServer fixture(AlwaysRespond(Ok("a")));
  RecordingObserver first;
  first.id = "1";
  BOOST_TEST((fixture.Run(first) == HttpOutcome::kComplete));
  BOOST_TEST(first.body == "a");
  RecordingObserver second;
  second.id = "2";
  BOOST_TEST((fixture.Run(second) == HttpOutcome::kBroken));
  BOOST_TEST(second.status == 0);
  RecordingObserver third;
  third.id = "3";
  BOOST_TEST((fixture.Run(third) == HttpOutcome::kComplete));
  BOOST_TEST(fixture.server.connection_count() == 2U);
}

BOOST_AUTO_TEST_CASE(
    an_unidentified_response_after_a_skipped_one_breaks_the_call) {
  ClientAndServer fixture(
      AlwaysRespond(Ok("other", "Id: 7\r\n") + Ok("unidentified")));
  RecordingObserver observer;
  observer.id = "1";
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
  BOOST_TEST(observer.status == 0);
}

BOOST_AUTO_TEST_CASE(a_response_whose_head_is_cut_breaks_the_call) {
  const std::string whole = Ok("", "Id: 1\r\n");
  for (std::size_t size = 0; size < whole.size(); ++size) {
    ClientAndServer fixture(AlwaysRespond(
        whole.substr(0, size), ScriptedResponse::ConnectionAction::kClose));
    RecordingObserver observer;
    BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken), size);
    BOOST_TEST(observer.status == 0);
  }
}

BOOST_AUTO_TEST_CASE(interim_responses_are_skipped) {
  ClientAndServer fixture(
      AlwaysRespond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                    "Link: x\r\n\r\n" +
                    Ok("final")));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete));
  BOOST_TEST(observer.status == 200);
  BOOST_TEST(observer.body == "final");
}

// A length is that of a body which is not sent (RFC 9112, section 6.3).
BOOST_AUTO_TEST_CASE(a_response_that_has_no_body_ends_with_its_head) {
  for (const std::string field :
       {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
    for (const int status : {204, 304}) {
      ClientAndServer fixture(AlwaysRespond(HeadOf(status, field)));
      for (int i = 0; i < 2; ++i) {
        RecordingObserver observer;
        BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete));
        BOOST_TEST(observer.status == status);
        BOOST_TEST(observer.body.empty());
      }
      BOOST_TEST(fixture.server.connection_count() == 1U);
    }
    ClientAndServer fixture(AlwaysRespond(HeadOf(103, field) + Ok("final")));
    RecordingObserver observer;
    BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete));
    BOOST_TEST(observer.body == "final");
  }
}

BOOST_AUTO_TEST_CASE(a_body_of_an_interim_response_gets_into_no_other) {
  ExpectBroken("HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\nstray" + Ok("a"));
  ExpectBroken(
      "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nstray\r\n0\r\n\r\n" +
      Ok("a"));
}

BOOST_AUTO_TEST_CASE(
    a_response_without_length_ends_when_the_connection_closes) {
  ClientAndServer fixture(
      AlwaysRespond("HTTP/1.1 200 OK\r\n\r\nabc",
                    ScriptedResponse::ConnectionAction::kClose));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete));
  BOOST_TEST(observer.body == "abc");
}

BOOST_AUTO_TEST_CASE(a_reset_breaks_a_response_without_length) {
  ClientAndServer fixture(
      AlwaysRespond("HTTP/1.1 200 OK\r\n\r\nabc",
                    ScriptedResponse::ConnectionAction::kReset));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
}

// The write meets the reset before the read, which then finds an end of input.
BOOST_AUTO_TEST_CASE(a_reset_of_an_upload_breaks_a_response_without_length) {
  for (const std::string& head : kUnframedHeads) {
    for (const bool is_reused : {false, true}) {
      for (const bool is_abortive : {false, true}) {
        UploadCall call(is_reused);
        call.Respond(head, "part");
        if (is_abortive) {
          call.server.Reset();
        } else {
          // Part of the upload was not received.
          call.server.Close();
        }
        BOOST_TEST((call.WaitForEnd() == HttpOutcome::kBroken));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_response_and_the_reset_of_its_upload_arrive_together) {
  for (const std::string& head : kUnframedHeads) {
    for (const bool is_reused : {false, true}) {
      UploadCall call(is_reused);
      call.server.Send(head + "part");
      call.server.Reset();
      BOOST_TEST((call.WaitForEnd() == HttpOutcome::kBroken));
    }
  }
}

// After a pause of the loop, the read times out and the write fails at once.
BOOST_AUTO_TEST_CASE(a_timeout_does_not_hide_the_reset_of_an_upload) {
  for (const bool is_reused : {false, true}) {
    UploadCall call(is_reused, milliseconds(300));
    call.Respond(kUnframedHeads[0], "part");
    call.loop.RunUntil([] { return false; }, milliseconds(200));
    const std::size_t received = call.server.Received().size();
    BOOST_REQUIRE(call.loop.RunUntil(
        [&] { return call.server.Received().size() > received; },
        kTestTimeout));
    call.server.Reset();
    HoldUp(milliseconds(200));
    BOOST_TEST((call.WaitForEnd() == HttpOutcome::kBroken));
  }
}

BOOST_AUTO_TEST_CASE(an_orderly_end_completes_a_response_to_an_upload) {
  for (const std::string& head : kUnframedHeads) {
    for (const bool is_reused : {false, true}) {
      UploadCall call(is_reused);
      call.Respond(head, "whole");
      call.server.EndOutput();
      BOOST_TEST((call.WaitForEnd() == HttpOutcome::kComplete));
      BOOST_TEST(call.observer.body == "whole");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_response_that_is_not_http_is_broken) {
  ClientAndServer fixture(AlwaysRespond("SSH-2.0-x\r\n"));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
  BOOST_TEST(observer.status == 0);
}

BOOST_AUTO_TEST_CASE(a_response_with_a_malformed_status_line_is_broken) {
  for (const std::string status_line : {
           "HTTP/1.1 000 OK",
           "HTTP/1.1 099 OK",
           "HTTP/1.1 0 OK",
           "HTTP/1.1 20 OK",
           "HTTP/1.1 0200 OK",
           "HTTP/1.1 600 OK",
           "HTTP/1.1 999 OK",
           "HTTP/1.1 2000 OK",
           "HTTP/1.1 -200 OK",
           "HTTP/1.1  200 OK",
           "HTTP/1.1\t200 OK",
           "HTTP/1.1 200OK",
           "HTTP/1.1 200\tOK",
           "HTTP/1.1 OK",
           "HTTP/1.1",
           "HTTP/0.9 200 OK",
           "HTTP/2.0 200 OK",
           "HTTP/1.10 200 OK",
           "http/1.1 200 OK",
           " HTTP/1.1 200 OK",
           "\r\nHTTP/1.1 200 OK",
           "HTTP/1.1 200 O\x01K",
           "HTTP/1.1 200 O\x7fK",
           // The client never asks for another protocol.
           "HTTP/1.1 101 Switching Protocols",
       }) {
    ExpectBroken(status_line +
                 "\r\nConnection: Upgrade\r\nUpgrade: x\r\n"
                 "Content-Length: 1\r\n\r\na");
  }
}

BOOST_AUTO_TEST_CASE(a_response_with_a_malformed_field_name_is_broken) {
  using namespace std::string_literals;
  for (const std::string& field :
       {"A B: x"s, "A : x"s, "A\t: x"s, "A\0B: x"s, "A\x01: x"s, "A\x0b: x"s,
        "A\x7f: x"s, " A: x"s, "Content-Length : 0"s, "Transfer-Encoding : x"s,
        ": x"s, "A"s}) {
    for (const std::string& fields :
         {field + "\r\nX: y\r\n", "X: y\r\n" + field + "\r\n"}) {
      if (fields == "X: y\r\n A: x\r\n") {
        continue;  // A line that continues the value before it.
      }
      ExpectBroken(Ok("a", fields));
    }
  }
}

// Each response is complete but for its line ends, and arrives in two parts.
BOOST_AUTO_TEST_CASE(a_response_with_a_malformed_line_end_is_broken) {
  for (const std::string response : {
           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\rZa",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\rZ"
           "3\r\nabc\r\n0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabcde0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\rZ0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabcZ\n0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\rZabc\r\n0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n0\rZ\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n0\r\n\rZ",
       }) {
    for (std::size_t size = 1; size < response.size(); ++size) {
      BOOST_TEST(!ReceiveInParts(response, size).has_value(), response);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_response_that_arrives_in_parts_is_complete) {
  for (const std::string response : {
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na\rb",
           "HTTP/1.1 200 OK\nContent-Length: 3\n\na\rb",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "2;x=y\r\na\r\r\n1\r\nb\r\n0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\na\rb\r\n0\r\nA: b\r\n\r\n",
       }) {
    for (std::size_t size = 1; size < response.size(); ++size) {
      BOOST_TEST((ReceiveInParts(response, size) == "a\rb"), response);
    }
  }
}

BOOST_AUTO_TEST_CASE(unusual_but_valid_status_lines_are_accepted) {
  for (const auto& [status_line, status] : std::map<std::string, int>{
           {"HTTP/1.1 200 OK", 200},
           {"HTTP/1.0 200 OK", 200},
           {"HTTP/1.1 200 ", 200},
           {"HTTP/1.1 200", 200},
           {"HTTP/1.1 418 I'm a\tteapot", 418},
           {"HTTP/1.1 599 \xc3\xa9", 599},
       }) {
    ClientAndServer fixture(
        AlwaysRespond(status_line + "\r\nContent-Length: 1\r\n\r\na"));
    RecordingObserver observer;
    BOOST_TEST((fixture.Run(observer) == HttpOutcome::kComplete), status_line);
    BOOST_TEST(observer.status == status);
    BOOST_TEST(observer.body == "a");
  }
}

BOOST_AUTO_TEST_CASE(a_response_with_two_content_lengths_is_broken) {
  ClientAndServer fixture(
      AlwaysRespond("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                    "Content-Length: 2\r\n\r\nab"));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(a_reset_of_a_reused_connection_is_detected) {
  int request_count = 0;
  ClientAndServer fixture([&](const std::string& /*request*/) {
    return ++request_count == 1
               ? ScriptedResponse{Ok("a"),
                                  ScriptedResponse::ConnectionAction::kKeepOpen}
               : ScriptedResponse{"",
                                  ScriptedResponse::ConnectionAction::kReset};
  });
  RecordingObserver first;
  fixture.Run(first);
  RecordingObserver second;
  BOOST_TEST((fixture.Run(second) == HttpOutcome::kBroken));
}

// A call may wait for its response for a long time. If the connection is reset
// meanwhile, the call has to end at once and not only at the idle timeout.
BOOST_AUTO_TEST_CASE(a_reset_while_a_call_waits_is_detected) {
  for (const bool is_reused : {false, true}) {
    int request_count = 0;
    ClientAndServer fixture([&](const std::string& /*request*/) {
      return ScriptedResponse{is_reused && ++request_count == 1 ? Ok("a") : "",
                              ScriptedResponse::ConnectionAction::kKeepOpen};
    });
    if (is_reused) {
      RecordingObserver first;
      fixture.Run(first);
    }
    RecordingObserver waiting_observer;
    const auto call =
        fixture.client.Start(fixture.server.endpoint(), {}, kTestTimeout,
                             ConnectionReuse::kAllowed, waiting_observer);
    const std::size_t expected_requests = is_reused ? 2 : 1;
    BOOST_REQUIRE(fixture.loop.RunUntil(
        [&] { return fixture.server.requests().size() == expected_requests; },
        kTestTimeout));
    fixture.server.ResetNewestConnection();
    BOOST_TEST(fixture.loop.RunUntil(
        [&] { return waiting_observer.outcome.has_value(); }, seconds(2)));
  }
}

BOOST_AUTO_TEST_CASE(a_server_that_sends_nothing_times_out) {
  ClientAndServer fixture(AlwaysRespond(""));
  RecordingObserver observer;
  BOOST_TEST(
      (fixture.Run(observer, milliseconds(100)) == HttpOutcome::kTimedOut));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_means_that_the_request_was_not_sent) {
  EventLoop loop;
  HttpClient client(loop, {});
  Endpoint endpoint;
  { endpoint = ScriptedServer(loop, AlwaysRespond("")).endpoint(); }
  RecordingObserver observer;
  const auto call = client.Start(endpoint, {}, kTestTimeout,
                                 ConnectionReuse::kAllowed, observer);
  BOOST_TEST(loop.RunUntil([&] { return observer.outcome.has_value(); },
                           kTestTimeout));
  BOOST_TEST((observer.outcome == HttpOutcome::kNotSent));
}

BOOST_AUTO_TEST_CASE(
    a_response_that_precedes_the_end_of_the_request_body_is_delivered) {
  ClientAndServer fixture(AlwaysRespond(Ok("early")));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer, kTestTimeout, std::string(4 << 20, 'x')) ==
              HttpOutcome::kComplete));
  BOOST_TEST(observer.body == "early");
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_closes_its_connection) {
  ClientAndServer fixture(AlwaysRespond(""));
  RecordingObserver observer;
  auto call = fixture.client.Start(fixture.server.endpoint(), {}, kTestTimeout,
                                   ConnectionReuse::kAllowed, observer);
  BOOST_REQUIRE(fixture.loop.RunUntil(
      [&] { return fixture.server.requests().size() == 1; }, kTestTimeout));
  call = nullptr;
  BOOST_TEST(fixture.loop.RunUntil(
      [&] { return fixture.server.closed_by_peer_count() == 1; },
      kTestTimeout));
  BOOST_TEST(!observer.outcome.has_value());
}

// A response that is truncated at any byte is never reported as complete.
RC_BOOST_PROP(a_response_truncated_at_any_byte_is_broken, ()) {
  const bool chunked = *rc::gen::arbitrary<bool>();
  const std::string response =
      chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
              : Ok("abcdefg");
  const auto length = *rc::gen::inRange<std::size_t>(1, response.size());
  ClientAndServer fixture(AlwaysRespond(
      response.substr(0, length), ScriptedResponse::ConnectionAction::kClose));
  RecordingObserver observer;
  RC_ASSERT(fixture.Run(observer) == HttpOutcome::kBroken);
}

// A server in trouble sends bytes without end. Each case must end although the
// connection is never silent.
BOOST_AUTO_TEST_CASE(a_call_that_is_given_up_withdraws_its_request) {
  EventLoop loop;
  const StandingServer server;
  HttpClient client(loop, {});
  RecordingObserver observer;
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.body = std::string(4096, 'x');
  auto call = client.Start(server.endpoint(), request, kTestTimeout,
                           ConnectionReuse::kAllowed, observer);
  loop.RunUntil([] { return false; }, milliseconds(100));
  call = nullptr;
  loop.RunUntil([] { return false; }, milliseconds(50));
  BOOST_TEST(server.ReadUntilReset());
}

BOOST_AUTO_TEST_CASE(a_call_that_times_out_withdraws_its_request) {
  EventLoop loop;
  const StandingServer server;
  HttpClient client(loop, {});
  RecordingObserver observer;
  HttpRequest request;
  request.target = "/";
  const auto call = client.Start(server.endpoint(), request, milliseconds(200),
                                 ConnectionReuse::kAllowed, observer);
  BOOST_REQUIRE(loop.RunUntil([&] { return observer.outcome.has_value(); },
                              kTestTimeout));
  loop.RunUntil([] { return false; }, milliseconds(50));
  BOOST_TEST(server.ReadUntilReset());
}

BOOST_AUTO_TEST_CASE(a_head_without_end_breaks_the_call) {
  ClientAndServer fixture(
      AlwaysRespond("HTTP/1.1 200 OK\r\nA: " + std::string(4 << 20, 'x')));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(too_many_header_fields_or_trailers_break_the_call) {
  std::string fields;
  for (int i = 0; i < 300; ++i) {
    fields += "a:\r\n";
  }
  for (const std::string& response :
       {Ok("x", fields),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields +
            "\r\n"}) {
    ClientAndServer fixture(AlwaysRespond(response));
    RecordingObserver observer;
    BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
  }
}

BOOST_AUTO_TEST_CASE(interim_responses_without_end_break_the_call) {
  std::string bytes;
  while (bytes.size() < 4 << 20) {
    bytes += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  ClientAndServer fixture(AlwaysRespond(bytes));
  RecordingObserver observer;
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(responses_to_others_without_end_break_the_call) {
  std::string bytes;
  while (bytes.size() < 4 << 20) {
    bytes += Ok(std::string(1000, 'x'), "Id: other\r\n");
  }
  ClientAndServer fixture(AlwaysRespond(bytes));
  RecordingObserver observer;
  observer.id = "mine";
  BOOST_TEST((fixture.Run(observer) == HttpOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(a_body_without_end_is_not_buffered) {
  ClientAndServer fixture(
      AlwaysRespond("HTTP/1.1 200 OK\r\n\r\n" + std::string(32 << 20, 'x')));
  std::optional<HttpResult> result;
  const auto call =
      FetchHttp(fixture.client, fixture.server.endpoint(), HttpRequest{},
                kTestTimeout, [&](HttpResult r) { result = std::move(r); });
  BOOST_REQUIRE(
      fixture.loop.RunUntil([&] { return result.has_value(); }, kTestTimeout));
  BOOST_TEST((std::get<HttpOutcome>(*result) == HttpOutcome::kBroken));
}

BOOST_AUTO_TEST_CASE(a_byte_now_and_then_does_not_keep_a_call_alive) {
  ClientAndServer fixture(AlwaysRespond("HTTP/1.1 200 OK\r\n\r\n"));
  std::optional<HttpResult> result;
  const auto call = FetchHttp(fixture.client, fixture.server.endpoint(),
                              HttpRequest{}, milliseconds(300),
                              [&](HttpResult r) { result = std::move(r); });
  const auto dribble = fixture.loop.Every(milliseconds(100), [&] {
    if (fixture.server.connection_count() > 0 &&
        fixture.server.closed_by_peer_count() == 0) {
      fixture.server.SendUnsolicited("x");
    }
  });
  BOOST_REQUIRE(
      fixture.loop.RunUntil([&] { return result.has_value(); }, seconds(3)));
  BOOST_TEST((std::get<HttpOutcome>(*result) == HttpOutcome::kTimedOut));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
