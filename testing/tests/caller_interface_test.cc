// Tests what callers see: complete responses, accurate errors, input limits,
// broken responses and trace spans.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "deployment.h"

namespace bambooquay::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

HttpHeaders Header(const std::string& name, const std::string& value) {
  HttpHeaders headers;
  headers.Add(name, value);
  return headers;
}

BOOST_AUTO_TEST_SUITE(caller_interface)

BOOST_AUTO_TEST_CASE(responses_are_complete_and_errors_are_precise) {
  Deployment fleet({.entries = 1, .engines = 2});
  const ReceivedResponse non_streaming =
      fleet.SendCompletion(0, "dawn", 4, false);
  BOOST_TEST(non_streaming.status == 200);
  BOOST_TEST(non_streaming.ParsedBody()["choices"][0]["text"] ==
             "dawn#1 dawn#2 dawn#3 dawn#4 ");

  const ReceivedResponse stream = fleet.SendCompletion(0, "dusk", 4, true);
  BOOST_TEST(stream.complete);
  BOOST_TEST(stream.headers.Get("Content-Type") == "text/event-stream");
  BOOST_TEST(stream.body.find("dusk#4") != std::string::npos);
  BOOST_TEST(stream.body.ends_with("data: [DONE]\n\n"));

  const ReceivedResponse adapter = fleet.SendRequest(
      0, "POST", "/v1/chat/completions",
      R"({"model":"tide-b","max_tokens":2,"messages":[{"content":"noon"}]})");
  BOOST_TEST(adapter.ParsedBody()["model"] == "tide-b");
  const ReceivedResponse models = fleet.SendRequest(0, "GET", "/v1/models", "");
  BOOST_TEST(models.ParsedBody()["data"].size() == 4U);

  // Bad input gets a specific error, and no request is executed.
  struct BadInput {
    std::string method, target, body;
    HttpHeaders headers;
    int status;
    std::string code;
  };
  const std::string completions = "/v1/completions";
  const std::string body = R"({"model":"tide","prompt":"x","max_tokens":1})";
  const std::vector<BadInput> bad_inputs = {
      {"POST", completions, "{", {}, 400, "bad_json"},
      {"POST", completions, "[1]", {}, 400, "bad_json"},
      {"POST", completions, R"({"model":7})", {}, 400, "bad_request"},
      {"POST", completions, R"({"model":"moon"})", {}, 404, "model_not_found"},
      {"POST",
       completions,
       R"({"model":"tide","max_tokens":-1})",
       {},
       400,
       "bad_request"},
      {"GET", completions, "", {}, 405, "method_not_allowed"},
      {"GET", "/nowhere/1", "", {}, 404, "route_not_found"},
      {"POST",
       completions,
       std::string(70'000, 'x'),
       {},
       413,
       "body_too_large"},
      {"POST", completions, body, Header("X-Priority", "high"), 400,
       "bad_priority"},
      {"POST", completions, body, Header("X-Deadline-Ms", "soon"), 400,
       "bad_deadline"},
      {"POST", completions, body, Header("Authorization", "Bearer wrong"), 401,
       "bad_key"},
      {"POST", completions, body, Header("Authorization", "Basic x"), 401,
       "no_key"},
      {"POST",
       completions,
       R"({"model":"tide","max_tokens":900000})",
       {},
       429,
       "larger_than_burst"}};
  for (const BadInput& input : bad_inputs) {
    const ReceivedResponse response = fleet.SendRequest(
        0, input.method, input.target, input.body, input.headers);
    BOOST_TEST_CONTEXT(input.code) {
      BOOST_TEST(response.status == input.status);
      BOOST_TEST(response.ErrorCode() == input.code);
      BOOST_TEST(response.ErrorOutcome() == "not_run");
    }
  }
  // The agent keeps no record of idempotent requests.
  BOOST_TEST(fleet.GetStatus("agent-0")["remembered"] == 0);
  // The service `notices` is configured with `open = yes`, so the request
  // needs no API key; it fails because the service has no running upstream.
  const ReceivedResponse unauthenticated = fleet.SendRequest(
      0, "GET", "/notices/today", "", Header("Authorization", "none"));
  BOOST_TEST(unauthenticated.status == 503);
  BOOST_TEST(unauthenticated.ErrorOutcome() == "not_run");
}

BOOST_AUTO_TEST_CASE(every_hop_reports_a_span_and_no_upstream_sees_the_key) {
  Deployment fleet({.entries = 1, .engines = 1});
  const std::string trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
  fleet.SendRequest(
      0, "POST", "/v1/completions",
      R"({"model":"tide","prompt":"x","max_tokens":2})",
      Header("traceparent", "00-" + trace_id + "-00f067aa0ba902b7-01"));
  std::set<std::string> span_names;
  BOOST_TEST(fleet.WaitUntil([&] {
    fleet.RunFor(std::chrono::milliseconds(100));
    for (const Json& span : fleet.GetSpans()) {
      if (span["traceId"] == trace_id) {
        span_names.insert(span["name"].get<std::string>());
      }
    }
    return span_names.size() == 4;
  }));
  BOOST_TEST((span_names ==
              std::set<std::string>{"caller", "entry", "agent", "upstream"}));
  BOOST_TEST(!fleet.GetUpstreamState(0)["saw_key"].get<bool>());
  BOOST_TEST(fleet.GetSpans().dump().find(fleet.key()) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(concurrent_responses_reach_their_own_callers) {
  Deployment fleet({.entries = 2, .engines = 3});
  std::vector<std::shared_ptr<PendingResponse>> pending;
  for (int i = 0; i < 60; ++i) {
    pending.push_back(fleet.StartCompletion(i % 2, "p" + std::to_string(i),
                                            1 + (i * 7) % 20, i % 3 == 0));
  }
  BOOST_TEST(fleet.WaitUntil([&] {
    return std::ranges::all_of(pending,
                               [](const auto& call) { return call->ended(); });
  }));
  for (int i = 0; i < 60; ++i) {
    const ReceivedResponse& response = pending[i]->response();
    const std::string token_prefix = "p" + std::to_string(i) + "#";
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body.find(token_prefix + "1 ") != std::string::npos);
    BOOST_TEST(
        response.body.find(token_prefix + std::to_string(1 + (i * 7) % 20)) !=
        std::string::npos);
    for (int other = 0; other < 60; ++other) {
      BOOST_REQUIRE(other == i ||
                    response.body.find("p" + std::to_string(other) + "#") ==
                        std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(connection_of_a_stalled_caller_is_closed) {
  Deployment fleet({.entries = 1, .engines = 1});
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers.Add("Content-Length", "100");  // The body is shorter.
  request.body = "{";
  PendingResponse stalled(fleet.loop(), fleet.EntryAddress(0), request);
  BOOST_TEST(fleet.WaitUntil([&] { return stalled.ended(); }, seconds(20)));
  BOOST_TEST(!stalled.response().complete);
  BOOST_TEST(fleet.SendCompletion(0, "on", 1, false).status == 200);
}

BOOST_AUTO_TEST_CASE(interrupted_non_streaming_response_is_retried) {
  Deployment fleet({.entries = 1, .engines = 2});
  for (const int engine : {0, 1}) {
    fleet.SetUpstreamFaults(engine, {{"break_streams", true}});
  }
  const ReceivedResponse response = fleet.SendCompletion(0, "whole", 8, false);
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body.find("whole#8") != std::string::npos);
}

// A stream that has begun cannot be retried: it ends with an error event and
// without the final [DONE].
BOOST_AUTO_TEST_CASE(interrupted_stream_ends_with_an_error) {
  Deployment fleet({.entries = 1, .engines = 1});
  fleet.SetUpstreamFaults(0, {{"break_streams", true}});
  const ReceivedResponse response = fleet.SendCompletion(0, "half", 8, true);
  BOOST_TEST(!response.complete);
  BOOST_TEST(response.body.find("event: error") != std::string::npos);
  BOOST_TEST(response.body.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay::testing
