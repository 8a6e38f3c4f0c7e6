// Manages the allowance's epoch.
#include "bambooquay/callers/allowance_coordinator.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(800);
// A watched peer that hasn't replied for this long counts as gone.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(2500);
// New entries are assigned shares together after this delay; until then they
// request parts of other entries' shares. From kLongJoinDelayMembers members on
// there are enough holders to ask, and the longer delay applies.
constexpr Duration kJoinDelay = std::chrono::seconds(1);
constexpr Duration kLongJoinDelay = std::chrono::seconds(20);
constexpr std::size_t kLongJoinDelayMembers = 10;
// Other entries take over fencing that the proposing entry has not finished
// within this time.
constexpr Duration kFencingTakeoverDelay = std::chrono::seconds(4);
// Upper bound on the lag of the platform's instance list: a live instance is
// listed after this time at the latest.
constexpr Duration kMaxListLag = std::chrono::seconds(15);
constexpr Duration kAskTimeout = std::chrono::milliseconds(150);
// Number of entries that each entry monitors: those that follow it in the order
// of ids.
constexpr std::size_t kWatchedPeerCount = 2;

}  // namespace

AllowanceCoordinator::AllowanceCoordinator(
    InstanceId instance, IncarnationId incarnation,
    const AllowanceCoordinatorContext& context)
    : m_instance(std::move(instance)),
      m_incarnation(std::move(incarnation)),
      m_context(context),
      m_ledger(context.loop.clock(), m_incarnation),
      m_gate(context.loop.clock(), m_ledger, *this),
      m_state_received_at(context.loop.clock().Now()),
      m_tick_timer(context.loop.Every(kTickPeriod, [this] { Tick(); })) {
  m_context.documents.changed().connect(
      [this](const Document& document) { HandleDocument(document); });
  if (const Document* document =
          m_context.documents.Find(DocumentKind::kAllowance)) {
    HandleDocument(*document);
  }
}

AllowanceCoordinator::~AllowanceCoordinator() = default;

void AllowanceCoordinator::HandleDocument(const Document& document) {
  if (document.kind != DocumentKind::kAllowance) {
    return;
  }
  const auto state = AllowanceState::Parse(document.text);
  if (!state.has_value()) {
    LogEvent(LogLevel::kError, "allowance_document_malformed")
        .With("version", document.version);
    return;
  }
  m_state_received_at = m_context.loop.clock().Now();
  m_joiners_pinged = false;
  m_ledger.Adopt(*state);
  LogEvent(LogLevel::kInfo, "allowance_epoch")
      .With("epoch", state->epoch)
      .With("phase",
            state->phase == AllowancePhase::kActive ? "active" : "fencing")
      .With("members", state->members.size());
  m_gate.Poll();
}

void AllowanceCoordinator::Tick() {
  PingWatchedPeers();
  if (!m_is_publishing && !m_is_querying && m_context.membership.ready()) {
    AdvanceEpochIfNeeded();
  }
}

std::vector<Instance> AllowanceCoordinator::ListedEntries() const {
  std::vector<Instance> entries;
  std::ranges::copy_if(m_context.membership.instances(),
                       std::back_inserter(entries),
                       [](const Instance& instance) {
                         return instance.role == InstanceRole::kEntry;
                       });
  std::ranges::sort(entries, {}, &Instance::id);
  return entries;
}

std::vector<Instance> AllowanceCoordinator::WatchedPeers() const {
  std::vector<Instance> entries = ListedEntries();
  const auto self = std::ranges::find(entries, m_instance, &Instance::id);
  if (self == entries.end()) {
    return {};
  }
  std::rotate(entries.begin(), self, entries.end());
  entries.erase(entries.begin());
  if (entries.size() > kWatchedPeerCount) {
    entries.erase(entries.begin() + kWatchedPeerCount, entries.end());
  }
  return entries;
}

void AllowanceCoordinator::PingWatchedPeers() {
  for (const Instance& peer : WatchedPeers()) {
    Ping(peer);
  }
}

void AllowanceCoordinator::Ping(const Instance& peer) {
  const TimePoint now = m_context.loop.clock().Now();
  PeerState& state = m_peers[peer.id];
  if (!std::exchange(state.was_pinged, true)) {
    state.last_reply_at = now;
  }
  if (state.ping_call != nullptr) {
    return;
  }
  state.ping_call = m_context.pool.Get(peer.peer).Exchange(
      m_context.documents.versions(),
      [this, id = peer.id](const RpcResult<ExchangeReply>& result) {
        PeerState& peer_state = m_peers[id];
        peer_state.ping_call = nullptr;
        if (const auto* reply = std::get_if<ExchangeReply>(&result)) {
          peer_state.incarnation = reply->incarnation;
          peer_state.last_reply_at = m_context.loop.clock().Now();
        }
      });
}

