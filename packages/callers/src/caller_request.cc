// One caller's request on its way through the entry.
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

constexpr std::size_t kMaxBufferedAnswer = 16 * 1024 * 1024;

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
    AnswerError({HttpStatus::kServiceUnavailable, "not_ready", not_ready,
                 Outcome::kNotRun, std::chrono::seconds(1)});
    return;
  }
  m_configuration = m_entry.m_configuration;
  ApiCall call = InterpretRequest(m_exchange->request(), *m_configuration);
  auto* upstream_call = std::get_if<UpstreamCall>(&call);
  if (upstream_call != nullptr) {
    m_call = std::move(*upstream_call);
  }
  // A caller without a key learns nothing of what is listed.
  if (const auto error = Authenticate()) {
    AnswerError(*error);
  } else if (const auto* bad_call = std::get_if<ApiError>(&call)) {
    AnswerError(*bad_call);
  } else if (std::holds_alternative<ListModelsCall>(call)) {
    HttpHeaders headers;
    headers.Add("Content-Type", "application/json");
    Answer(ToCode(HttpStatus::kOk), headers, ModelListJson(*m_configuration));
    Finish(ToCode(HttpStatus::kOk), Outcome::kRan);
  } else if (m_call.service->open) {
    StartDispatch();
  } else {
    Reserve();
  }
}

std::optional<ApiError> CallerRequest::Authenticate() {
  if (m_call.service != nullptr && m_call.service->open) {
    return std::nullopt;
  }
  const std::string key = BearerKey(m_exchange->request());
  if (key.empty()) {
    return MakeError(HttpStatus::kUnauthorized, "no_key",
                     "an 'Authorization: Bearer' key is required",
                     Outcome::kNotRun);
  }
  m_key = DigestOfKey(key);
  const ApiKey* given = m_entry.m_keys->Find(m_key);
  if (given == nullptr) {
    return MakeError(HttpStatus::kUnauthorized, "bad_key",
                     "the key is not valid", Outcome::kNotRun);
  }
  m_organisation = given->organisation;
  m_span->SetTag("organisation", m_organisation.value());
  if (m_configuration->Find(m_organisation) == nullptr) {
    return MakeError(HttpStatus::kForbidden, "no_allowance",
                     "the key's organisation has no allowance here",
                     Outcome::kNotRun);
  }
  return std::nullopt;
}

void CallerRequest::Reserve() {
  m_entry.m_allowance.gate().Reserve(
      m_organisation, m_call.cost,
      [weak = weak_from_this()](const AllowanceDecision& decision) {
        if (const auto self = weak.lock()) {
          self->HandleAllowance(decision);
        }
      });
}

void CallerRequest::HandleAllowance(const AllowanceDecision& decision) {
  if (const auto* refusal = std::get_if<AllowanceRefusal>(&decision)) {
    const bool never = refusal->retry_after == Duration::max();
    AnswerError(
        {HttpStatus::kTooManyRequests,
         never ? "larger_than_burst" : "over_allowance",
         never ? "the request needs more tokens than the organisation's burst"
               : "the organisation's allowance is spent",
         Outcome::kNotRun,
         never ? Duration::zero()
               : std::max<Duration>(refusal->retry_after,
                                    std::chrono::seconds(1))});
    return;
  }
  m_grant = std::get<AllowanceGrant>(decision);
  if (IsNamedAction()) {
    LookUpAction();
  } else {
    StartDispatch();
  }
}

bool CallerRequest::IsNamedAction() const noexcept {
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
        if (const auto* entry = std::get_if<ActionEntry>(&result)) {
          self->HandleActionEntry(*entry);
          return;
        }
        self->SettleAllowance(Outcome::kNotRun, {});
        self->AnswerError({HttpStatus::kServiceUnavailable, "action_log_down",
                           "actions cannot be recorded now", Outcome::kNotRun,
                           std::chrono::seconds(1)});
      });
}

