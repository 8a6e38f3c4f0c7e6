// Brings every process to the newest version of every document.
#include "bambooquay/peers/document_sync.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(1000);
constexpr Duration kTimerPeriod = std::chrono::milliseconds(500);
constexpr Duration kGossipPeriod = std::chrono::seconds(1);
constexpr Duration kPartnerTime = std::chrono::seconds(10);
constexpr Duration kWaitCheckPeriod = std::chrono::milliseconds(100);
constexpr Duration kCatchUpLimit = std::chrono::milliseconds(1500);
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
      m_poll_pacer(kPollPeriod - kTimerPeriod / 2),
      m_poll_timer(loop.Every(kTimerPeriod, [this] { Poll(); })),
      m_gossip_timer(loop.Every(kGossipPeriod, [this] { Gossip(); })) {
  m_documents.changed().connect([this](const Document& document) {
    LogEvent(LogLevel::kInfo, "document_adopted")
        .With("kind", ToString(document.kind))
        .With("version", document.version);
    m_loop.Post([this] { ServeWaiting(); });
  });
  Poll();
}

void DocumentSync::Notice(const DocumentVersions& known) {
  if (!Holds(known)) {
    for (const DocumentKind kind : kAllDocumentKinds) {
      if (known[kind] > m_documents.versions()[kind]) {
        FetchFromStore(kind);
      }
    }
    m_partner.reset();
    Gossip();
  }
}

void DocumentSync::CatchUp(const DocumentVersions& known,
                           std::function<void(bool)> done) {
  if (Holds(known)) {
    done(true);
    return;
  }
  m_waiting.push_back(
      {known, std::move(done), m_loop.clock().Now() + kCatchUpLimit});
  if (m_wait_timer == nullptr) {
    m_wait_timer = m_loop.Every(kWaitCheckPeriod, [this] {
      m_partner.reset();
      Gossip();
      ServeWaiting();
    });
  }
  Notice(known);
}

void DocumentSync::Poll() {
  if (m_polling || !m_poll_pacer.IsDue(m_loop.clock().Now(),
                                       m_membership.instances().size())) {
    return;
  }
  m_polling = true;
  m_repository.ReadVersions([this](const VersionsResult& result) {
    m_polling = false;
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
  if (!m_loading.insert(kind).second) {
    return;
  }
  m_repository.Load(kind, [this, kind](LoadResult result) {
    m_loading.erase(kind);
    if (auto* document = std::get_if<Document>(&result)) {
      m_documents.Adopt(std::move(*document));
    }
  });
}

std::optional<Endpoint> DocumentSync::Partner() {
  const TimePoint now = m_loop.clock().Now();
  if (!m_partner.has_value() || now >= m_partner_until) {
    const std::vector<Instance> others = m_membership.Others();
    if (others.empty()) {
      return std::nullopt;
    }
    m_partner =
        others[m_random.UniformBelow(static_cast<std::uint32_t>(others.size()))]
            .peer;
    m_partner_until = now + kPartnerTime;
  }
  return m_partner;
}

void DocumentSync::Gossip() {
  const std::optional<Endpoint> partner = Partner();
  if (!partner.has_value()) {
    return;
  }
  Keep(m_pool.Get(*partner).Exchange(
      m_documents.versions(),
      [this, peer = *partner](const RpcResult<ExchangeReply>& result) {
        if (const auto* reply = std::get_if<ExchangeReply>(&result)) {
          FetchFromPeer(peer, reply->known);
        } else {
          m_partner.reset();
        }
      }));
}

void DocumentSync::FetchFromPeer(const Endpoint& peer,
                                 const DocumentVersions& known) {
  for (const DocumentKind kind : kAllDocumentKinds) {
    if (known[kind] <= m_documents.versions()[kind]) {
      continue;
    }
    Keep(m_pool.Get(peer).FetchDocument(
        kind, [this](RpcResult<Document> result) {
          auto* document = std::get_if<Document>(&result);
          if (document != nullptr && document->version > 0) {
            m_documents.Adopt(std::move(*document));
          }
        }));
  }
}

void DocumentSync::ServeWaiting() {
  const TimePoint now = m_loop.clock().Now();
  std::vector<Waiting> waiting = std::move(m_waiting);
  m_waiting.clear();
  for (Waiting& item : waiting) {
    if (Holds(item.known)) {
      item.done(true);
    } else if (item.deadline <= now) {
      item.done(false);
    } else {
      m_waiting.push_back(std::move(item));
    }
  }
  if (m_waiting.empty()) {
    m_wait_timer = nullptr;
  }
}

bool DocumentSync::Holds(const DocumentVersions& known) const noexcept {
  const DocumentVersions held = m_documents.versions();
  return std::ranges::all_of(kAllDocumentKinds, [&](DocumentKind kind) {
    return held[kind] >= known[kind];
  });
}

void DocumentSync::Keep(std::unique_ptr<RpcCall> call) {
  if (m_calls.size() >= kMaxCalls) {
    m_calls.erase(m_calls.begin());
  }
  m_calls.push_back(std::move(call));
}

}  // namespace bambooquay
