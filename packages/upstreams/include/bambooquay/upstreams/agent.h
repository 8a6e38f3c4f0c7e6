// The agent (sidecar) of one upstream. All requests to the upstream pass
// through it: it admits, queues and runs them, records their outcomes, and
// keeps the planned models loaded in the engine.
#pragma once

#include <opentracing/tracer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "bambooquay/core/admission_queue.h"
#include "bambooquay/core/attempt_ledger.h"
#include "bambooquay/core/concurrency_limit.h"
#include "bambooquay/core/configuration.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/core/drain_set.h"
#include "bambooquay/core/key_set.h"
#include "bambooquay/core/placement.h"
#include "bambooquay/peers/document_sync.h"
#include "bambooquay/peers/node_service.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/upstreams/engine_orders.h"

namespace bambooquay {

class RunningWork;

/// Identifies an agent process and the upstream that it serves.
struct AgentIdentity {
  IncarnationId incarnation;
  UpstreamId upstream;
  Endpoint upstream_address;
};

/// Objects that an agent uses. All of them must outlive it.
struct AgentContext {
  EventLoop& loop;
  DocumentSet& documents;
  DocumentSync& sync;
  Metrics& metrics;
  const opentracing::Tracer& tracer;
};

/// Serves the RPCs of entries for one upstream and forwards their work to it.
class Agent final : public NodeService {
 public:
  Agent(AgentIdentity identity, const AgentContext& context);
  ~Agent() override;

  ExchangeReply Exchange(const DocumentVersions& sender_versions) override;
  std::optional<Document> FetchDocument(DocumentKind kind) override;
  std::unique_ptr<WorkHandle> Execute(
      const Work& work, const DocumentVersions& sender_versions,
      const std::shared_ptr<WorkSink>& sink) override;
  SettleReply Settle(const RequestId& id,
                     const IncarnationId& incarnation) override;
  void Fence(std::uint64_t epoch) override;

  /// Starts admitting work. To be called once the agent's row is in the table
  /// and the allowance epoch was read after the row was written.
  /// @param fencing_token  sent with every order to the engine.
  void SetRegistered(std::uint64_t fencing_token);
  /// Refuses new and queued work, and calls `on_drained` when no work is
  /// running any more.
  void Drain(std::function<void()> on_drained);
  /// @returns why the agent admits no work, or "" if it is ready.
  [[nodiscard]] std::string NotReadyReason() const;
  /// @returns the agent's state as JSON, for operators.
  [[nodiscard]] std::string StatusJson() const;

 private:
  friend class RunningWork;
  class Handle;

  /// Work that waits in the queue, with what is needed to run or refuse it.
  struct QueuedWork {
    Work work;
    std::shared_ptr<WorkSink> sink;
    std::unique_ptr<opentracing::Span> span;
    TimePoint queued_at;
  };

  void HandleDocument(const Document& document);
  void Configure(const Configuration& configuration);
  void SetPlannedModels();
  /// @returns whether operators drained this upstream or its data centre.
  [[nodiscard]] bool IsUpstreamDrained() const noexcept;
  void Admit(Work work, const std::shared_ptr<WorkSink>& sink);
  [[nodiscard]] Refusal CheckAdmission(const Work& work) const;
  void Refuse(const std::shared_ptr<WorkSink>& sink, Refusal refusal,
              std::string message = {});
  void RefuseQueued(const RequestId& id, Refusal refusal);
  void StartQueuedWork();
  void Run(QueuedWork queued);
  /// Called when an entry drops its WorkHandle. Cancels the work if it has not
  /// started or is idempotent; otherwise it continues without a sink.
  void CancelOrDetach(const RequestId& id, bool idempotent);
  void FinishRunning(RunningWork& work);
  /// Refuses queued work and aborts running idempotent work whose key is no
  /// longer valid.
  void CancelWorkWithWithdrawnKeys();
  void RefuseAllQueued();
  [[nodiscard]] bool IsKeyValid(const Work& work) const;
  [[nodiscard]] AgentLoad CurrentLoad() const noexcept;
  [[nodiscard]] bool IsPlainService() const noexcept;

  AgentIdentity m_identity;
  AgentContext m_context;
  std::optional<Configuration> m_configuration;
  std::optional<KeySet> m_keys;
  DrainSet m_drains;
  std::optional<Placement> m_placement;
  const UpstreamSettings* m_settings = nullptr;
  ConcurrencyLimit m_limit;
  AdmissionQueue m_queue;
  AttemptLedger m_ledger;
  std::unique_ptr<EngineModelManager> m_model_manager;
  /// The work in m_queue by id. Both always contain the same ids.
  std::map<RequestId, QueuedWork> m_queued_work;
  std::map<RequestId, std::unique_ptr<RunningWork>> m_running;
  /// Work of an organisation that carries an older allowance epoch is refused.
  std::uint64_t m_min_epoch = 0;
  bool m_is_registered = false;
  std::uint64_t m_fencing_token = 0;
  bool m_is_draining = false;
  std::function<void()> m_on_drained;
  std::unique_ptr<Timer> m_expiry_timer;
};

}  // namespace bambooquay
