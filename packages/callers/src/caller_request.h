// Processes one caller's request.
#pragma once

#include <opentracing/span.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "bambooquay/callers/action_log.h"
#include "bambooquay/callers/api_call.h"
#include "bambooquay/callers/dispatch.h"
#include "bambooquay/core/allowance_gate.h"
#include "bambooquay/runtime/http_server.h"

namespace bambooquay {

class Entry;

/// Processes a request in steps: parse, authenticate, reserve tokens, look up a
/// recorded action, dispatch, record the action's result, respond. Whichever
/// step ends the request, the caller gets exactly one response.
class CallerRequest final : public std::enable_shared_from_this<CallerRequest>,
                            private DispatchObserver {
 public:
  CallerRequest(Entry& entry, std::uint64_t id,
                std::shared_ptr<HttpExchange> exchange);
  ~CallerRequest() override;

  void Start();
  /// Ends the request if its key is no longer valid and the request is
  /// idempotent.
  void CancelIfKeyWithdrawn();

 private:
  // The steps, in order.
  [[nodiscard]] std::optional<ApiError> Authenticate();
  void Reserve();
  void HandleAllowanceDecision(const AllowanceDecision& decision);
  void LookUpAction();
  void HandleActionRow(const ActionRow& row);
  /// Asks the agent for the outcome of the action's earlier attempt.
  void SettleEarlierAttempt(const ActionRow& row);
  void HandleSettleReply(ActionRow row, const RpcResult<SettleReply>& result);
  /// Sends the stored response of an action that has run.
  void ReplayAction(const ActionRecord& record);
  void StartDispatch();

  void OnPlanned(const PlannedAttempt& attempt,
                 std::function<void(bool)> proceed) override;
  void OnHead(int status, std::string_view content_type) override;
  void OnPart(std::string_view bytes,
              std::function<void()> on_consumed) override;
  void OnRestart() override;
  [[nodiscard]] bool CanRestart() const override { return !m_stream_started; }
  void OnDone(const WorkResult& result) override;

  /// Records the result of the action, then sends it to the caller.
  void RecordAction(const WorkResult& result);
  /// Settles the reservation of tokens.
  /// @param reported_tokens  tokens that the upstream reported as used; 0 if it
  ///   reported none.
  void SettleAllowance(Outcome outcome, Tokens reported_tokens);
  void SendResult(const WorkResult& result);
  /// Ends a started stream with an error event.
  void AbortStream(const WorkResult& result);
  void SendError(const ApiError& error);
  void SendResponse(int status, const HttpHeaders& headers,
                    std::string_view body);
  void Finish(int status, Outcome outcome);
  /// @returns whether the request is a non-idempotent action with an
  ///   Idempotency-Key, and so is recorded in the action log.
  [[nodiscard]] bool IsRecordedAction() const noexcept;
  [[nodiscard]] std::string RequestDigest() const;

  Entry& m_entry;
  std::uint64_t m_id;
  std::string m_request_id;
  std::shared_ptr<HttpExchange> m_exchange;
  std::unique_ptr<opentracing::Span> m_caller_span;
  std::unique_ptr<opentracing::Span> m_span;
  TimePoint m_started_at;
  /// Copied for the whole request, because m_call points into it.
  std::optional<Configuration> m_configuration;
  UpstreamCall m_call;
  OrganisationId m_organisation;
  KeyDigest m_key;
  std::optional<AllowanceGrant> m_grant;
  std::optional<ActionLog> m_action_log;
  /// Version of the action's row; 0 if there is none.
  std::uint64_t m_action_version = 0;
  ActionRecord m_action;
  std::unique_ptr<RpcCall> m_settle_call;
  std::unique_ptr<Dispatch> m_dispatch;
  int m_status = 0;
  std::string m_content_type;
  /// The response body received so far, unless it is streamed.
  std::string m_body;
  bool m_stream_started = false;
  bool m_is_finished = false;
};

}  // namespace bambooquay
