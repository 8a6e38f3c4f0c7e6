// Admission, queueing and execution of work on one upstream.
#include "bambooquay/upstreams/agent.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "bambooquay/runtime/log.h"
#include "bambooquay/runtime/tracing.h"
#include "running_work.h"

namespace bambooquay {
namespace {

constexpr std::size_t kQueueCapacity = 256;
constexpr Duration kAttemptRetention = std::chrono::minutes(30);
// Limit on the total size of all stored responses.
constexpr std::size_t kMaxTotalStoredBytes = 16 * 1024 * 1024;
constexpr Duration kQueueExpiryPeriod = std::chrono::milliseconds(20);

std::string RefusalMetric(Refusal refusal) {
  return "agent_refusals_total{reason=\"" + std::string(ToString(refusal)) +
         "\"}";
}

}  // namespace

/// Cancels or detaches an entry's work when the entry drops the handle.
class Agent::Handle final : public WorkHandle {
 public:
  Handle(Agent& agent, RequestId id, bool idempotent)
      : m_agent(agent), m_id(std::move(id)), m_idempotent(idempotent) {}
  ~Handle() override { m_agent.CancelOrDetach(m_id, m_idempotent); }

 private:
  Agent& m_agent;
  RequestId m_id;
  bool m_idempotent;
};

Agent::Agent(AgentIdentity identity, const AgentContext& context)
    : m_identity(std::move(identity)),
      m_context(context),
      m_limit(ConcurrencySettings{}),
      m_queue(context.loop.clock(), kQueueCapacity),
      m_ledger(context.loop.clock(), kAttemptRetention, kMaxTotalStoredBytes),
      m_expiry_timer(context.loop.Every(kQueueExpiryPeriod, [this] {
        for (const RequestId& id : m_queue.RemoveExpired()) {
          RefuseQueued(id, Refusal::kDeadline);
        }
      })) {
  m_context.documents.changed().connect(
      [this](const Document& document) { HandleDocument(document); });
  for (const DocumentKind kind : kAllDocumentKinds) {
    if (const Document* document = m_context.documents.Find(kind)) {
      HandleDocument(*document);
    }
  }
  m_context.metrics.RegisterGauge("agent_in_flight", [this] {
    return static_cast<double>(m_running.size());
  });
  m_context.metrics.RegisterGauge(
      "agent_queued", [this] { return static_cast<double>(m_queue.size()); });
  m_context.metrics.RegisterGauge("agent_concurrency_limit", [this] {
    return static_cast<double>(m_limit.limit());
  });
}

Agent::~Agent() = default;

ExchangeReply Agent::Exchange(const DocumentVersions& sender_versions) {
  m_context.sync.FetchNewer(sender_versions);
  return {m_context.documents.versions(), m_identity.incarnation,
          CurrentLoad()};
}

std::optional<Document> Agent::FetchDocument(DocumentKind kind) {
  const Document* document = m_context.documents.Find(kind);
  return document == nullptr ? std::nullopt
                             : std::optional<Document>(*document);
}

std::unique_ptr<WorkHandle> Agent::Execute(
    const Work& work, const DocumentVersions& sender_versions,
    const std::shared_ptr<WorkSink>& sink) {
  const RequestId id = work.id;
  const bool idempotent = work.idempotent;
  if (!m_ledger.Begin(id)) {
    Refuse(sink, Refusal::kDuplicate);
    return nullptr;
  }
  m_context.sync.CatchUp(
      sender_versions, [this, work = work, sink](bool caught_up) mutable {
        if (m_ledger.StateOf(work.id) != LedgerState::kQueued) {
          Refuse(sink, Refusal::kDuplicate);
        } else if (!caught_up) {
          m_ledger.Erase(work.id);
          Refuse(sink, Refusal::kNotReady, "this agent is behind");
        } else {
          Admit(std::move(work), sink);
        }
      });
  return std::make_unique<Handle>(*this, id, idempotent);
}

void Agent::Admit(Work work, const std::shared_ptr<WorkSink>& sink) {
  const RequestId id = work.id;
  Refusal refusal = CheckAdmission(work);
  std::optional<RequestId> displaced;
  if (refusal == Refusal::kNone) {
    const OrganisationSettings* organisation =
        m_configuration->Find(work.organisation);
    refusal =
        m_queue.Enqueue({id, work.organisation,
                         organisation == nullptr ? 1.0 : organisation->weight,
                         work.priority, work.reserved, work.time_left},
                        displaced);
  }
  if (refusal != Refusal::kNone) {
    // No record is needed: without one, a later query about this id is answered
    // with "not run".
    m_ledger.Erase(id);
    Refuse(sink, refusal);
    return;
  }
  if (displaced.has_value()) {
    RefuseQueued(*displaced, Refusal::kQueueFull);
  }
  auto span = StartSpan(m_context.tracer, "agent", work.traceparent);
  span->SetTag("request_id", id.value());
  span->SetTag("organisation", work.organisation.value());
  m_queued_work.emplace(id, QueuedWork{std::move(work), sink, std::move(span),
                                       m_context.loop.clock().Now()});
  StartQueuedWork();
}

Refusal Agent::CheckAdmission(const Work& work) const {
  if (!NotReadyReason().empty()) {
    return m_is_draining ? Refusal::kLeaving : Refusal::kNotReady;
  }
  if (IsUpstreamDrained()) {
    return Refusal::kLeaving;
  }
  if (!work.agent.empty() && work.agent != m_identity.incarnation) {
    return Refusal::kNotReady;
  }
  if (work.allowance_epoch < m_min_epoch && !work.organisation.empty()) {
    return Refusal::kStaleEpoch;
  }
  if (!IsKeyValid(work)) {
    return Refusal::kKeyWithdrawn;
  }
  if (work.service != m_settings->service) {
    return Refusal::kNotLoaded;
  }
  if (!IsPlainService() && !m_model_manager->reachable()) {
    return Refusal::kUpstreamDown;
  }
  if (!IsPlainService() && !m_model_manager->IsLoaded(work.model)) {
    return Refusal::kNotLoaded;
  }
  return Refusal::kNone;
}

bool Agent::IsKeyValid(const Work& work) const {
  const ServiceSettings* service = m_configuration->Find(work.service);
  if (service != nullptr && service->is_open) {
    return true;
  }
  const ApiKey* key = m_keys->Find(work.key);
  return key != nullptr && key->organisation == work.organisation;
}

void Agent::Refuse(const std::shared_ptr<WorkSink>& sink, Refusal refusal,
                   std::string message) {
  m_context.metrics.Increment(RefusalMetric(refusal));
  WorkResult result;
  // From a duplicate alone, it is unknown whether the first attempt has run.
  result.outcome =
      refusal == Refusal::kDuplicate ? Outcome::kUnknown : Outcome::kNotRun;
  result.refusal = refusal;
  result.message = std::move(message);
  result.load = CurrentLoad();
  sink->Finish(result);
}

void Agent::RefuseQueued(const RequestId& id, Refusal refusal) {
  const auto entry = m_queued_work.find(id);
  if (entry == m_queued_work.end()) {
    return;
  }
  const QueuedWork queued = std::move(entry->second);
  m_queued_work.erase(entry);
  m_ledger.Erase(id);
  Refuse(queued.sink, refusal);
}

void Agent::StartQueuedWork() {
  while (m_running.size() < m_limit.limit()) {
    const std::optional<RequestId> id = m_queue.Dequeue();
    if (!id.has_value()) {
      return;
    }
    auto entry = m_queued_work.extract(*id);
    if (!entry.empty()) {
      Run(std::move(entry.mapped()));
    }
  }
}

void Agent::Run(QueuedWork queued) {
  const RequestId id = queued.work.id;
  const AdapterName adapter = queued.work.adapter;
  m_context.metrics.Observe("agent_queue_seconds",
                            m_context.loop.clock().Now() - queued.queued_at);
  m_ledger.MarkRunning(id);
  auto running = std::make_unique<RunningWork>(
      *this, std::move(queued.work), std::move(queued.sink),
      std::move(queued.span), IsPlainService());
  RunningWork& work = *running;
  m_running.emplace(id, std::move(running));
  if (adapter.empty() || m_model_manager == nullptr) {
    work.Start(m_context.loop, m_identity.upstream_address);
    return;
  }
  m_model_manager->EnsureAdapterLoaded(adapter, [this, id](bool loaded) {
    const auto entry = m_running.find(id);
    if (entry == m_running.end()) {
      return;
    }
    if (loaded) {
      entry->second->Start(m_context.loop, m_identity.upstream_address);
    } else {
      entry->second->FailUnsent(Refusal::kNotLoaded);
    }
  });
}

void Agent::FinishRunning(RunningWork& work) {
  const RequestId id = work.work().id;
  const Duration pace = work.MeasuredPace();
  if (work.upstream_failed()) {
    m_limit.RecordFailure();
  } else if (pace > Duration::zero() &&
             work.result().outcome == Outcome::kRan) {
    m_limit.RecordPace(pace, static_cast<std::uint32_t>(m_running.size()));
  }
  m_queue.RecordCompletion(work.work().reserved);
  m_context.metrics.Increment("agent_finished_total{outcome=\"" +
                              std::string(ToString(work.result().outcome)) +
                              "\"}");
  LogEvent(LogLevel::kDebug, "work_finished")
      .With("request_id", id.value())
      .With("organisation", work.work().organisation.value())
      .With("outcome", ToString(work.result().outcome));
  WorkResult result = work.result();
  const std::shared_ptr<WorkSink> sink = work.sink();
  if (work.work().idempotent) {
    m_ledger.Erase(id);
  } else {
    m_ledger.Finish(id, work.TakeStoredResponse());
  }
  // `work` itself calls this function, so it is destroyed from the event loop,
  // after this call has returned.
  auto finished_work = m_running.extract(id);
  m_context.loop.Post([kept_alive = std::make_shared<decltype(finished_work)>(
                           std::move(finished_work))] {});
  result.load = CurrentLoad();
  if (sink != nullptr) {
    sink->OnBytesConsumed(nullptr);
    sink->Finish(result);
  }
  StartQueuedWork();
  if (m_running.empty() && m_on_drained) {
    const auto on_drained = std::exchange(m_on_drained, nullptr);
    on_drained();
  }
}

void Agent::CancelOrDetach(const RequestId& id, bool idempotent) {
  if (m_queue.Remove(id)) {
    m_queued_work.erase(id);
    m_ledger.Erase(id);
    return;
  }
  const auto running = m_running.find(id);
  if (running == m_running.end()) {
    if (m_ledger.StateOf(id) == LedgerState::kQueued) {
      // The work is not in m_queue yet: this agent is still fetching newer
      // documents that the entry already has.
      m_ledger.CancelUnlessRunning(id);
    }
    return;
  }
  running->second->Detach();
  if (idempotent) {
    m_ledger.Erase(id);
    m_running.erase(running);
    StartQueuedWork();
  }
}

SettleReply Agent::Settle(const RequestId& id,
                          const IncarnationId& incarnation) {
  SettleReply reply;
  if (incarnation != m_identity.incarnation) {
    return reply;
  }
  if (m_queue.Remove(id)) {
    m_queued_work.erase(id);
  }
  switch (m_ledger.CancelUnlessRunning(id)) {
    case LedgerState::kRunning:
      reply.state = AttemptState::kRunning;
      break;
    case LedgerState::kFinished: {
      const StoredResponse* stored = m_ledger.Find(id);
      reply = {AttemptState::kFinished, stored->result, stored->status,
               stored->content_type, stored->body};
      break;
    }
    default:
      reply.state = AttemptState::kNeverStarted;
      reply.result.outcome = Outcome::kNotRun;
      break;
  }
  return reply;
}

void Agent::Fence(std::uint64_t epoch) {
  m_min_epoch = std::max(m_min_epoch, epoch);
}

void Agent::SetRegistered(std::uint64_t fencing_token) {
  m_is_registered = true;
  m_fencing_token = fencing_token;
  if (m_model_manager != nullptr) {
    m_model_manager->TakeOver(fencing_token, m_settings->checks_fencing);
  }
}

void Agent::Drain(std::function<void()> on_drained) {
  m_is_draining = true;
  RefuseAllQueued();
  if (m_running.empty()) {
    on_drained();
  } else {
    m_on_drained = std::move(on_drained);
  }
}

AgentLoad Agent::CurrentLoad() const noexcept {
  return {static_cast<std::uint32_t>(m_running.size()),
          static_cast<std::uint32_t>(m_queue.size()), m_limit.limit()};
}

}  // namespace bambooquay