void AllowanceCoordinator::PingJoiners(
    const std::vector<AllowanceMember>& members) {
  for (const Instance& entry : ListedEntries()) {
    if (entry.id != m_instance &&
        std::ranges::find(members, entry.id, &AllowanceMember::instance) ==
            members.end()) {
      Ping(entry);
    }
  }
}

void AllowanceCoordinator::AdvanceEpochIfNeeded() {
  const AllowanceState& state = m_ledger.state();
  const Duration age = m_context.loop.clock().Now() - m_state_received_at;
  if (state.epoch > 0 && state.phase == AllowancePhase::kFencing) {
    if (m_fencing_epoch == state.epoch || age > kFencingTakeoverDelay) {
      ContinueFencing();
    }
    return;
  }
  if (auto members = ComputeChangedMembers()) {
    ProposeEpoch(std::move(*members));
  }
}

// Each entry checks itself and the peers that it watches, and removes members
// that are not in the instance list. Other members stay as they are in the
// current epoch.
std::optional<std::vector<AllowanceMember>>
AllowanceCoordinator::ComputeChangedMembers() {
  const TimePoint now = m_context.loop.clock().Now();
  const AllowanceState& state = m_ledger.state();
  std::vector<AllowanceMember> members = state.members;
  bool member_departed = false;
  bool member_joined = false;
  const auto put_member = [&](const InstanceId& instance,
                              const IncarnationId& incarnation) {
    const auto found =
        std::ranges::find(members, instance, &AllowanceMember::instance);
    if (found == members.end()) {
      members.push_back({incarnation, instance});
      member_joined = true;
    } else if (found->incarnation != incarnation) {
      found->incarnation = incarnation;
      member_departed = true;  // Its previous incarnation held a share.
    }
  };
  put_member(m_instance, m_incarnation);
  const std::vector<Instance> entries = ListedEntries();
  for (const Instance& peer : WatchedPeers()) {
    const PeerState& peer_state = m_peers[peer.id];
    if (now - peer_state.last_reply_at > kPeerTimeout) {
      member_departed |= std::erase_if(members, [&](const auto& member) {
                           return member.instance == peer.id;
                         }) > 0;
    } else if (!peer_state.incarnation.empty()) {
      put_member(peer.id, peer_state.incarnation);
    }
  }
  member_departed |= std::erase_if(members, [&](const auto& member) {
                       return member.instance != m_instance &&
                              std::ranges::find(entries, member.instance,
                                                &Instance::id) == entries.end();
                     }) > 0;
  const Duration join_delay = state.members.size() < kLongJoinDelayMembers
                                  ? kJoinDelay
                                  : kLongJoinDelay;
  const bool join_due =
      member_joined &&
      (state.epoch == 0 || now - m_state_received_at > join_delay);
  if (!member_departed && !join_due) {
    return std::nullopt;
  }
  for (const Instance& entry : entries) {
    const auto peer_state = m_peers.find(entry.id);
    if (peer_state != m_peers.end() &&
        !peer_state->second.incarnation.empty() &&
        now - peer_state->second.last_reply_at < kPeerTimeout) {
      put_member(entry.id, peer_state->second.incarnation);
    }
  }
  if (join_due && !member_departed && !std::exchange(m_joiners_pinged, true)) {
    // The replies will have arrived by the next tick.
    PingJoiners(members);
    return std::nullopt;
  }
  return members;
}

void AllowanceCoordinator::ProposeEpoch(std::vector<AllowanceMember> members) {
  AllowanceState next;
  next.epoch = m_ledger.epoch() + 1;
  next.phase = AllowancePhase::kFencing;
  next.members = std::move(members);
  LogEvent(LogLevel::kInfo, "allowance_epoch_proposed")
      .With("epoch", next.epoch)
      .With("members", next.members.size());
  m_fencing_epoch = next.epoch;
  m_unfenced_agents.clear();
  m_fenced_agents.clear();
  PublishState(next);
}

void AllowanceCoordinator::PublishState(const AllowanceState& state) {
  m_is_publishing = true;
  Document document{
      DocumentKind::kAllowance,
      m_context.documents.versions()[DocumentKind::kAllowance] + 1,
      state.Serialize()};
  m_context.repository.Publish(
      document, [this, document](const PublishResult& result) {
        m_is_publishing = false;
        if (std::holds_alternative<DocumentPublished>(result)) {
          m_context.documents.Adopt(document);
        } else {
          // Another entry wrote first, or the table is unavailable. Whatever
          // was written arrives here as a document.
          m_fencing_epoch = 0;
        }
      });
}

