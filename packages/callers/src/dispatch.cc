// Runs one request on an upstream.
#include "bambooquay/callers/dispatch.h"

#include <algorithm>
#include <utility>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr int kMaxAttempts = 6;
// How long attempts are made for a request without a deadline.
constexpr Duration kDefaultTimeLimit = std::chrono::seconds(10);
constexpr Duration kRoundDelay = std::chrono::milliseconds(50);
constexpr Duration kSettleRetryDelay = std::chrono::milliseconds(200);
// How long the agent is asked for the outcome of an attempt whose reply was
// lost: while the agent is unreachable, and while the attempt is still running.
constexpr Duration kSettleUnreachableLimit = std::chrono::seconds(5);
constexpr Duration kSettleRunningLimit = std::chrono::seconds(60);

/// @returns whether another upstream, or the same one later, might accept the
/// work.
bool IsRetryable(Refusal refusal) {
  return refusal != Refusal::kKeyWithdrawn && refusal != Refusal::kDeadline;
}

}  // namespace

Dispatch::Dispatch(const DispatchContext& context, Work work,
                   DispatchObserver& observer)
    : m_context(context), m_work(std::move(work)), m_observer(observer) {
  m_last_result.outcome = Outcome::kNotRun;
  m_last_result.refusal = Refusal::kUpstreamDown;
  m_last_result.message = "no live upstream serves this";
}

Dispatch::~Dispatch() { RecordAttemptEnd(); }

void Dispatch::Start() {
  const Duration time_limit = m_work.time_left > Duration::zero()
                                  ? m_work.time_left
                                  : kDefaultTimeLimit;
  m_deadline = m_context.loop.clock().Now() + time_limit;
  TryNextUpstream();
}

void Dispatch::TryNextUpstream() {
  const auto& candidates =
      m_context.directory.CandidatesFor(m_work.service, m_work.model);
  auto choice = m_context.selector.Choose(candidates, m_tried_upstreams);
  if (!choice.has_value() && !m_tried_upstreams.empty() &&
      m_attempt_count < kMaxAttempts && !candidates.empty()) {
    // Every candidate was tried: start another round after a delay.
    m_tried_upstreams.clear();
    m_timer = m_context.loop.After(kRoundDelay, [this] { TryNextUpstream(); });
    return;
  }
  if (!choice.has_value() || m_context.loop.clock().Now() >= m_deadline ||
      m_attempt_count >= kMaxAttempts) {
    Finish(m_last_result);
    return;
  }
  ++m_attempt_count;
  m_upstream = *choice;
  m_tried_upstreams.insert(m_upstream);
  m_work.id = RequestId(MakeRandomId());
  m_work.agent = {};
  if (m_work.idempotent) {
    PlanAttempt();
  } else {
    ResolveIncarnation();
  }
}

NodeClient* Dispatch::FindClient() {
  const Instance* agent = m_context.directory.FindAgent(m_upstream);
  return agent == nullptr ? nullptr : &m_context.pool.Get(agent->peer);
}

// Work that is not idempotent is bound to one incarnation of the agent, so that
// the agent can later tell whether the attempt has run.
void Dispatch::ResolveIncarnation() {
  const auto found = m_context.incarnations.find(m_upstream);
  if (found != m_context.incarnations.end()) {
    m_work.agent = found->second;
    PlanAttempt();
    return;
  }
  NodeClient* client = FindClient();
  if (client == nullptr) {
    Retry(m_last_result);
    return;
  }
  m_call = client->Exchange(
      m_context.documents.versions(),
      [this](const RpcResult<ExchangeReply>& result) {
        m_call = nullptr;
        if (const auto* reply = std::get_if<ExchangeReply>(&result)) {
          m_work.agent = reply->incarnation;
          m_context.incarnations[m_upstream] = reply->incarnation;
          PlanAttempt();
        } else {
          m_context.selector.RecordFailure(m_upstream);
          Retry(m_last_result);
        }
      });
}

void Dispatch::PlanAttempt() {
  m_observer.OnPlanned({m_work.id, m_upstream, m_work.agent},
                       [this](bool proceed) {
                         if (proceed) {
                           Execute();
                           return;
                         }
                         WorkResult result;
                         result.outcome = Outcome::kNotRun;
                         result.refusal = Refusal::kNotReady;
                         result.message = "the action could not be recorded";
                         Finish(result);
                       });
}

void Dispatch::Execute() {
  NodeClient* client = FindClient();
  if (client == nullptr) {
    Retry(m_last_result);
    return;
  }
  if (m_work.time_left > Duration::zero()) {
    m_work.time_left = std::max<Duration>(
        m_deadline - m_context.loop.clock().Now(), Duration(1));
  }
  m_context.selector.RecordStart(m_upstream);
  m_is_in_flight = true;
  m_call = client->Execute(m_work, m_context.documents.versions(), *this);
}

void Dispatch::OnHead(int status, std::string_view content_type) {
  m_observer.OnHead(status, content_type);
}

