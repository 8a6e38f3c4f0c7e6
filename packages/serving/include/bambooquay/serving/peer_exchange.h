// Exchanges datagrams with the other entries and with the engines' agents.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bambooquay/peers/status_messages.h"
#include "bambooquay/runtime/datagram_socket.h"
#include "bambooquay/serving/entry_permits.h"
#include "bambooquay/serving/forwarded_call.h"
#include "bambooquay/serving/placement_planner.h"
#include "bambooquay/serving/report_pace.h"

namespace bambooquay {

/// What this entry knows of another entry.
struct PeerEntry {
  Endpoint address;
  std::uint64_t incarnation = 0;  ///< 0 until the first status arrives.
  std::optional<TimePoint> last_heard_at;
  TimePoint discovered_at{};
  EntryStatus status;  ///< The last one received.
};

/// Sends this entry's status to the other entries, detects which of them are
/// silent, and sends targets and the requests that calls make to the agents.
class PeerExchange final : public AgentClient {
 public:
  using EngineStatusHandler = std::function<void(const EngineStatus&)>;

  PeerExchange(EventLoop& loop, InstanceId self, FleetAllowance& allowance,
               UpstreamSet& upstreams);

  [[nodiscard]] bool Bind(const Endpoint& endpoint);
  /// Adds a peer, or updates its address.
  void PutPeer(const InstanceId& id, const Endpoint& address);
  void RemovePeer(const InstanceId& id);
  /// Adds an address at which another entry may be found as long as no peer
  /// is known.
  void AddSeed(const Endpoint& address) { m_seeds.push_back(address); }
  /// @returns the address of a peer that is not silent, a different one at each
  ///   call; nothing if there is none.
  [[nodiscard]] std::optional<Endpoint> NextLivePeer();
  /// Sets the function that makes the status to send.
  void SetStatusSource(std::function<EntryStatus()> make_status) {
    m_make_status = std::move(make_status);
  }
  /// Sets the handler for the first status of a new incarnation of an entry.
  void OnPeerFound(std::function<void()> handler) {
    m_on_peer_found = std::move(handler);
  }
  /// Sets the handler for what another entry reports of prompts' parts.
  void OnPromptParts(std::function<void(const PromptPartReports&)> handler) {
    m_on_prompt_parts = std::move(handler);
  }
  /// Sets the handler for what another entry reports of upstreams' call limits.
  void OnCallLimits(
      std::function<void(const std::vector<CallLimitReport>&)> handler) {
    m_on_call_limits = std::move(handler);
  }
  /// Sets the handler for what another entry reports of software versions.
  void OnStreamVersions(
      std::function<void(const std::vector<StreamVersionReport>&)> handler) {
    m_on_stream_versions = std::move(handler);
  }
  void OnEngineStatus(EngineStatusHandler handler) {
    m_on_engine_status = std::move(handler);
  }
  /// Sets the handler for other entries' messages on the duties.
  void OnDutyMessage(std::function<void(const StatusMessage&)> handler) {
    m_on_duty_message = std::move(handler);
  }
  /// Sends a message to another entry, if it is known.
  void SendTo(const InstanceId& peer, decltype(StatusMessage::body) body);
  /// Sends a message to all other entries.
  void SendToAll(decltype(StatusMessage::body) body);
  /// @returns the number that identifies this run of the process.
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return m_incarnation;
  }
  /// Sends this entry's status now, in addition to the periodic ones.
  void SendStatus();
  /// Announces this entry to the agent of an engine, so that the agent starts
  /// to report to it.
  void AnnounceTo(const UpstreamId& upstream);
  /// Announces this entry to the agents of all engines, and sends each its
  /// target if `targets` has one.
  void SendTargets(const PlacementTargets& targets);

  void RequestAdapterLoad(const UpstreamId& upstream, const ModelName& model,
                          const AdapterName& adapter,
                          std::function<void(bool)> done) override;
  void RequestPermit(const UpstreamId& upstream, const PermitBounds& bounds,
                     std::function<void(bool, Duration)> done) override;
  void RequestRoom(const RoomRequest& request,
                   std::function<void(const RoomOutcome&)> done) override;
  void ReleaseRoom(const RoomRelease& release) override;