void CallerRequest::HandleActionEntry(const ActionEntry& entry) {
  m_action_version = entry.version;
  if (entry.version == 0 || (entry.record.state == ActionState::kNotRun &&
                             entry.record.request_digest == RequestDigest())) {
    StartDispatch();
  } else if (entry.record.request_digest != RequestDigest()) {
    SettleAllowance(Outcome::kNotRun, {});
    AnswerError(MakeError(HttpStatus::kConflict, "action_differs",
                          "the Idempotency-Key was used for another call",
                          Outcome::kNotRun));
  } else if (entry.record.state == ActionState::kRan) {
    SettleAllowance(Outcome::kNotRun, {});
    ReplayAction(entry.record);
  } else {
    SettleEarlierAttempt(entry);
  }
}

// An attempt was recorded but not its end: the agent that it was meant for
// knows, or makes sure that it never runs.
void CallerRequest::SettleEarlierAttempt(const ActionEntry& entry) {
  const Instance* agent = m_entry.m_directory.AgentOf(entry.record.upstream);
  if (agent == nullptr) {
    HandleEarlierAttempt(entry, RpcFailure{"the agent is not listed", true});
    return;
  }
  m_settle_call =
      m_entry.m_context.pool.Get(agent->peer)
          .Settle(entry.record.attempt, entry.record.agent,
                  [this, entry](const RpcResult<SettleReply>& result) {
                    m_settle_call = nullptr;
                    HandleEarlierAttempt(entry, result);
                  });
}

void CallerRequest::HandleEarlierAttempt(ActionEntry entry,
                                         const RpcResult<SettleReply>& result) {
  const auto* reply = std::get_if<SettleReply>(&result);
  const AttemptState state =
      reply == nullptr ? AttemptState::kLost : reply->state;
  if (state == AttemptState::kNeverStarted) {
    StartDispatch();
    return;
  }
  SettleAllowance(Outcome::kNotRun, {});
  if (state == AttemptState::kRunning) {
    AnswerError(MakeError(HttpStatus::kConflict, "action_running",
                          "the same action is running", Outcome::kUnknown));
  } else if (state == AttemptState::kLost ||
             reply->result.outcome != Outcome::kRan) {
    AnswerError(MakeError(HttpStatus::kBadGateway, "outcome_unknown",
                          "whether the action has run cannot be found out now",
                          Outcome::kUnknown));
  } else {
    entry.record.state = ActionState::kRan;
    entry.record.status = reply->status;
    entry.record.content_type = reply->content_type;
    entry.record.body = reply->body;
    entry.record.body_dropped = reply->status == 0;
    m_action_log->Write(entry.version, entry.record, [](const WriteResult&) {});
    ReplayAction(entry.record);
  }
}

void CallerRequest::ReplayAction(const ActionRecord& record) {
  if (record.body_dropped) {
    AnswerError(MakeError(HttpStatus::kConflict, "response_not_kept",
                          "the action has run; its response was too large "
                          "to keep",
                          Outcome::kRan));
    return;
  }
  HttpHeaders headers;
  headers.Add("Content-Type", record.content_type);
  headers.Add("Idempotent-Replay", "true");
  Answer(record.status, headers, record.body);
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
  work.time_left = m_call.deadline;
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
  if (!IsNamedAction()) {
    proceed(true);
    return;
  }
  m_action = {};
  m_action.request_digest = RequestDigest();
  m_action.attempt = attempt.id;
  m_action.upstream = attempt.upstream;
  m_action.agent = attempt.agent;
  m_action_log->Write(m_action_version, m_action,
                      [self = shared_from_this(), proceed = std::move(proceed)](
                          const WriteResult& result) {
                        const bool written =
                            std::holds_alternative<RowWritten>(result);
                        if (written) {
                          ++self->m_action_version;
                        } else {
                          // Nothing was dispatched, so nothing is to be
                          // recorded.
                          self->m_action_log.reset();
                        }
                        proceed(written);
                      });
}