void Dispatch::OnPart(std::string_view bytes,
                      std::function<void()> on_consumed) {
  m_observer.OnPart(bytes, std::move(on_consumed));
}

void Dispatch::OnResult(const RpcResult<WorkResult>& result) {
  m_call = nullptr;
  RecordAttemptEnd();
  if (const auto* failure = std::get_if<RpcFailure>(&result)) {
    HandleLostReply(*failure);
  } else {
    HandleResult(std::get<WorkResult>(result));
  }
}

void Dispatch::HandleResult(const WorkResult& result) {
  m_context.selector.RecordLoad(m_upstream, result.load);
  if (result.refusal == Refusal::kNotReady) {
    m_context.incarnations.erase(m_upstream);
  }
  if (result.outcome == Outcome::kRan) {
    m_context.selector.RecordSuccess(m_upstream);
  }
  const bool failed = result.refusal == Refusal::kUpstreamDown ||
                      result.refusal == Refusal::kNotReady ||
                      result.refusal == Refusal::kLeaving ||
                      result.outcome == Outcome::kUnknown;
  if (failed) {
    m_context.selector.RecordFailure(m_upstream);
  }
  const bool may_run_again =
      result.outcome == Outcome::kNotRun ||
      (result.outcome == Outcome::kUnknown && m_work.idempotent);
  if (may_run_again && IsRetryable(result.refusal) && m_observer.CanRestart()) {
    Retry(result);
  } else {
    Finish(result);
  }
}

void Dispatch::HandleLostReply(const RpcFailure& failure) {
  m_context.metrics.Increment("entry_lost_answers_total");
  m_context.selector.RecordFailure(m_upstream);
  m_context.incarnations.erase(m_upstream);
  LogEvent(LogLevel::kWarning, "agent_connection_lost")
      .With("request_id", m_work.id.value())
      .With("upstream", m_upstream.value())
      .With("description", failure.description);
  WorkResult result;
  result.outcome = failure.never_sent ? Outcome::kNotRun : Outcome::kUnknown;
  result.refusal = Refusal::kUpstreamDown;
  result.message = "the agent's answer was lost";
  if (failure.never_sent || (m_work.idempotent && m_observer.CanRestart())) {
    Retry(result);
  } else if (m_work.idempotent) {
    Finish(result);
  } else {
    m_last_result = result;
    m_settle_started_at = m_context.loop.clock().Now();
    Settle();
  }
}

void Dispatch::Settle() {
  NodeClient* client = FindClient();
  if (client == nullptr) {
    RetrySettle(kSettleUnreachableLimit);
    return;
  }
  m_call = client->Settle(m_work.id, m_work.agent,
                          [this](const RpcResult<SettleReply>& result) {
                            m_call = nullptr;
                            HandleSettleReply(result);
                          });
}

void Dispatch::HandleSettleReply(const RpcResult<SettleReply>& result) {
  const auto* reply = std::get_if<SettleReply>(&result);
  if (reply == nullptr) {
    RetrySettle(kSettleUnreachableLimit);
    return;
  }
  switch (reply->state) {
    case AttemptState::kNeverStarted: {
      WorkResult not_run = m_last_result;
      not_run.outcome = Outcome::kNotRun;
      Retry(not_run);
      break;
    }
    case AttemptState::kRunning:
      RetrySettle(kSettleRunningLimit);
      break;
    case AttemptState::kFinished:
      DeliverStoredResponse(*reply);
      break;
    case AttemptState::kIndeterminate:
      Finish(m_last_result);
      break;
  }
}

void Dispatch::RetrySettle(Duration limit) {
  if (m_context.loop.clock().Now() - m_settle_started_at > limit) {
    Finish(m_last_result);
    return;
  }
  m_timer = m_context.loop.After(kSettleRetryDelay, [this] { Settle(); });
}

void Dispatch::DeliverStoredResponse(const SettleReply& reply) {
  if (!m_observer.CanRestart() ||
      (reply.status == 0 && reply.result.outcome == Outcome::kRan)) {
    WorkResult result = reply.result;
    result.refusal = Refusal::kUpstreamDown;
    result.message = "the action has run; its answer was lost";
    Finish(result);
    return;
  }
  m_observer.OnRestart();
  m_observer.OnHead(reply.status, reply.content_type);
  m_observer.OnPart(reply.body, [] {});
  Finish(reply.result);
}

void Dispatch::Retry(const WorkResult& result) {
  m_last_result = result;
  m_observer.OnRestart();
  m_context.metrics.Increment("entry_retries_total");
  // Runs from the event loop, because the observer may be calling this
  // function.
  m_timer =
      m_context.loop.After(Duration::zero(), [this] { TryNextUpstream(); });
}

void Dispatch::RecordAttemptEnd() {
  if (std::exchange(m_is_in_flight, false)) {
    m_context.selector.RecordEnd(m_upstream);
  }
}

void Dispatch::Finish(const WorkResult& result) {
  if (!std::exchange(m_is_done, true)) {
    m_observer.OnDone(result);
  }
}

}  // namespace bambooquay
