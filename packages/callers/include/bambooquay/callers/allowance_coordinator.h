// Manages the allowance's epoch: monitors the other entries, starts a new epoch
// with newly assigned shares when an entry has left or joined, and activates it
// only after every agent refuses work of the old epoch.
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

/// Dependencies of an AllowanceCoordinator; all must outlive it.
struct AllowanceCoordinatorContext {
  EventLoop& loop;
  Membership& membership;
  NodePool& pool;
  DocumentSet& documents;
  DocumentRepository& repository;
  TableService& table;
};

/// Each entry has one. Any entry that detects the need for a new epoch proposes
/// it; the table's conditional write accepts only one of competing proposals.
class AllowanceCoordinator final : public AllowanceTransport {
 public:
  AllowanceCoordinator(InstanceId instance, IncarnationId incarnation,
                       const AllowanceCoordinatorContext& context);
  ~AllowanceCoordinator() override;

  [[nodiscard]] AllowanceLedger& ledger() noexcept { return m_ledger; }
  [[nodiscard]] AllowanceGate& gate() noexcept { return m_gate; }

  // AllowanceTransport:
  void Ask(const AllowanceAsk& ask,
           std::function<void(std::optional<AllowanceTransfer>)> done) override;
  void SchedulePoll(Duration delay) override;

 private:
  struct PeerState {
    /// Empty until the peer has replied.
    IncarnationId incarnation;
    /// Time of the last reply, or of the first ping before any reply.
    TimePoint last_reply_at;
    bool was_pinged = false;
    std::unique_ptr<RpcCall> ping_call;
  };
  struct PendingRequest {
    std::unique_ptr<RpcCall> call;
    std::unique_ptr<Timer> timeout;
  };

  void HandleDocument(const Document& document);
  void Tick();
  /// Pings the entries of WatchedPeers().
  void PingWatchedPeers();
  void Ping(const Instance& peer);
  /// Pings every listed entry that is not in `members` to learn its
  /// incarnation, so that one epoch can admit all of them.
  void PingJoiners(const std::vector<AllowanceMember>& members);
  /// @returns the entries in the instance list, ordered by id.
  [[nodiscard]] std::vector<Instance> ListedEntries() const;
  /// @returns the entries that follow this one in the order of ids, wrapping
  ///   around.
  [[nodiscard]] std::vector<Instance> WatchedPeers() const;
  /// Continues the fencing of the current epoch, or proposes a new epoch if the
  /// members have changed.
  void AdvanceEpochIfNeeded();
  /// @returns the members of the next epoch, or nothing if none is due.
  [[nodiscard]] std::optional<std::vector<AllowanceMember>>
  ComputeChangedMembers();
  void ProposeEpoch(std::vector<AllowanceMember> members);
  /// Fetches the registered agents and fences those that have not yet
  /// acknowledged the current epoch.
  void ContinueFencing();
  void FenceAgents(std::map<UpstreamId, Endpoint> agents);
  void FenceAgent(const UpstreamId& upstream, const Endpoint& peer,
                  std::uint64_t epoch);
  /// Publishes the active phase of the epoch once every agent is fenced.
  void ActivateIfFenced();
  void PublishState(const AllowanceState& state);
  /// Runs the callback of a request for part of a share, once.
  void CompleteRequest(std::uint64_t id,
                       std::optional<AllowanceTransfer> transfer);

  InstanceId m_instance;
  IncarnationId m_incarnation;
  AllowanceCoordinatorContext m_context;
  AllowanceLedger m_ledger;
  AllowanceGate m_gate;
  std::map<InstanceId, PeerState> m_peers;
  /// Whether a write of the allowance document is in flight.
  bool m_is_publishing = false;
  /// Whether a query for the registered agents is in flight.
  bool m_is_querying = false;
  TimePoint m_state_received_at;
  /// Whether new entries were pinged since the allowance document last changed.
  bool m_joiners_pinged = false;
  /// Agents that have not yet acknowledged m_fencing_epoch.
  std::set<UpstreamId> m_unfenced_agents;
  /// Agents that have acknowledged m_fencing_epoch.
  std::set<UpstreamId> m_fenced_agents;
  /// The epoch for which this entry fences the agents; 0 for none.
  std::uint64_t m_fencing_epoch = 0;
  std::map<UpstreamId, std::unique_ptr<RpcCall>> m_fence_calls;
  std::uint64_t m_next_request_id = 0;
  std::map<std::uint64_t, PendingRequest> m_pending_requests;
  std::map<std::uint64_t, std::function<void(std::optional<AllowanceTransfer>)>>
      m_request_callbacks;
  std::unique_ptr<Timer> m_poll_timer;
  TimePoint m_poll_at{};
  std::unique_ptr<Timer> m_tick_timer;
};

}  // namespace bambooquay
