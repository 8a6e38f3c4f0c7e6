// The response to an HTTP request as the caller receives it.
#include "received_response.h"

namespace bambooquay::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::seconds(60);

}  // namespace

std::string ReceivedResponse::ErrorOutcome() const {
  const Json json = ParsedBody();
  return json.is_object() && json.contains("error")
             ? json["error"].value("outcome", "")
             : "";
}

std::string ReceivedResponse::ErrorCode() const {
  const Json json = ParsedBody();
  return json.is_object() && json.contains("error")
             ? json["error"].value("code", "")
             : "";
}

PendingResponse::PendingResponse(EventLoop& loop, const Endpoint& endpoint,
                                 const HttpRequest& request)
    : m_loop(loop),
      m_call(StartHttpCall(loop, endpoint, request, kCallTimeout, *this)) {}

void PendingResponse::OnHead(int status, const HttpHeaders& headers) {
  m_response.status = status;
  m_response.headers = headers;
}

void PendingResponse::OnPart(std::string_view bytes) {
  m_response.body += bytes;
}

void PendingResponse::OnEnd(HttpOutcome outcome) {
  m_response.complete = outcome == HttpOutcome::kComplete;
  m_response.ended = true;
  m_response.ended_at = m_loop.clock().Now();
}

}  // namespace bambooquay::testing
