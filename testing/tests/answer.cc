// What a caller sees of a request.
#include "answer.h"

namespace bambooquay::testing {
namespace {

using Json = nlohmann::json;

constexpr Duration kCallLimit = std::chrono::seconds(60);

}  // namespace

std::string Answer::Outcome() const {
  const Json json = Parsed();
  return json.is_object() && json.contains("error")
             ? json["error"].value("outcome", "")
             : "";
}

std::string Answer::Code() const {
  const Json json = Parsed();
  return json.is_object() && json.contains("error")
             ? json["error"].value("code", "")
             : "";
}

PendingAnswer::PendingAnswer(EventLoop& loop, const Endpoint& endpoint,
                             const HttpRequest& request)
    : m_loop(loop),
      m_call(StartHttpCall(loop, endpoint, request, kCallLimit, *this)) {}

void PendingAnswer::OnHead(int status, const HttpHeaders& headers) {
  m_answer.status = status;
  m_answer.headers = headers;
}

void PendingAnswer::OnPart(std::string_view bytes) { m_answer.body += bytes; }

void PendingAnswer::OnEnd(HttpOutcome ending) {
  m_answer.complete = ending == HttpOutcome::kComplete;
  m_answer.ended = true;
  m_answer.ended_at = m_loop.clock().Now();
}

}  // namespace bambooquay::testing