void CallerRequest::OnHead(int status, std::string_view content_type) {
  m_status = status;
  m_content_type = content_type;
}

void CallerRequest::OnPart(std::string_view bytes,
                           std::function<void()> taken) {
  if (!m_call.streams) {
    if (m_body.size() + bytes.size() <= kMaxBufferedAnswer) {
      m_body += bytes;
    }
    taken();
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
    // Letting go of the dispatch cancels the work at the agent.
    taken();
    SettleAllowance(Outcome::kUnknown, {});
    Finish(m_status, Outcome::kUnknown);
    return;
  }
  m_exchange->SendPart(bytes, std::move(taken));
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
    AnswerResult(result);
  }
}

void CallerRequest::RecordAction(const WorkResult& result) {
  if (result.outcome == Outcome::kUnknown) {
    // The intent stays; a retry asks the agent again.
    AnswerResult(result);
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
                        // Unwritten, the agent's memory still has it.
                        self->AnswerResult(result);
                      });
}

void CallerRequest::SettleAllowance(Outcome outcome, Tokens reported) {
  if (!m_grant.has_value()) {
    return;
  }
  Tokens used = m_call.cost;
  if (outcome == Outcome::kNotRun) {
    used = Tokens{};
  } else if (reported > Tokens{}) {
    used = reported;
  }
  m_entry.m_allowance.ledger().Settle(m_organisation, m_grant->reservation,
                                      used);
  m_grant.reset();
}

void CallerRequest::AnswerResult(const WorkResult& result) {
  if (m_stream_started) {
    if (result.outcome == Outcome::kRan && result.refusal == Refusal::kNone) {
      m_exchange->EndStream();
      Finish(m_status, Outcome::kRan);
    } else {
      BreakStream(result);
    }
    return;
  }
  if (result.outcome != Outcome::kRan || result.refusal != Refusal::kNone ||
      m_status == 0) {
    AnswerError(ErrorFor(result));
    return;
  }
  HttpHeaders headers;
  headers.Add("Content-Type", m_content_type);
  headers.Add("X-Request-Id", m_request_id);
  Answer(m_status, headers, m_body);
  Finish(m_status, Outcome::kRan);
}

// A stream that cannot be finished tells why in an event of its own, and its
// connection is cut without the ending that a whole answer has.
void CallerRequest::BreakStream(const WorkResult& result) {
  const std::string event =
      "event: error\ndata: " + ErrorFor(result).ToJson() + "\n\n";
  const auto exchange = m_exchange;
  exchange->SendPart(event, [exchange] { exchange->Abort(); });
  Finish(m_status, result.outcome);
}

void CallerRequest::AnswerError(const ApiError& error) {
  HttpHeaders headers = error.Headers();
  headers.Add("X-Request-Id", m_request_id);
  Answer(ToCode(error.status), headers, error.ToJson());
  Finish(ToCode(error.status), error.outcome);
}

void CallerRequest::Answer(int status, const HttpHeaders& headers,
                           std::string_view body) {
  m_exchange->Reply(status, headers, body);
}

void CallerRequest::Finish(int status, Outcome outcome) {
  if (std::exchange(m_finished, true)) {
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
  m_entry.Remove(m_id);
}

void CallerRequest::CutIfKeyWithdrawn() {
  if (m_finished || m_key.empty() || !m_call.idempotent ||
      m_entry.m_keys->Find(m_key) != nullptr) {
    return;
  }
  WorkResult result;
  result.outcome = m_dispatch == nullptr ? Outcome::kNotRun : Outcome::kUnknown;
  result.refusal = Refusal::kKeyWithdrawn;
  SettleAllowance(result.outcome, result.used);
  m_dispatch = nullptr;
  AnswerResult(result);
}

}  // namespace bambooquay
