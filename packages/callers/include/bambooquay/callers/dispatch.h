// Runs one request on an upstream: selects the upstream, retries where that is
// safe, and asks the agent for the outcome of an attempt whose reply was lost.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "bambooquay/callers/upstream_directory.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/core/upstream_selector.h"
#include "bambooquay/core/work.h"
#include "bambooquay/peers/node_client.h"
#include "bambooquay/peers/node_pool.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/metrics.h"

namespace bambooquay {

/// Dependencies shared by all dispatches; all must outlive them.
struct DispatchContext {
  EventLoop& loop;
  NodePool& pool;
  const UpstreamDirectory& directory;
  UpstreamSelector& selector;
  DocumentSet& documents;
  Metrics& metrics;
  /// Last known incarnation of each agent.
  std::unordered_map<UpstreamId, IncarnationId>& incarnations;
};

/// An attempt about to be made.
struct PlannedAttempt {
  RequestId id;
  UpstreamId upstream;
  /// Incarnation of the agent that the attempt is meant for; empty for any.
  IncarnationId agent_incarnation;
};

/// Receives the events of one dispatch.
class DispatchObserver {
 public:
  DispatchObserver() = default;
  DispatchObserver(const DispatchObserver&) = delete;
  DispatchObserver& operator=(const DispatchObserver&) = delete;
  virtual ~DispatchObserver() = default;

  /// Called before each attempt, so that the observer can record it first.
  /// @param proceed  to be called with true to make the attempt, or with false
  ///   to end the dispatch with the outcome not_run.
  virtual void OnPlanned(const PlannedAttempt& attempt,
                         std::function<void(bool)> proceed) = 0;
  virtual void OnHead(int status, std::string_view content_type) = 0;
  /// @param on_consumed  to be called once the bytes have reached the caller;
  ///   until then the agent holds back further parts.
  virtual void OnPart(std::string_view bytes,
                      std::function<void()> on_consumed) = 0;
  /// The head and the parts received so far belong to a failed attempt and are
  /// to be discarded. Called before the next attempt, and before a stored
  /// response is delivered; only while `CanRestart` returns true.
  virtual void OnRestart() = 0;
  /// @returns whether the parts received so far can still be discarded.
  [[nodiscard]] virtual bool CanRestart() const = 0;
  /// The dispatch has ended; no other call follows.
  virtual void OnDone(const WorkResult& result) = 0;
};

/// Makes the attempts for one request. Work that is not idempotent is retried
/// only if the previous attempt is known not to have run.
class Dispatch final : private WorkObserver {
 public:
  Dispatch(const DispatchContext& context, Work work,
           DispatchObserver& observer);
  ~Dispatch() override;

  void Start();
  [[nodiscard]] const UpstreamId& upstream() const noexcept {
    return m_upstream;
  }

 private:
  /// Selects the next upstream and starts an attempt, or ends the dispatch.
  void TryNextUpstream();
  /// Sets the agent's incarnation in the work, fetching it if it is not known.
  void ResolveIncarnation();
  /// Announces the attempt to the observer and then executes it.
  void PlanAttempt();
  void Execute();
  void OnHead(int status, std::string_view content_type) override;
  void OnPart(std::string_view bytes,
              std::function<void()> on_consumed) override;
  void OnResult(const RpcResult<WorkResult>& result) override;
  void HandleResult(const WorkResult& result);
  void HandleLostReply(const RpcFailure& failure);
  /// Asks the agent for the outcome of the attempt whose reply was lost. An
  /// attempt that hasn't started is refused from then on.
  void Settle();
  void HandleSettleReply(const RpcResult<SettleReply>& result);
  /// Asks again after a delay, or gives up if `limit` has passed since the
  /// reply was lost.
  void RetrySettle(Duration limit);
  /// Passes the response that the agent stored to the observer.
  void DeliverStoredResponse(const SettleReply& reply);
  void Retry(const WorkResult& result);
  void RecordAttemptEnd();
  void Finish(const WorkResult& result);
  /// @returns the connection to the agent, or nullptr if it isn't listed.
  [[nodiscard]] NodeClient* FindClient();

  DispatchContext m_context;
  Work m_work;
  DispatchObserver& m_observer;
  /// Upstreams tried in the current round.
  std::set<UpstreamId> m_tried_upstreams;
  UpstreamId m_upstream;
  /// Whether the selector counts an attempt as in flight.
  bool m_is_in_flight = false;
  bool m_is_done = false;
  int m_attempt_count = 0;
  /// Reported if no further attempt is made.
  WorkResult m_last_result;
  /// No attempt starts after this time.
  TimePoint m_deadline;
  TimePoint m_settle_started_at;
  std::unique_ptr<RpcCall> m_call;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bambooquay
