// Exchanges datagrams with the other entries and with the engines' agents.
#include "bambooquay/serving/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// Interval at which an entry sends its status, which includes what it has
// spent.
constexpr Duration kStatusPeriod = milliseconds(150);
// A peer is silent if nothing has arrived from it for this long, which is
// just over five status periods.
constexpr Duration kSilentAfter = milliseconds(800);
// After a pause of this length others may count this entry as silent and share
// out its part of the permits, until its next statuses have arrived.
constexpr Duration kNotablePause = kSilentAfter - kStatusPeriod;
constexpr Duration kRejoinTime = 2 * kStatusPeriod;
// A silent peer is assumed to go on spending its share for this long, and is
// then removed. Network partitions are shorter than this.
constexpr Duration kRemoveSilentAfter = std::chrono::seconds(30);
// A request to load an adapter is sent again after this time without a reply.
// Loading takes some milliseconds.
constexpr Duration kLoadResendInterval = milliseconds(60);
constexpr int kMaxLoadAttempts = 8;
// An agent replies within some milliseconds. Without a reply, the call looks
// for another engine, and the agent is not asked again for kPermitRetryDelay.
constexpr Duration kPermitTimeout = milliseconds(60);
constexpr Duration kPermitRetryDelay = milliseconds(200);
// An agent replies to a request for room within some milliseconds, also if the
// call has to wait. Its last reply may come so much later than announced.
constexpr Duration kRoomTimeout = milliseconds(60);

bool IsDutyMessage(const StatusMessage& message) {
  return std::holds_alternative<DutyNotice>(message.body) ||
         std::holds_alternative<UsageCounts>(message.body) ||
         std::holds_alternative<UsageReceipt>(message.body);
}

}  // namespace

PeerExchange::PeerExchange(EventLoop& loop, InstanceId self,
                           FleetAllowance& allowance, UpstreamSet& upstreams)
    : m_loop(loop),
      m_self(std::move(self)),
      m_incarnation(MakeRandomNumber()),
      m_started_at(loop.clock().Now()),
      m_allowance(allowance),
      m_upstreams(upstreams),
      m_socket(loop,
               [this](const Endpoint& sender_address, std::string_view bytes) {
                 Receive(sender_address, bytes);
               }),
      m_entry_permits(loop.clock(), m_self) {}

bool PeerExchange::Bind(const Endpoint& endpoint) {
  m_port = endpoint.port;
  m_last_tick_at = m_loop.clock().Now();
  m_status_timer = m_loop.Every(kStatusPeriod, [this] { Tick(); });
  m_request_timer =
      m_loop.EveryAfterInput(kLoadResendInterval / 2, [this](TimePoint now) {
        ResendLoadRequests(now);
        ExpirePermitRequests(now);
        ExpireRoomRequests(now);
      });
  return m_socket.Bind(endpoint);
}

std::string PeerExchange::IncarnationKey(const InstanceId& id,
                                         std::uint64_t incarnation) {
  return id.value() + "#" + std::to_string(incarnation);
}

void PeerExchange::PutPeer(const InstanceId& id, const Endpoint& address) {
  if (id == m_self) {
    return;
  }
  const auto [found, is_new] = m_peers.try_emplace(id);
  if (is_new) {
    found->second.discovered_at = m_loop.clock().Now();
  }
  found->second.address = address;
}

void PeerExchange::RemovePeer(const InstanceId& id) {
  const auto found = m_peers.find(id);
  if (found == m_peers.end()) {
    return;
  }
  m_allowance.RemovePeer(IncarnationKey(id, found->second.incarnation));
  m_peers.erase(found);
}

bool PeerExchange::IsSilent(const PeerEntry& peer) const {
  return !peer.last_heard_at.has_value() ||
         m_loop.input_clock().Now() - *peer.last_heard_at > kSilentAfter;
}

std::size_t PeerExchange::member_count() const {
  return 1 + static_cast<std::size_t>(std::ranges::count_if(
                 m_peers,
                 [](const auto& item) { return !item.second.status.leaving; }));
}

std::vector<InstanceId> PeerExchange::Members() const {
  std::vector<InstanceId> members{m_self};
  for (const auto& [id, peer] : m_peers) {
    if (!peer.status.leaving) {
      members.push_back(id);
    }
  }
  return members;
}

std::vector<InstanceId> PeerExchange::LiveMembers() const {
  std::vector<InstanceId> members = Members();
  std::erase_if(members, [this](const InstanceId& id) {
    return id != m_self && IsSilent(m_peers.at(id));
  });
  return members;
}

void PeerExchange::LeavePermitsAfterPause() {
  const TimePoint now = m_loop.clock().Now();
  if (now - m_last_tick_at > kNotablePause) {
    m_rejoined_at = now + kRejoinTime;
    m_entry_permits.SetEntries({m_self}, member_count());
  }
}

