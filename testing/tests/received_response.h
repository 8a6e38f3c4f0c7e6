// The response to an HTTP request as the caller receives it.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"

namespace bambooquay::testing {

/// What the caller has received of the response to one request.
struct ReceivedResponse {
  bool complete = false;  ///< The whole response arrived.
  bool ended = false;     ///< The call has ended, in success or failure.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  TimePoint ended_at{};  ///< Set once `ended` is true.

  /// @returns the body as JSON; a discarded value if it is not valid JSON.
  [[nodiscard]] nlohmann::json ParsedBody() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
  /// @returns error.outcome of a JSON error body; empty if there is none.
  [[nodiscard]] std::string ErrorOutcome() const;
  /// @returns error.code of a JSON error body; empty if there is none.
  [[nodiscard]] std::string ErrorCode() const;
};

/// Sends one request and collects the response as it arrives. Destroying it
/// cancels the call.
class PendingResponse final : private HttpObserver {
 public:
  PendingResponse(EventLoop& loop, const Endpoint& endpoint,
                  const HttpRequest& request);

  [[nodiscard]] const ReceivedResponse& response() const noexcept {
    return m_response;
  }
  [[nodiscard]] bool ended() const noexcept { return m_response.ended; }
  /// Stops or resumes reading the response from the connection.
  void SetPaused(bool paused) { m_call->SetPaused(paused); }

 private:
  void OnHead(int status, const HttpHeaders& headers) override;
  void OnPart(std::string_view bytes) override;
  void OnEnd(HttpOutcome outcome) override;

  EventLoop& m_loop;
  ReceivedResponse m_response;
  std::unique_ptr<HttpCall> m_call;
};

}  // namespace bambooquay::testing
