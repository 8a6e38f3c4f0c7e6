// What a caller sees of a request.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"

namespace bambooquay::testing {

/// What a caller saw of one request.
struct Answer {
  bool complete = false;  ///< The whole response arrived.
  bool ended = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  TimePoint ended_at{};

  [[nodiscard]] nlohmann::json Parsed() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
  [[nodiscard]] std::string Outcome() const;
  [[nodiscard]] std::string Code() const;
};

/// Collects one answer as it arrives.
class PendingAnswer final : private HttpObserver {
 public:
  PendingAnswer(EventLoop& loop, const Endpoint& endpoint,
                const HttpRequest& request);

  [[nodiscard]] const Answer& answer() const noexcept { return m_answer; }
  [[nodiscard]] bool ended() const noexcept { return m_answer.ended; }
  void SetPaused(bool paused) { m_call->SetPaused(paused); }

 private:
  void OnHead(int status, const HttpHeaders& headers) override;
  void OnPart(std::string_view bytes) override;
  void OnEnd(HttpOutcome ending) override;

  EventLoop& m_loop;
  Answer m_answer;
  std::unique_ptr<HttpCall> m_call;
};

}  // namespace bambooquay::testing