bool PeerExchange::IsPlanner() const {
  return std::ranges::none_of(m_peers, [this](const auto& item) {
    return item.first < m_self && !IsSilent(item.second) &&
           !item.second.status.leaving;
  });
}

void PeerExchange::Tick() {
  const TimePoint now = m_loop.input_clock().Now();
  std::vector<InstanceId> expired;
  for (auto& [id, peer] : m_peers) {
    const bool silent = IsSilent(peer);
    const TimePoint silent_since =
        peer.last_heard_at.value_or(peer.discovered_at);
    if (silent && now - silent_since > kRemoveSilentAfter) {
      expired.push_back(id);
      continue;
    }
    m_allowance.SetPeerSilent(IncarnationKey(id, peer.incarnation),
                              silent && !peer.status.leaving);
  }
  for (const InstanceId& id : expired) {
    LogEvent(LogLevel::kWarning, "peer_forgotten").With("peer", id.value());
    RemovePeer(id);
  }
  m_allowance.SetMemberCount(member_count());
  LeavePermitsAfterPause();
  m_last_tick_at = m_loop.clock().Now();
  if (m_last_tick_at >= m_rejoined_at) {
    m_entry_permits.SetEntries(LiveMembers(), member_count());
  }
  m_entry_permits.RemoveUnused();
  SendStatus();
}

void PeerExchange::SendStatus() {
  EntryStatus status = m_make_status();
  status.uptime = m_loop.clock().Now() - m_started_at;
  const auto planner = std::ranges::find_if(m_peers, [this](const auto& item) {
    return !IsSilent(item.second) && !item.second.status.leaving;
  });
  if (planner != m_peers.end()) {
    m_socket.Send(planner->second.address,
                  EncodeStatus({m_self, m_incarnation, status}));
  }
  status.demand.clear();
  const std::string bytes = EncodeStatus({m_self, m_incarnation, status});
  for (auto peer = m_peers.begin(); peer != m_peers.end(); ++peer) {
    if (peer != planner) {
      m_socket.Send(peer->second.address, bytes);
    }
  }
  // Seeds are needed only while no peer is reachable.
  const bool all_silent = std::ranges::all_of(
      m_peers, [this](const auto& item) { return IsSilent(item.second); });
  if (all_silent) {
    std::ranges::for_each(
        m_seeds, [&](const Endpoint& seed) { m_socket.Send(seed, bytes); });
  }
}

std::optional<Endpoint> PeerExchange::NextLivePeer() {
  std::vector<Endpoint> live;
  for (const auto& [id, peer] : m_peers) {
    if (!IsSilent(peer)) {
      live.push_back(peer.address);
    }
  }
  if (live.empty()) {
    return std::nullopt;
  }
  return live[m_next_live_peer++ % live.size()];
}

void PeerExchange::AnnounceTo(const UpstreamId& upstream) {
  const auto agent = AgentAddress(upstream);
  if (agent.has_value()) {
    Send(*agent,
         {m_self, m_incarnation, EngineTarget{upstream, std::nullopt, {}}});
  }
}

void PeerExchange::SendTargets(const PlacementTargets& targets) {
  const ReportPace pace(static_cast<std::size_t>(std::ranges::count_if(
      m_upstreams.all(),
      [](const auto& item) { return item.second.has_engine; })));
  const TimePoint now = m_loop.clock().Now();
  for (const auto& [id, upstream] : m_upstreams.all()) {
    if (!upstream.has_engine || upstream.superseded) {
      continue;
    }
    EngineTarget target;
    target.upstream = id;
    const auto planned = targets.find(id);
    if (planned != targets.end()) {
      target.models = planned->second;
    }
    // The entry that plans placement needs all reports.
    const bool wants_all = !targets.empty() || pace.IsInUse(upstream, now);
    target.report_period =
        wants_all ? Duration::zero() : pace.IdleReportPeriod();
    Announcement& last = m_announcements[id];
    if (target.models.has_value() ||
        last.report_period != target.report_period ||
        now - last.sent_at >= pace.RenewalPeriod()) {
      last = {now, target.report_period};
      Send(AgentAddress(upstream), {m_self, m_incarnation, std::move(target)});
    }
  }
  std::erase_if(m_announcements, [this](const auto& item) {
    return m_upstreams.Find(item.first) == nullptr;
  });
}

void PeerExchange::Send(const Endpoint& to, const StatusMessage& message) {
  m_socket.Send(to, EncodeStatus(message));
}

std::optional<Endpoint> PeerExchange::AgentAddress(const UpstreamId& id) const {
  const Upstream* upstream = m_upstreams.Find(id);
  if (upstream == nullptr) {
    return std::nullopt;
  }
  return AgentAddress(*upstream);
}

