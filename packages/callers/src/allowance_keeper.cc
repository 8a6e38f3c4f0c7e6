// Keeps the allowance's epoch.
#include "bambooquay/callers/allowance_keeper.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(800);
constexpr Duration kDeadAfter = std::chrono::milliseconds(2500);
// New entries are dealt shares together; until then they borrow. With enough
// holders there is no hurry.
constexpr Duration kJoinPause = std::chrono::seconds(1);
constexpr Duration kLongJoinPause = std::chrono::seconds(20);
constexpr std::size_t kEnoughMembers = 10;
// Another entry takes over fencing that its proposer does not finish.
constexpr Duration kTakeOverAfter = std::chrono::seconds(4);
// By then the platform's list shows every live instance.
constexpr Duration kListLag = std::chrono::seconds(15);
constexpr Duration kAskTimeout = std::chrono::milliseconds(150);
// Entries watched by each entry, next to it in the order of their ids.
constexpr std::size_t kWatchedPeers = 2;

}  // namespace

AllowanceKeeper::AllowanceKeeper(InstanceId instance, IncarnationId incarnation,
                                 const AllowanceKeeperContext& context)
    : m_instance(std::move(instance)),
      m_incarnation(std::move(incarnation)),
      m_context(context),
      m_ledger(context.loop.clock(), m_incarnation),
      m_gate(context.loop.clock(), m_ledger, *this),
      m_state_since(context.loop.clock().Now()),
      m_tick(context.loop.Every(kTickPeriod, [this] { Tick(); })) {
  m_context.documents.changed().connect(
      [this](const Document& document) { HandleDocument(document); });
  if (const Document* document =
          m_context.documents.Find(DocumentKind::kAllowance)) {
    HandleDocument(*document);
  }
}

AllowanceKeeper::~AllowanceKeeper() = default;

void AllowanceKeeper::HandleDocument(const Document& document) {
  if (document.kind != DocumentKind::kAllowance) {
    return;
  }
  const auto state = AllowanceState::Parse(document.text);
  if (!state.has_value()) {
    LogEvent(LogLevel::kError, "allowance_document_malformed")
        .With("version", document.version);
    return;
  }
  m_state_since = m_context.loop.clock().Now();
  m_joiners_asked = false;
  m_ledger.Adopt(*state);
  LogEvent(LogLevel::kInfo, "allowance_epoch")
      .With("epoch", state->epoch)
      .With("phase",
            state->phase == AllowancePhase::kActive ? "active" : "fencing")
      .With("members", state->members.size());
  m_gate.Poll();
}

void AllowanceKeeper::Tick() {
  PingWatched();
  if (!m_publishing && !m_querying && m_context.membership.ready()) {
    ConsiderEpoch();
  }
}

std::vector<Instance> AllowanceKeeper::LiveEntries() const {
  std::vector<Instance> entries;
  std::ranges::copy_if(m_context.membership.instances(),
                       std::back_inserter(entries),
                       [](const Instance& instance) {
                         return instance.role == InstanceRole::kEntry;
                       });
  std::ranges::sort(entries, {}, &Instance::id);
  return entries;
}

std::vector<Instance> AllowanceKeeper::Watched() const {
  std::vector<Instance> entries = LiveEntries();
  const auto self = std::ranges::find(entries, m_instance, &Instance::id);
  if (self == entries.end()) {
    return {};
  }
  std::rotate(entries.begin(), self, entries.end());
  entries.erase(entries.begin());
  if (entries.size() > kWatchedPeers) {
    entries.erase(entries.begin() + kWatchedPeers, entries.end());
  }
  return entries;
}

void AllowanceKeeper::PingWatched() {
  for (const Instance& peer : Watched()) {
    Ping(peer);
  }
}

void AllowanceKeeper::Ping(const Instance& peer) {
  const TimePoint now = m_context.loop.clock().Now();
  PeerState& state = m_peers[peer.id];
  if (!std::exchange(state.asked, true)) {
    state.answered_at = now;
  }
  if (state.ping != nullptr) {
    return;
  }
  state.ping = m_context.pool.Get(peer.peer).Exchange(
      m_context.documents.versions(),
      [this, id = peer.id](const RpcResult<ExchangeReply>& result) {
        PeerState& answered = m_peers[id];
        answered.ping = nullptr;
        if (const auto* reply = std::get_if<ExchangeReply>(&result)) {
          answered.incarnation = reply->incarnation;
          answered.answered_at = m_context.loop.clock().Now();
        }
      });
}

