// Processes one caller's request.
#include "caller_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/callers/entry.h"
#include "bambooquay/core/random.h"
#include "bambooquay/runtime/log.h"
#include "bambooquay/runtime/tracing.h"

namespace bambooquay {
namespace {

constexpr std::size_t kMaxBufferedResponseBytes = 16 * 1024 * 1024;

ApiError MakeError(HttpStatus status, std::string code, std::string message,
                   Outcome outcome) {
  return {status, std::move(code), std::move(message), outcome,
          Duration::zero()};
}

}  // namespace

CallerRequest::CallerRequest(Entry& entry, std::uint64_t id,
                             std::shared_ptr<HttpExchange> exchange)
    : m_entry(entry),
      m_id(id),
      m_request_id(MakeRandomId()),
      m_exchange(std::move(exchange)),
      m_started_at(entry.m_context.loop.clock().Now()) {}

CallerRequest::~CallerRequest() = default;

void CallerRequest::Start() {
  m_caller_span = StartSpan(m_entry.m_context.tracer, "caller",
                            m_exchange->request().headers.Get("traceparent"));
  m_span = StartSpan(m_entry.m_context.tracer, "entry",
                     TraceparentOf(*m_caller_span));
  m_span->SetTag("request_id", m_request_id);
  const std::string not_ready = m_entry.NotReadyReason();
  if (!not_ready.empty()) {
    SendError({HttpStatus::kServiceUnavailable, "not_ready", not_ready,
               Outcome::kNotRun, std::chrono::seconds(1)});
    return;
  }
  m_configuration = m_entry.m_configuration;
  ApiCall call = ParseApiCall(m_exchange->request(), *m_configuration);
  auto* upstream_call = std::get_if<UpstreamCall>(&call);
  if (upstream_call != nullptr) {
    m_call = std::move(*upstream_call);
  }
  // Authentication errors come before parse errors, which would tell a caller
  // without a valid key which models and routes are configured.
  if (const auto error = Authenticate()) {
    SendError(*error);
  } else if (const auto* bad_call = std::get_if<ApiError>(&call)) {
    SendError(*bad_call);
  } else if (std::holds_alternative<ListModelsCall>(call)) {
    HttpHeaders headers;
    headers.Add("Content-Type", "application/json");
    SendResponse(ToCode(HttpStatus::kOk), headers,
                 ModelListJson(*m_configuration));
    Finish(ToCode(HttpStatus::kOk), Outcome::kRan);
  } else if (m_call.service->is_open) {
    StartDispatch();
  } else {
    Reserve();
  }
}

std::optional<ApiError> CallerRequest::Authenticate() {
  if (m_call.service != nullptr && m_call.service->is_open) {
    return std::nullopt;
  }
  const std::string key = ExtractBearerKey(m_exchange->request());
  if (key.empty()) {
    return MakeError(HttpStatus::kUnauthorized, "no_key",
                     "an 'Authorization: Bearer' key is required",
                     Outcome::kNotRun);
  }
  m_key = DigestOfKey(key);
  const ApiKey* api_key = m_entry.m_keys->Find(m_key);
  if (api_key == nullptr) {
    return MakeError(HttpStatus::kUnauthorized, "bad_key",
                     "the key is not valid", Outcome::kNotRun);
  }
  m_organisation = api_key->organisation;
  m_span->SetTag("organisation", m_organisation.value());
  if (m_configuration->Find(m_organisation) == nullptr) {
    return MakeError(HttpStatus::kForbidden, "no_allowance",
                     "the key's organisation has no allowance here",
                     Outcome::kNotRun);
  }
  return std::nullopt;
}

void CallerRequest::Reserve() {
  m_entry.m_allowance_coordinator.gate().Reserve(
      m_organisation, m_call.cost,
      [weak = weak_from_this()](const AllowanceDecision& decision) {
        if (const auto self = weak.lock()) {
          self->HandleAllowanceDecision(decision);
        }
      });
}

void CallerRequest::HandleAllowanceDecision(const AllowanceDecision& decision) {
  if (const auto* refusal = std::get_if<AllowanceRefusal>(&decision)) {
    const bool exceeds_burst = refusal->retry_after == Duration::max();
    SendError(
        {HttpStatus::kTooManyRequests,
         exceeds_burst ? "larger_than_burst" : "over_allowance",
         exceeds_burst
             ? "the request needs more tokens than the organisation's burst"
             : "the organisation's allowance is spent",
         Outcome::kNotRun,
         exceeds_burst ? Duration::zero()
                       : std::max<Duration>(refusal->retry_after,
                                            std::chrono::seconds(1))});
    return;
  }
  m_grant = std::get<AllowanceGrant>(decision);
  if (IsRecordedAction()) {
    LookUpAction();
  } else {
    StartDispatch();
  }
}

bool CallerRequest::IsRecordedAction() const noexcept {
  return !m_call.idempotent && !m_call.idempotency_key.empty() &&
         !m_organisation.empty();
}

std::string CallerRequest::RequestDigest() const {
  const HttpRequest& request = m_exchange->request();
  return Sha256Hex(request.method + "\n" + request.target + "\n" +
                   request.body);
}

void CallerRequest::LookUpAction() {
  m_action_log.emplace(m_entry.m_context.table, m_organisation,
                       m_call.idempotency_key);
  m_action_log->Read(
      [self = shared_from_this()](const ActionReadResult& result) {
        if (const auto* row = std::get_if<ActionRow>(&result)) {
          self->HandleActionRow(*row);
          return;
        }
        self->SettleAllowance(Outcome::kNotRun, {});
        self->SendError({HttpStatus::kServiceUnavailable, "action_log_down",
                         "actions cannot be recorded now", Outcome::kNotRun,
                         std::chrono::seconds(1)});
      });
}

void CallerRequest::HandleActionRow(const ActionRow& row) {
  m_action_version = row.version;
  if (row.version == 0 || (row.record.state == ActionState::kNotRun &&
                           row.record.request_digest == RequestDigest())) {
    StartDispatch();
  } else if (row.record.request_digest != RequestDigest()) {
    SettleAllowance(Outcome::kNotRun, {});
    SendError(MakeError(HttpStatus::kConflict, "action_differs",
                        "the Idempotency-Key was used for another call",
                        Outcome::kNotRun));
  } else if (row.record.state == ActionState::kRan) {
    SettleAllowance(Outcome::kNotRun, {});
    ReplayAction(row.record);
  } else {
    SettleEarlierAttempt(row);
  }
}

// The log has an attempt without a result. The agent that it was meant for
// knows the result, or makes sure that the attempt never runs.
void CallerRequest::SettleEarlierAttempt(const ActionRow& row) {
  const Instance* agent = m_entry.m_directory.FindAgent(row.record.upstream);
  if (agent == nullptr) {
    HandleSettleReply(row, RpcFailure{"the agent is not listed", true});
    return;
  }
  m_settle_call =
      m_entry.m_context.pool.Get(agent->peer)
          .Settle(row.record.attempt_id, row.record.agent_incarnation,
                  [this, row](const RpcResult<SettleReply>& result) {
                    m_settle_call = nullptr;
                    HandleSettleReply(row, result);
                  });
}

void CallerRequest::HandleSettleReply(ActionRow row,
                                      const RpcResult<SettleReply>& result) {
  const auto* reply = std::get_if<SettleReply>(&result);
  const AttemptState state =
      reply == nullptr ? AttemptState::kIndeterminate : reply->state;
  if (state == AttemptState::kNeverStarted) {
    StartDispatch();
    return;
  }
  SettleAllowance(Outcome::kNotRun, {});
  if (state == AttemptState::kRunning) {
    SendError(MakeError(HttpStatus::kConflict, "action_running",
                        "the same action is running", Outcome::kUnknown));
  } else if (state == AttemptState::kIndeterminate ||
             reply->result.outcome != Outcome::kRan) {
    SendError(MakeError(HttpStatus::kBadGateway, "outcome_unknown",
                        "whether the action has run cannot be found out now",
                        Outcome::kUnknown));
  } else {
    row.record.state = ActionState::kRan;
    row.record.status = reply->status;
    row.record.content_type = reply->content_type;
    row.record.body = reply->body;
    row.record.body_dropped = reply->status == 0;
    m_action_log->Write(row.version, row.record, [](const WriteResult&) {});
    ReplayAction(row.record);
  }
}

void CallerRequest::ReplayAction(const ActionRecord& record) {
  if (record.body_dropped) {
    SendError(MakeError(HttpStatus::kConflict, "response_not_kept",
                        "the action has run; its response was too large "
                        "to keep",
                        Outcome::kRan));
    return;
  }
  HttpHeaders headers;
  headers.Add("Content-Type", record.content_type);
  headers.Add("Idempotent-Replay", "true");
  SendResponse(record.status, headers, record.body);
  Finish(record.status, Outcome::kRan);
}

void CallerRequest::StartDispatch() {
  const HttpRequest& request = m_exchange->request();
  Work work;
  work.organisation = m_organisation;
  work.key = m_key;
  work.service = m_call.service->name;
  work.model = m_call.model;
  work.adapter = m_call.adapter;
  work.method = request.method;
  work.target = m_call.target;
  work.content_type = request.headers.Get("Content-Type");
  work.body = request.body;
  work.traceparent = TraceparentOf(*m_span);
  work.priority = m_call.priority;
  work.time_left = m_call.time_limit;
  work.idempotent = m_call.idempotent;
  work.allowance_epoch = m_grant.has_value() ? m_grant->epoch : 0;
  work.reserved = m_call.cost;
  Entry& entry = m_entry;
  m_dispatch = std::make_unique<Dispatch>(
      DispatchContext{entry.m_context.loop, entry.m_context.pool,
                      entry.m_directory, entry.m_selector,
                      entry.m_context.documents, entry.m_context.metrics,
                      entry.m_incarnations},
      std::move(work), static_cast<DispatchObserver&>(*this));
  m_dispatch->Start();
}

void CallerRequest::OnPlanned(const PlannedAttempt& attempt,
                              std::function<void(bool)> proceed) {
  if (!IsRecordedAction()) {
    proceed(true);
    return;
  }
  m_action = {};
  m_action.request_digest = RequestDigest();
  m_action.attempt_id = attempt.id;
  m_action.upstream = attempt.upstream;
  m_action.agent_incarnation = attempt.agent_incarnation;
  m_action_log->Write(m_action_version, m_action,
                      [self = shared_from_this(), proceed = std::move(proceed)](
                          const WriteResult& result) {
                        const bool is_written =
                            std::holds_alternative<RowWritten>(result);
                        if (is_written) {
                          ++self->m_action_version;
                        } else {
                          // Nothing was dispatched, so there is no result to
                          // record.
                          self->m_action_log.reset();
                        }
                        proceed(is_written);
                      });
}

void CallerRequest::OnHead(int status, std::string_view content_type) {
  m_status = status;
  m_content_type = content_type;
}

void CallerRequest::OnPart(std::string_view bytes,
                           std::function<void()> on_consumed) {
  if (!m_call.is_streaming) {
    if (m_body.size() + bytes.size() <= kMaxBufferedResponseBytes) {
      m_body += bytes;
    }
    on_consumed();
    return;
  }
  if (!m_stream_started) {
    m_stream_started = true;
    m_entry.m_context.metrics.Observe(
        "entry_first_part_seconds",
        m_entry.m_context.loop.clock().Now() - m_started_at);
    HttpHeaders headers;
    headers.Add("Content-Type", m_content_type);
    headers.Add("Cache-Control", "no-store");
    headers.Add("X-Request-Id", m_request_id);
    m_exchange->StartStream(m_status, headers);
  }
  if (m_exchange->closed()) {
    // Destroying the dispatch with the request cancels the work at the agent.
    on_consumed();
    SettleAllowance(Outcome::kUnknown, {});
    Finish(m_status, Outcome::kUnknown);
    return;
  }
  m_exchange->SendPart(bytes, std::move(on_consumed));
}

void CallerRequest::OnRestart() {
  m_status = 0;
  m_content_type.clear();
  m_body.clear();
}

void CallerRequest::OnDone(const WorkResult& result) {
  SettleAllowance(result.outcome, result.used);
  if (m_action_log.has_value() && m_action_version > 0) {
    RecordAction(result);
  } else {
    SendResult(result);
  }
}

void CallerRequest::RecordAction(const WorkResult& result) {
  if (result.outcome == Outcome::kUnknown) {
    // The record stays an intent; a retry asks the agent for the outcome.
    SendResult(result);
    return;
  }
  const bool ran = result.outcome == Outcome::kRan;
  m_action.state = ran ? ActionState::kRan : ActionState::kNotRun;
  m_action.status = m_status;
  m_action.content_type = m_content_type;
  m_action.body = ran ? m_body : std::string();
  m_action.body_dropped = ran && m_status == 0;
  m_action_log->Write(m_action_version, m_action,
                      [self = shared_from_this(), result](const WriteResult&) {
                        // If this write failed, the agent still has the result.
                        self->SendResult(result);
                      });
}

void CallerRequest::SettleAllowance(Outcome outcome, Tokens reported_tokens) {
  if (!m_grant.has_value()) {
    return;
  }
  Tokens used = m_call.cost;
  if (outcome == Outcome::kNotRun) {
    used = Tokens{};
  } else if (reported_tokens > Tokens{}) {
    used = reported_tokens;
  }
  m_entry.m_allowance_coordinator.ledger().Settle(m_organisation,
                                                  m_grant->reservation, used);
  m_grant.reset();
}

void CallerRequest::SendResult(const WorkResult& result) {
  if (m_stream_started) {
    if (result.outcome == Outcome::kRan && result.refusal == Refusal::kNone) {
      m_exchange->EndStream();
      Finish(m_status, Outcome::kRan);
    } else {
      AbortStream(result);
    }
    return;
  }
  if (result.outcome != Outcome::kRan || result.refusal != Refusal::kNone ||
      m_status == 0) {
    SendError(ToApiError(result));
    return;
  }
  HttpHeaders headers;
  headers.Add("Content-Type", m_content_type);
  headers.Add("X-Request-Id", m_request_id);
  SendResponse(m_status, headers, m_body);
  Finish(m_status, Outcome::kRan);
}

// Sends the error as an event of the stream, and then aborts the connection
// without the end of the response, so that the caller sees it as incomplete.
void CallerRequest::AbortStream(const WorkResult& result) {
  const std::string event =
      "event: error\ndata: " + ToApiError(result).ToJson() + "\n\n";
  const auto exchange = m_exchange;
  exchange->SendPart(event, [exchange] { exchange->Abort(); });
  Finish(m_status, result.outcome);
}

void CallerRequest::SendError(const ApiError& error) {
  HttpHeaders headers = error.Headers();
  headers.Add("X-Request-Id", m_request_id);
  SendResponse(ToCode(error.status), headers, error.ToJson());
  Finish(ToCode(error.status), error.outcome);
}

void CallerRequest::SendResponse(int status, const HttpHeaders& headers,
                                 std::string_view body) {
  m_exchange->Respond(status, headers, body);
}

void CallerRequest::Finish(int status, Outcome outcome) {
  if (std::exchange(m_is_finished, true)) {
    return;
  }
  const Duration elapsed = m_entry.m_context.loop.clock().Now() - m_started_at;
  m_entry.m_context.metrics.Observe("entry_request_seconds", elapsed);
  m_entry.m_context.metrics.Increment("entry_requests_total{status=\"" +
                                      std::to_string(status) + "\"}");
  m_span->SetTag("status", static_cast<std::int64_t>(status));
  LogEvent(LogLevel::kInfo, "request_finished")
      .With("request_id", m_request_id)
      .With("organisation", m_organisation.value())
      .With("model", m_call.model.value())
      .With("status", status)
      .With("outcome", ToString(outcome))
      .With("seconds", ToSeconds(elapsed));
  m_span = nullptr;
  m_caller_span = nullptr;
  m_entry.RemoveRequest(m_id);
}

void CallerRequest::CancelIfKeyWithdrawn() {
  if (m_is_finished || m_key.empty() || !m_call.idempotent ||
      m_entry.m_keys->Find(m_key) != nullptr) {
    return;
  }
  WorkResult result;
  result.outcome = m_dispatch == nullptr ? Outcome::kNotRun : Outcome::kUnknown;
  result.refusal = Refusal::kKeyWithdrawn;
  SettleAllowance(result.outcome, result.used);
  m_dispatch = nullptr;
  SendResult(result);
}

}  // namespace bambooquay