Endpoint PeerExchange::AgentAddress(const Upstream& upstream) const {
  return {upstream.record.address.host, m_port};
}

void PeerExchange::RequestAdapterLoad(const UpstreamId& upstream,
                                      const ModelName& model,
                                      const AdapterName& adapter,
                                      std::function<void(bool)> done) {
  const auto agent = AgentAddress(upstream);
  if (!agent.has_value()) {
    done(false);
    return;
  }
  const auto same =
      std::ranges::find_if(m_pending_loads, [&](const auto& item) {
        const AdapterRequest& request = item.second.request;
        return request.upstream == upstream && request.model == model &&
               request.adapter == adapter;
      });
  if (same != m_pending_loads.end()) {
    same->second.done.push_back(std::move(done));
    return;
  }
  PendingLoad load;
  load.request = {m_next_request_id++, upstream, model, adapter};
  load.agent = *agent;
  load.done.push_back(std::move(done));
  load.attempts = 1;
  load.sent_at = m_loop.clock().Now();
  Send(*agent, {m_self, m_incarnation, load.request});
  const std::uint64_t request_id = load.request.request_id;
  m_pending_loads.emplace(request_id, std::move(load));
}

void PeerExchange::ResendLoadRequests(TimePoint now) {
  std::vector<std::uint64_t> failed;
  for (auto& [request_id, load] : m_pending_loads) {
    if (now - load.sent_at < kLoadResendInterval) {
      continue;
    }
    if (load.attempts >= kMaxLoadAttempts) {
      failed.push_back(request_id);
      continue;
    }
    ++load.attempts;
    load.sent_at = now;
    Send(load.agent, {m_self, m_incarnation, load.request});
  }
  for (const std::uint64_t request_id : failed) {
    LogEvent(LogLevel::kInfo, "adapter_load_unanswered")
        .With("upstream",
              m_pending_loads.at(request_id).request.upstream.value());
    HandleReply(AdapterReply{request_id, false});
  }
}

void PeerExchange::HandleReply(const AdapterReply& reply) {
  auto load = m_pending_loads.extract(reply.request_id);
  if (!load.empty()) {
    std::ranges::for_each(load.mapped().done,
                          [&](const auto& done) { done(reply.loaded); });
  }
}

std::optional<Endpoint> PeerExchange::PermitIssuerAddress(
    const Upstream& upstream) const {
  if (upstream.has_engine) {
    return AgentAddress(upstream);
  }
  const auto issuer =
      m_peers.find(m_entry_permits.IssuerOf(upstream.record.id));
  return issuer == m_peers.end() ? std::nullopt
                                 : std::optional(issuer->second.address);
}

void PeerExchange::RequestPermit(const UpstreamId& id,
                                 const PermitBounds& bounds,
                                 std::function<void(bool, Duration)> done) {
  const Upstream* upstream = m_upstreams.Find(id);
  if (upstream == nullptr) {
    done(false, kPermitRetryDelay);
    return;
  }
  LeavePermitsAfterPause();
  const PermitRequest request{m_next_request_id++, id, bounds};
  const auto issuer = PermitIssuerAddress(*upstream);
  if (!issuer.has_value()) {
    const PermitReply reply = m_entry_permits.Issue(request);
    done(reply.granted, reply.wait);
    return;
  }
  m_pending_permits[request.request_id] = {m_loop.clock().Now(),
                                           std::move(done)};
  Send(*issuer, {m_self, m_incarnation, request});
}

void PeerExchange::ExpirePermitRequests(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [request_id, permit] : m_pending_permits) {
    if (now - permit.sent_at > kPermitTimeout) {
      expired.push_back(request_id);
    }
  }
  for (const std::uint64_t request_id : expired) {
    HandleReply(PermitReply{request_id, false, kPermitRetryDelay});
  }
}

void PeerExchange::HandleReply(const PermitReply& reply) {
  auto permit = m_pending_permits.extract(reply.request_id);
  if (permit.empty()) {
    return;
  }
  // A permit that arrives late is not used, as the agent has charged it to an
  // earlier time.
  const bool in_time =
      m_loop.clock().Now() - permit.mapped().sent_at <= kPermitTimeout;
  permit.mapped().done(reply.granted && in_time, reply.wait);
}

void PeerExchange::RequestRoom(const RoomRequest& request,
                               std::function<void(const RoomOutcome&)> done) {
  const auto agent = AgentAddress(request.upstream);
  if (!agent.has_value()) {
    done({RoomOutcome::Kind::kUnanswered, {}});
    return;
  }
  RoomRequest numbered = request;
  numbered.request_id = m_next_request_id++;
  if (request.max_wait > Duration::zero()) {
    m_pending_rooms[numbered.request_id] = {
        request.call, request.upstream, request.max_wait,
        m_loop.clock().Now() + kRoomTimeout, std::move(done)};
  }
  Send(*agent, {m_self, m_incarnation, std::move(numbered)});
}

