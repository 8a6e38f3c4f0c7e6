// An entry's exchange with the other entries and with the engines' agents.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/peers/status_messages.h"
#include "bambooquay/runtime/datagram_socket.h"
#include "bambooquay/serving/forwarded_call.h"
#include "bambooquay/serving/placement_planner.h"

namespace bambooquay {

/// Another entry.
struct PeerEntry {
  Endpoint address;
  std::uint64_t incarnation = 0;
  std::optional<TimePoint> heard_at;
  TimePoint known_since{};
  EntryStatus status;
};

/// Sends the own status to the entries that are members, tells silent peers
/// from live ones, and carries to agents what calls ask of them.
class PeerExchange final : public EngineAgents {
 public:
  using EngineStatusHandler = std::function<void(const EngineStatus&)>;

  PeerExchange(EventLoop& loop, InstanceId self, FleetAllowance& allowance,
               UpstreamSet& upstreams);

  [[nodiscard]] bool Bind(const Endpoint& endpoint);
  /// Adds or moves a peer that the store lists as a member.
  void PutMember(const InstanceId& id, const Endpoint& address);
  void RemoveMember(const InstanceId& id);
  /// Adds an address where an entry may be found before the store lists any.
  void AddSeed(const Endpoint& address) { m_seeds.push_back(address); }
  /// @returns the address of a peer that was heard of lately.
  [[nodiscard]] std::optional<Endpoint> AnyLivePeer();
  /// Fills in the status that is sent.
  void OnStatus(std::function<EntryStatus()> make_status) {
    m_make_status = std::move(make_status);
  }
  /// Called when another life of an entry is heard for the first time.
  void OnPeerFound(std::function<void()> handler) {
    m_peer_found = std::move(handler);
  }
  void OnEngineStatus(EngineStatusHandler handler) {
    m_engine_status = std::move(handler);
  }
  /// Sends the own status now, besides the regular times.
  void SendStatus();
  /// Tells the agent of one engine of this entry, so that it reports.
  void Greet(const UpstreamId& upstream);
  /// Tells each engine's agent of this entry, and of its target if given.
  void SendTargets(const PlacementTargets& targets);

  void Load(const UpstreamId& upstream, const ModelName& model,
            const AdapterName& adapter,
            std::function<void(bool)> done) override;
  void AskPermit(const UpstreamId& upstream,
                 std::function<void(bool, Duration)> done) override;

  /// @returns the number of entries that may be serving, this one included.
  [[nodiscard]] std::size_t member_count() const;
  /// @returns those entries.
  [[nodiscard]] std::vector<InstanceId> Members() const;
  /// @returns whether this entry's id is the lowest of those that are heard.
  [[nodiscard]] bool IsPlanner() const;
  [[nodiscard]] const std::map<InstanceId, PeerEntry>& peers() const noexcept {
    return m_peers;
  }
  [[nodiscard]] bool IsSilent(const PeerEntry& peer) const;

 private:
  struct PendingLoad {
    AdapterRequest request;
    Endpoint agent;
    std::vector<std::function<void(bool)>> done;
    int sent = 0;
    TimePoint sent_at{};
  };

  struct PendingPermit {
    TimePoint asked_at{};
    std::function<void(bool, Duration)> done;
  };

  void Receive(const Endpoint& from, std::string_view bytes);
  void HandleEntry(const Endpoint& from, const StatusMessage& message,
                   const EntryStatus& status);
  void HandleReply(const AdapterReply& reply);
  void HandleReply(const PermitReply& reply);
  void ExpirePermits();
  void Tick();
  void RepeatLoads();
  void Send(const Endpoint& to, const StatusMessage& message);
  /// @returns the address of the agent beside an upstream, if it is known.
  [[nodiscard]] std::optional<Endpoint> AgentOf(const UpstreamId& id) const;
  [[nodiscard]] Endpoint AgentOf(const Upstream& upstream) const;
  [[nodiscard]] static std::string LifeOf(const InstanceId& id,
                                          std::uint64_t incarnation);

  EventLoop& m_loop;
  InstanceId m_self;
  std::uint64_t m_incarnation;
  TimePoint m_started_at;
  FleetAllowance& m_allowance;
  UpstreamSet& m_upstreams;
  DatagramSocket m_socket;
  std::uint16_t m_port = 0;
  std::function<EntryStatus()> m_make_status;
  std::function<void()> m_peer_found;
  EngineStatusHandler m_engine_status;
  /// In the order of ids: the first live one plans placement.
  std::map<InstanceId, PeerEntry> m_peers;
  std::vector<Endpoint> m_seeds;
  std::size_t m_next_live_peer = 0;
  std::uint64_t m_next_request = 1;
  std::map<std::uint64_t, PendingLoad> m_loads;
  std::map<std::uint64_t, PendingPermit> m_permits;
  std::unique_ptr<Timer> m_status_timer;
  std::unique_ptr<Timer> m_request_timer;
};

}  // namespace bambooquay