// Asks every listed entry that holds no membership who it is, so that one
// epoch admits them all.
void AllowanceKeeper::PingJoiners(const std::vector<AllowanceMember>& members) {
  for (const Instance& entry : LiveEntries()) {
    if (entry.id != m_instance &&
        std::ranges::find(members, entry.id, &AllowanceMember::instance) ==
            members.end()) {
      Ping(entry);
    }
  }
}

void AllowanceKeeper::ConsiderEpoch() {
  const AllowanceState& state = m_ledger.state();
  const Duration age = m_context.loop.clock().Now() - m_state_since;
  if (state.epoch > 0 && state.phase == AllowancePhase::kFencing) {
    if (m_fencing_epoch == state.epoch || age > kTakeOverAfter) {
      ContinueFencing();
    }
    return;
  }
  if (auto members = NeededMembers()) {
    Propose(std::move(*members));
  }
}

// Each entry judges only itself and the peers that it watches; everyone else
// stays as the current epoch has them.
std::optional<std::vector<AllowanceMember>> AllowanceKeeper::NeededMembers() {
  const TimePoint now = m_context.loop.clock().Now();
  const AllowanceState& state = m_ledger.state();
  std::vector<AllowanceMember> members = state.members;
  bool someone_gone = false;
  bool someone_new = false;
  const auto admit = [&](const InstanceId& instance,
                         const IncarnationId& incarnation) {
    const auto known =
        std::ranges::find(members, instance, &AllowanceMember::instance);
    if (known == members.end()) {
      members.push_back({incarnation, instance});
      someone_new = true;
    } else if (known->incarnation != incarnation) {
      known->incarnation = incarnation;
      someone_gone = true;  // Its earlier life held a share.
    }
  };
  admit(m_instance, m_incarnation);
  const std::vector<Instance> entries = LiveEntries();
  for (const Instance& peer : Watched()) {
    const PeerState& seen = m_peers[peer.id];
    if (now - seen.answered_at > kDeadAfter) {
      someone_gone |= std::erase_if(members, [&](const auto& member) {
                        return member.instance == peer.id;
                      }) > 0;
    } else if (!seen.incarnation.empty()) {
      admit(peer.id, seen.incarnation);
    }
  }
  someone_gone |= std::erase_if(members, [&](const auto& member) {
                    return member.instance != m_instance &&
                           std::ranges::find(entries, member.instance,
                                             &Instance::id) == entries.end();
                  }) > 0;
  const Duration pause =
      state.members.size() < kEnoughMembers ? kJoinPause : kLongJoinPause;
  const bool joins_due =
      someone_new && (state.epoch == 0 || now - m_state_since > pause);
  if (!someone_gone && !joins_due) {
    return std::nullopt;
  }
  for (const Instance& entry : entries) {
    const auto seen = m_peers.find(entry.id);
    if (seen != m_peers.end() && !seen->second.incarnation.empty() &&
        now - seen->second.answered_at < kDeadAfter) {
      admit(entry.id, seen->second.incarnation);
    }
  }
  if (joins_due && !someone_gone && !std::exchange(m_joiners_asked, true)) {
    // Their answers are there at the next tick.
    PingJoiners(members);
    return std::nullopt;
  }
  return members;
}

void AllowanceKeeper::Propose(std::vector<AllowanceMember> members) {
  AllowanceState next;
  next.epoch = m_ledger.epoch() + 1;
  next.phase = AllowancePhase::kFencing;
  next.members = std::move(members);
  LogEvent(LogLevel::kInfo, "allowance_epoch_proposed")
      .With("epoch", next.epoch)
      .With("members", next.members.size());
  m_fencing_epoch = next.epoch;
  m_unfenced.clear();
  m_fenced.clear();
  PublishState(next);
}

