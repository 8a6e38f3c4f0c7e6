// Keeps the allowance's epoch: watches the other entries, deals shares anew
// when one is gone or new, and has every agent refuse the old epoch first.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bambooquay/core/allowance_gate.h"
#include "bambooquay/core/allowance_ledger.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/peers/membership.h"
#include "bambooquay/peers/node_pool.h"
#include "bambooquay/platform/document_repository.h"
#include "bambooquay/platform/table_service.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// What a keeper works with; all must outlive it.
struct AllowanceKeeperContext {
  EventLoop& loop;
  Membership& membership;
  NodePool& pool;
  DocumentSet& documents;
  DocumentRepository& repository;
  TableService& table;
};

/// One for each entry. An epoch is proposed by whoever notices the need; the
/// table's conditional write lets one proposal win.
class AllowanceKeeper final : public AllowanceTransport {
 public:
  AllowanceKeeper(InstanceId instance, IncarnationId incarnation,
                  const AllowanceKeeperContext& context);
  ~AllowanceKeeper() override;

  [[nodiscard]] AllowanceLedger& ledger() noexcept { return m_ledger; }
  [[nodiscard]] AllowanceGate& gate() noexcept { return m_gate; }

  // AllowanceTransport:
  void Ask(const AllowanceAsk& ask,
           std::function<void(std::optional<AllowanceTransfer>)> done) override;
  void SchedulePoll(Duration delay) override;

 private:
  struct PeerState {
    IncarnationId incarnation;
    TimePoint answered_at;
    bool asked = false;
    std::unique_ptr<RpcCall> ping;
  };
  struct PendingAsk {
    std::unique_ptr<RpcCall> call;
    std::unique_ptr<Timer> timeout;
  };

  void HandleDocument(const Document& document);
  void Tick();
  void PingWatched();
  void Ping(const Instance& peer);
  void PingJoiners(const std::vector<AllowanceMember>& members);
  [[nodiscard]] std::vector<Instance> LiveEntries() const;
  [[nodiscard]] std::vector<Instance> Watched() const;
  void ConsiderEpoch();
  [[nodiscard]] std::optional<std::vector<AllowanceMember>> NeededMembers();
  void Propose(std::vector<AllowanceMember> members);
  void ContinueFencing();
  void FenceAgents(std::map<UpstreamId, Endpoint> agents);
  void FenceAgent(const UpstreamId& upstream, const Endpoint& peer,
                  std::uint64_t epoch);
  void ActivateIfFenced();
  void PublishState(const AllowanceState& state);
  void AnswerAsk(std::uint64_t id, std::optional<AllowanceTransfer> transfer);

  InstanceId m_instance;
  IncarnationId m_incarnation;
  AllowanceKeeperContext m_context;
  AllowanceLedger m_ledger;
  AllowanceGate m_gate;
  std::map<InstanceId, PeerState> m_peers;
  bool m_publishing = false;
  bool m_querying = false;
  TimePoint m_state_since;
  /// Whether new entries were asked who they are since the last change.
  bool m_joiners_asked = false;
  /// Agents that have not yet acknowledged the epoch being fenced.
  std::set<UpstreamId> m_unfenced;
  std::set<UpstreamId> m_fenced;
  /// The epoch that this entry is fencing; 0 for none.
  std::uint64_t m_fencing_epoch = 0;
  std::map<UpstreamId, std::unique_ptr<RpcCall>> m_fence_calls;
  std::uint64_t m_next_ask = 0;
  std::map<std::uint64_t, PendingAsk> m_asks;
  std::map<std::uint64_t, std::function<void(std::optional<AllowanceTransfer>)>>
      m_ask_callbacks;
  std::unique_ptr<Timer> m_wake;
  TimePoint m_wake_at{};
  std::unique_ptr<Timer> m_tick;
};

}  // namespace bambooquay