// The registered agents are read after the epoch was written. An agent that
// registers later reads the new epoch before it admits any work.
void AllowanceCoordinator::ContinueFencing() {
  m_is_querying = true;
  if (std::exchange(m_fencing_epoch, m_ledger.epoch()) != m_ledger.epoch()) {
    m_fenced_agents.clear();
  }
  m_context.table.Query(kAgentPartition, [this](const QueryResult& result) {
    m_is_querying = false;
    const auto* rows = std::get_if<std::vector<Row>>(&result);
    if (rows == nullptr || m_fencing_epoch != m_ledger.epoch()) {
      return;
    }
    std::map<UpstreamId, Endpoint> agents;
    for (const Row& row : *rows) {
      if (const auto peer = ParseEndpoint(row.body)) {
        agents.emplace(row.key.name, *peer);
      }
    }
    FenceAgents(std::move(agents));
  });
}

// The instance list lags behind, so an agent that is registered but not listed
// may be new. If it is still not listed after kMaxListLag, it is gone and needs
// no fencing.
void AllowanceCoordinator::FenceAgents(std::map<UpstreamId, Endpoint> agents) {
  const bool list_caught_up =
      m_context.loop.clock().Now() - m_state_received_at > kMaxListLag;
  std::map<UpstreamId, Endpoint> listed;
  for (const Instance& instance : m_context.membership.instances()) {
    if (instance.role == InstanceRole::kAgent) {
      listed[instance.upstream] = instance.peer;
    }
  }
  if (list_caught_up) {
    agents.clear();
  }
  for (const auto& [upstream, peer] : listed) {
    agents[upstream] = peer;
  }
  m_unfenced_agents.clear();
  for (const auto& [upstream, peer] : agents) {
    if (!m_fenced_agents.contains(upstream)) {
      m_unfenced_agents.insert(upstream);
      FenceAgent(upstream, peer, m_fencing_epoch);
    }
  }
  ActivateIfFenced();
}

void AllowanceCoordinator::FenceAgent(const UpstreamId& upstream,
                                      const Endpoint& peer,
                                      std::uint64_t epoch) {
  m_fence_calls[upstream] = m_context.pool.Get(peer).Fence(
      epoch, [this, upstream, epoch](const RpcResult<bool>& result) {
        m_fence_calls.erase(upstream);
        if (std::holds_alternative<bool>(result) && epoch == m_fencing_epoch) {
          m_unfenced_agents.erase(upstream);
          m_fenced_agents.insert(upstream);
          ActivateIfFenced();
        }
      });
}

void AllowanceCoordinator::ActivateIfFenced() {
  const AllowanceState& state = m_ledger.state();
  if (!m_unfenced_agents.empty() || m_is_publishing ||
      state.phase != AllowancePhase::kFencing ||
      state.epoch != m_fencing_epoch) {
    return;
  }
  AllowanceState active = state;
  active.phase = AllowancePhase::kActive;
  PublishState(active);
}

void AllowanceCoordinator::Ask(
    const AllowanceAsk& ask,
    std::function<void(std::optional<AllowanceTransfer>)> done) {
  const std::uint64_t id = m_next_request_id++;
  m_request_callbacks[id] = std::move(done);
  const auto& members = m_ledger.state().members;
  const auto member =
      std::ranges::find(members, ask.giver, &AllowanceMember::incarnation);
  const Instance* giver = member == members.end()
                              ? nullptr
                              : m_context.membership.Find(member->instance);
  if (giver == nullptr) {
    m_context.loop.Post([this, id] { CompleteRequest(id, std::nullopt); });
    return;
  }
  PendingRequest& request = m_pending_requests[id];
  request.timeout = m_context.loop.After(
      kAskTimeout, [this, id] { CompleteRequest(id, std::nullopt); });
  request.call =
      m_context.pool.Get(giver->peer)
          .AskAllowance(ask, [this,
                              id](const RpcResult<AllowanceTransfer>& result) {
            const auto* transfer = std::get_if<AllowanceTransfer>(&result);
            CompleteRequest(id, transfer == nullptr ? std::nullopt
                                                    : std::optional(*transfer));
          });
}

void AllowanceCoordinator::CompleteRequest(
    std::uint64_t id, std::optional<AllowanceTransfer> transfer) {
  auto callback = m_request_callbacks.extract(id);
  if (callback.empty()) {
    return;
  }
  m_pending_requests.erase(id);
  callback.mapped()(std::move(transfer));
}

void AllowanceCoordinator::SchedulePoll(Duration delay) {
  const TimePoint due = m_context.loop.clock().Now() + delay;
  if (m_poll_timer != nullptr && m_poll_at <= due) {
    return;
  }
  m_poll_at = due;
  m_poll_timer = m_context.loop.After(delay, [this] {
    m_poll_timer = nullptr;
    m_gate.Poll();
  });
}

}  // namespace bambooquay