void AllowanceKeeper::PublishState(const AllowanceState& state) {
  m_publishing = true;
  Document document{
      DocumentKind::kAllowance,
      m_context.documents.versions()[DocumentKind::kAllowance] + 1,
      state.Serialize()};
  m_context.repository.Publish(
      document, [this, document](const PublishResult& result) {
        m_publishing = false;
        if (std::holds_alternative<DocumentPublished>(result)) {
          m_context.documents.Adopt(document);
        } else {
          // Another entry was first, or the table is away: whatever was
          // written reaches us as a document.
          m_fencing_epoch = 0;
        }
      });
}

// The registered agents are read after the epoch was written: an agent that
// registers later reads the new epoch before it admits anything.
void AllowanceKeeper::ContinueFencing() {
  m_querying = true;
  if (std::exchange(m_fencing_epoch, m_ledger.epoch()) != m_ledger.epoch()) {
    m_fenced.clear();
  }
  m_context.table.Query(kAgentPartition, [this](const QueryResult& result) {
    m_querying = false;
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

// An agent that is registered but not listed may be too new for the lagging
// list; once the list must have caught up, it is gone for good.
void AllowanceKeeper::FenceAgents(std::map<UpstreamId, Endpoint> agents) {
  const bool list_caught_up =
      m_context.loop.clock().Now() - m_state_since > kListLag;
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
  m_unfenced.clear();
  for (const auto& [upstream, peer] : agents) {
    if (!m_fenced.contains(upstream)) {
      m_unfenced.insert(upstream);
      FenceAgent(upstream, peer, m_fencing_epoch);
    }
  }
  ActivateIfFenced();
}

void AllowanceKeeper::FenceAgent(const UpstreamId& upstream,
                                 const Endpoint& peer, std::uint64_t epoch) {
  m_fence_calls[upstream] = m_context.pool.Get(peer).Fence(
      epoch, [this, upstream, epoch](const RpcResult<bool>& result) {
        m_fence_calls.erase(upstream);
        if (std::holds_alternative<bool>(result) && epoch == m_fencing_epoch) {
          m_unfenced.erase(upstream);
          m_fenced.insert(upstream);
          ActivateIfFenced();
        }
      });
}

void AllowanceKeeper::ActivateIfFenced() {
  const AllowanceState& state = m_ledger.state();
  if (!m_unfenced.empty() || m_publishing ||
      state.phase != AllowancePhase::kFencing ||
      state.epoch != m_fencing_epoch) {
    return;
  }
  AllowanceState active = state;
  active.phase = AllowancePhase::kActive;
  PublishState(active);
}

void AllowanceKeeper::Ask(
    const AllowanceAsk& ask,
    std::function<void(std::optional<AllowanceTransfer>)> done) {
  const std::uint64_t id = m_next_ask++;
  m_ask_callbacks[id] = std::move(done);
  const auto& members = m_ledger.state().members;
  const auto member =
      std::ranges::find(members, ask.giver, &AllowanceMember::incarnation);
  const Instance* giver = member == members.end()
                              ? nullptr
                              : m_context.membership.Find(member->instance);
  if (giver == nullptr) {
    m_context.loop.Post([this, id] { AnswerAsk(id, std::nullopt); });
    return;
  }
  PendingAsk& pending = m_asks[id];
  pending.timeout = m_context.loop.After(
      kAskTimeout, [this, id] { AnswerAsk(id, std::nullopt); });
  pending.call =
      m_context.pool.Get(giver->peer)
          .AskAllowance(
              ask, [this, id](const RpcResult<AllowanceTransfer>& result) {
                const auto* transfer = std::get_if<AllowanceTransfer>(&result);
                AnswerAsk(id, transfer == nullptr ? std::nullopt
                                                  : std::optional(*transfer));
              });
}

void AllowanceKeeper::AnswerAsk(std::uint64_t id,
                                std::optional<AllowanceTransfer> transfer) {
  auto callback = m_ask_callbacks.extract(id);
  if (callback.empty()) {
    return;
  }
  m_asks.erase(id);
  callback.mapped()(std::move(transfer));
}

void AllowanceKeeper::SchedulePoll(Duration delay) {
  const TimePoint due = m_context.loop.clock().Now() + delay;
  if (m_wake != nullptr && m_wake_at <= due) {
    return;
  }
  m_wake_at = due;
  m_wake = m_context.loop.After(delay, [this] {
    m_wake = nullptr;
    m_gate.Poll();
  });
}

}  // namespace bambooquay
