// Keeps a process's documents at their newest versions.
#include "bambooquay/peers/document_sync.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(1000);
constexpr Duration kTimerPeriod = std::chrono::milliseconds(500);
constexpr Duration kGossipPeriod = std::chrono::seconds(1);
constexpr Duration kGossipPeerLifetime = std::chrono::seconds(10);
constexpr Duration kCatchUpCheckPeriod = std::chrono::milliseconds(100);
constexpr Duration kCatchUpTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxCalls = 16;

}  // namespace

DocumentSync::DocumentSync(EventLoop& loop, DocumentRepository& repository,
                           Membership& membership, NodePool& pool,
                           DocumentSet& documents, RandomSource& random)
    : m_loop(loop),
      m_repository(repository),
      m_membership(membership),
      m_pool(pool),
      m_documents(documents),
      m_random(random),
      // Half a timer period less than the period, so that a poll is not put
      // off by one tick when the timer fires a little early.
      m_poll_pacer(kPollPeriod - kTimerPeriod / 2),
      m_poll_timer(loop.Every(kTimerPeriod, [this] { Poll(); })),
      m_gossip_timer(loop.Every(kGossipPeriod, [this] { Gossip(); })) {
  m_documents.changed().connect([this](const Document& document) {
    LogEvent(LogLevel::kInfo, "document_adopted")
        .With("kind", ToString(document.kind))
        .With("version", document.version);
    m_loop.Post([this] { CompletePendingCatchUps(); });
  });
  Poll();
}

void DocumentSync::FetchNewer(const DocumentVersions& versions) {
  if (!HasVersions(versions)) {
    for (const DocumentKind kind : kAllDocumentKinds) {
      if (versions[kind] > m_documents.versions()[kind]) {
        FetchFromStore(kind);
      }
    }
    m_gossip_peer.reset();
    Gossip();
  }
}

void DocumentSync::CatchUp(const DocumentVersions& versions,
                           std::function<void(bool)> done) {
  if (HasVersions(versions)) {
    done(true);
    return;
  }
  m_pending_catch_ups.push_back(
      {versions, std::move(done), m_loop.clock().Now() + kCatchUpTimeout});
  if (m_catch_up_timer == nullptr) {
    m_catch_up_timer = m_loop.Every(kCatchUpCheckPeriod, [this] {
      m_gossip_peer.reset();
      Gossip();
      CompletePendingCatchUps();
    });
  }
  FetchNewer(versions);
}

void DocumentSync::Poll() {
  if (m_is_polling ||
      !m_poll_pacer.TryStartPoll(m_loop.clock().Now(),
                                 m_membership.instances().size())) {
    return;
  }
  m_is_polling = true;
  m_repository.ReadVersions([this](const VersionsResult& result) {
    m_is_polling = false;
    const auto* versions = std::get_if<DocumentVersions>(&result);
    m_table_reachable = versions != nullptr;
    if (versions == nullptr) {
      return;
    }
    for (const DocumentKind kind : kAllDocumentKinds) {
      if ((*versions)[kind] > m_documents.versions()[kind]) {
        FetchFromStore(kind);
      }
    }
  });
}

void DocumentSync::FetchFromStore(DocumentKind kind) {
  if (!m_fetching_kinds.insert(kind).second) {
    return;
  }
  m_repository.Load(kind, [this, kind](LoadResult result) {
    m_fetching_kinds.erase(kind);
    if (auto* document = std::get_if<Document>(&result)) {
      m_documents.Adopt(std::move(*document));
    }
  });
}

std::optional<Endpoint> DocumentSync::PickGossipPeer() {
  const TimePoint now = m_loop.clock().Now();
  if (!m_gossip_peer.has_value() || now >= m_gossip_peer_expires_at) {
    const std::vector<Instance> others = m_membership.OtherInstances();
    if (others.empty()) {
      return std::nullopt;
    }
    m_gossip_peer =
        others[m_random.UniformBelow(static_cast<std::uint32_t>(others.size()))]
            .peer;
    m_gossip_peer_expires_at = now + kGossipPeerLifetime;
  }
  return m_gossip_peer;
}

void DocumentSync::Gossip() {
  const std::optional<Endpoint> gossip_peer = PickGossipPeer();
  if (!gossip_peer.has_value()) {
    return;
  }
  AddCall(m_pool.Get(*gossip_peer)
              .Exchange(m_documents.versions(),
                        [this, peer = *gossip_peer](
                            const RpcResult<ExchangeReply>& result) {
                          if (const auto* reply =
                                  std::get_if<ExchangeReply>(&result)) {
                            FetchFromPeer(peer, reply->versions);
                          } else {
                            m_gossip_peer.reset();
                          }
                        }));
}

void DocumentSync::FetchFromPeer(const Endpoint& peer,
                                 const DocumentVersions& peer_versions) {
  for (const DocumentKind kind : kAllDocumentKinds) {
    if (peer_versions[kind] <= m_documents.versions()[kind]) {
      continue;
    }
    AddCall(m_pool.Get(peer).FetchDocument(
        kind, [this](RpcResult<Document> result) {
          auto* document = std::get_if<Document>(&result);
          if (document != nullptr && document->version > 0) {
            m_documents.Adopt(std::move(*document));
          }
        }));
  }
}

void DocumentSync::CompletePendingCatchUps() {
  const TimePoint now = m_loop.clock().Now();
  std::vector<PendingCatchUp> pending = std::move(m_pending_catch_ups);
  m_pending_catch_ups.clear();
  for (PendingCatchUp& item : pending) {
    if (HasVersions(item.versions)) {
      item.done(true);
    } else if (item.deadline <= now) {
      item.done(false);
    } else {
      m_pending_catch_ups.push_back(std::move(item));
    }
  }
  if (m_pending_catch_ups.empty()) {
    m_catch_up_timer = nullptr;
  }
}

bool DocumentSync::HasVersions(
    const DocumentVersions& versions) const noexcept {
  const DocumentVersions current = m_documents.versions();
  return std::ranges::all_of(kAllDocumentKinds, [&](DocumentKind kind) {
    return current[kind] >= versions[kind];
  });
}

void DocumentSync::AddCall(std::unique_ptr<RpcCall> call) {
  if (m_calls.size() >= kMaxCalls) {
    m_calls.erase(m_calls.begin());
  }
  m_calls.push_back(std::move(call));
}

}  // namespace bambooquay