void PeerExchange::ReleaseRoom(const RoomRelease& release) {
  std::erase_if(m_pending_rooms, [&](const auto& item) {
    return item.second.call == release.call &&
           item.second.upstream == release.upstream;
  });
  if (const auto agent = AgentAddress(release.upstream)) {
    Send(*agent, {m_self, m_incarnation, release});
  }
}

void PeerExchange::HandleReply(const RoomReply& reply) {
  const auto found = m_pending_rooms.find(reply.request_id);
  if (found == m_pending_rooms.end()) {
    return;
  }
  if (reply.queued) {
    found->second.unanswered_at =
        m_loop.clock().Now() + found->second.max_wait + kRoomTimeout;
    return;
  }
  auto room = m_pending_rooms.extract(found);
  room.mapped().done(
      {reply.granted ? RoomOutcome::Kind::kGranted : RoomOutcome::Kind::kDenied,
       reply.wait});
}

void PeerExchange::ExpireRoomRequests(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [request_id, room] : m_pending_rooms) {
    if (room.unanswered_at < now) {
      expired.push_back(request_id);
    }
  }
  for (const std::uint64_t request_id : expired) {
    auto room = m_pending_rooms.extract(request_id);
    // An earlier one may have released this one.
    if (!room.empty()) {
      room.mapped().done({RoomOutcome::Kind::kUnanswered, {}});
    }
  }
}

void PeerExchange::Receive(const Endpoint& sender_address,
                           std::string_view bytes) {
  const auto message = DecodeStatus(bytes);
  if (!message.has_value()) {
    LogEvent(LogLevel::kWarning, "datagram_unreadable")
        .With("from", sender_address.ToString());
    return;
  }
  if (const auto* entry = std::get_if<EntryStatus>(&message->body)) {
    HandleEntryStatus(sender_address, *message, *entry);
  } else if (const auto* engine = std::get_if<EngineStatus>(&message->body)) {
    m_on_engine_status(*engine);
  } else if (const auto* reply = std::get_if<AdapterReply>(&message->body)) {
    HandleReply(*reply);
  } else if (const auto* permit = std::get_if<PermitReply>(&message->body)) {
    HandleReply(*permit);
  } else if (const auto* room = std::get_if<RoomReply>(&message->body)) {
    HandleReply(*room);
  } else if (const auto* request = std::get_if<PermitRequest>(&message->body)) {
    LeavePermitsAfterPause();
    Send(sender_address,
         {m_self, m_incarnation, m_entry_permits.Issue(*request)});
  } else if (m_on_duty_message && IsDutyMessage(*message)) {
    m_on_duty_message(*message);
  }
}

void PeerExchange::SendTo(const InstanceId& peer,
                          decltype(StatusMessage::body) body) {
  const auto found = m_peers.find(peer);
  if (found != m_peers.end()) {
    Send(found->second.address, {m_self, m_incarnation, std::move(body)});
  }
}

void PeerExchange::SendToAll(decltype(StatusMessage::body) body) {
  const std::string bytes =
      EncodeStatus({m_self, m_incarnation, std::move(body)});
  std::ranges::for_each(m_peers, [&](const auto& item) {
    m_socket.Send(item.second.address, bytes);
  });
}

void PeerExchange::HandleEntryStatus(const Endpoint& sender_address,
                                     const StatusMessage& message,
                                     const EntryStatus& status) {
  if (message.sender == m_self) {
    return;
  }
  PutPeer(message.sender, sender_address);
  PeerEntry& peer = m_peers.at(message.sender);
  if (peer.incarnation != message.incarnation) {
    m_allowance.RemovePeer(IncarnationKey(message.sender, peer.incarnation));
    peer.incarnation = message.incarnation;
    LogEvent(LogLevel::kInfo, "peer_found")
        .With("peer", message.sender.value())
        .With("incarnation", message.incarnation);
    m_on_peer_found();
  }
  peer.last_heard_at = m_loop.clock().Now();
  peer.status = status;
  if (m_on_prompt_parts) {
    m_on_prompt_parts(status.prompt_parts);
  }
  if (m_on_call_limits) {
    m_on_call_limits(status.call_limits);
  }
  if (m_on_stream_versions) {
    m_on_stream_versions(status.stream_versions);
  }
  const std::string incarnation =
      IncarnationKey(message.sender, message.incarnation);
  const bool started_earlier =
      status.uptime > m_loop.clock().Now() - m_started_at;
  for (const auto& [organisation, spent] : status.spent) {
    m_allowance.RecordPeerTotal(incarnation, organisation, spent,
                                started_earlier);
  }
}

}  // namespace bambooquay