  /// @returns the number of entries that may be serving, this one included.
  [[nodiscard]] std::size_t member_count() const;
  /// @returns the number of entries known, including this one, silent ones and
  ///   leaving ones.
  [[nodiscard]] std::size_t known_count() const noexcept {
    return 1 + m_peers.size();
  }
  /// @returns the entries that may be serving, this one included.
  [[nodiscard]] std::vector<InstanceId> Members() const;
  /// @returns those of them that are not silent.
  [[nodiscard]] std::vector<InstanceId> LiveMembers() const;
  /// @returns whether this entry plans placement: its id is lower than those of
  ///   all peers that are neither silent nor draining.
  [[nodiscard]] bool IsPlanner() const;
  [[nodiscard]] const std::map<InstanceId, PeerEntry>& peers() const noexcept {
    return m_peers;
  }
  [[nodiscard]] bool IsSilent(const PeerEntry& peer) const;

 private:
  /// A request to load an adapter that has had no reply yet.
  struct PendingLoad {
    AdapterRequest request;
    Endpoint agent;
    std::vector<std::function<void(bool)>> done;
    int attempts = 0;
    TimePoint sent_at{};
  };

  /// The last announcement to one agent.
  struct Announcement {
    TimePoint sent_at{};
    Duration report_period{};
  };

  /// A request for a permit that has had no reply yet.
  struct PendingPermit {
    TimePoint sent_at{};
    std::function<void(bool, Duration)> done;
  };

  /// A request for room that has had no final reply yet.
  struct PendingRoom {
    RequestId call;
    UpstreamId upstream;
    Duration max_wait{};
    TimePoint unanswered_at{};
    std::function<void(const RoomOutcome&)> done;
  };

  void Receive(const Endpoint& sender_address, std::string_view bytes);
  void HandleEntryStatus(const Endpoint& sender_address,
                         const StatusMessage& message,
                         const EntryStatus& status);
  void HandleReply(const AdapterReply& reply);
  void HandleReply(const PermitReply& reply);
  void ExpirePermitRequests(TimePoint now);
  void HandleReply(const RoomReply& reply);
  void ExpireRoomRequests(TimePoint now);
  void Tick();
  /// Issues permits within this entry's own share only, after a pause in which
  /// others may have counted it as silent.
  void LeavePermitsAfterPause();
  void ResendLoadRequests(TimePoint now);
  void Send(const Endpoint& to, const StatusMessage& message);
  /// @returns the address of the agent beside an upstream, or nothing if the
  ///   upstream is not known.
  [[nodiscard]] std::optional<Endpoint> AgentAddress(
      const UpstreamId& id) const;
  [[nodiscard]] Endpoint AgentAddress(const Upstream& upstream) const;
  /// @returns where to request permits for an upstream: its agent, or the entry
  ///   that issues them. Nothing if that is this entry.
  [[nodiscard]] std::optional<Endpoint> PermitIssuerAddress(
      const Upstream& upstream) const;
  [[nodiscard]] static std::string IncarnationKey(const InstanceId& id,
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
  std::function<void()> m_on_peer_found;
  std::function<void(const PromptPartReports&)> m_on_prompt_parts;
  std::function<void(const std::vector<CallLimitReport>&)> m_on_call_limits;
  std::function<void(const std::vector<StreamVersionReport>&)>
      m_on_stream_versions;
  EngineStatusHandler m_on_engine_status;
  std::function<void(const StatusMessage&)> m_on_duty_message;
  /// Ordered by id, because the live entry with the lowest id plans placement.
  std::map<InstanceId, PeerEntry> m_peers;
  std::vector<Endpoint> m_seeds;
  std::unordered_map<UpstreamId, Announcement> m_announcements;
  std::size_t m_next_live_peer = 0;
  std::uint64_t m_next_request_id = 1;
  std::map<std::uint64_t, PendingLoad> m_pending_loads;
  std::map<std::uint64_t, PendingPermit> m_pending_permits;
  std::map<std::uint64_t, PendingRoom> m_pending_rooms;
  EntryPermits m_entry_permits;
  TimePoint m_last_tick_at{};
  /// Others know again from then on that this entry is not silent.
  TimePoint m_rejoined_at{};
  std::unique_ptr<Timer> m_status_timer;
  std::unique_ptr<Timer> m_request_timer;
};

}  // namespace bambooquay
