// Keeps every listed model reachable.
#include "bambooquay/callers/placement_keeper.h"

#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kTickPeriod = std::chrono::seconds(1);
// A need that passes sooner, as at a restart, moves nothing.
constexpr Duration kSettleTime = std::chrono::seconds(2);
constexpr std::uint32_t kMaxJitterMs = 1500;
// An upstream that only failed for so long counts as gone.
constexpr Duration kFailingTime = std::chrono::seconds(2);

}  // namespace

PlacementKeeper::PlacementKeeper(EventLoop& loop, DocumentSet& documents,
                                 DocumentRepository& repository,
                                 const UpstreamDirectory& directory,
                                 const UpstreamSelector& selector,
                                 RandomSource& random)
    : m_loop(loop),
      m_documents(documents),
      m_repository(repository),
      m_directory(directory),
      m_selector(selector),
      m_random(random),
      m_timer(loop.Every(kTickPeriod, [this] { Tick(); })) {}

void PlacementKeeper::Tick() {
  Inputs inputs{m_documents.versions(), AvailableUpstreams()};
  if (inputs != m_judged) {
    m_needed = NeededPlacement(inputs.available);
    m_judged = std::move(inputs);
  }
  if (!m_needed.has_value()) {
    m_due.reset();
    return;
  }
  const TimePoint now = m_loop.clock().Now();
  if (!m_due.has_value()) {
    m_due = now + kSettleTime +
            std::chrono::milliseconds(m_random.UniformBelow(kMaxJitterMs));
  }
  if (now >= *m_due && !m_publishing) {
    m_due.reset();
    Publish(*m_needed);
  }
}

std::set<UpstreamId> PlacementKeeper::AvailableUpstreams() const {
  std::set<UpstreamId> available;
  for (const Candidate& candidate : m_directory.LiveUpstreams()) {
    if (!m_selector.IsFailing(candidate.upstream, kFailingTime)) {
      available.insert(candidate.upstream);
    }
  }
  return available;
}

std::optional<Placement> PlacementKeeper::NeededPlacement(
    const std::set<UpstreamId>& available) const {
  const Document* document = m_documents.Find(DocumentKind::kConfiguration);
  if (document == nullptr || available.empty()) {
    return std::nullopt;
  }
  const auto parsed = ParseConfiguration(document->text, "configuration");
  const auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration == nullptr) {
    return std::nullopt;
  }
  const Placement& current = m_directory.placement();
  Placement needed = RepairPlacement(*configuration, current, available);
  std::erase_if(needed, [](const auto& entry) { return entry.second.empty(); });
  Placement without_empty = current;
  std::erase_if(without_empty,
                [](const auto& entry) { return entry.second.empty(); });
  return needed == without_empty ? std::nullopt : std::optional(needed);
}

void PlacementKeeper::Publish(const Placement& placement) {
  m_publishing = true;
  const Document document{DocumentKind::kPlacement,
                          m_documents.versions()[DocumentKind::kPlacement] + 1,
                          SerializePlacement(placement)};
  m_repository.Publish(document, [this, document](const PublishResult& result) {
    m_publishing = false;
    if (std::holds_alternative<DocumentPublished>(result)) {
      LogEvent(LogLevel::kInfo, "placement_published")
          .With("version", document.version);
      m_documents.Adopt(document);
    }
  });
}

}  // namespace bambooquay
