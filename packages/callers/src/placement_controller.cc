// Keeps every configured model available.
#include "bambooquay/callers/placement_controller.h"

#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kTickPeriod = std::chrono::seconds(1);
// An upstream that returns within this time, as after a restart, causes no new
// placement.
constexpr Duration kStabilisationDelay = std::chrono::seconds(2);
constexpr std::uint32_t kMaxJitterMs = 1500;
// An upstream whose attempts have all failed for this long counts as gone.
constexpr Duration kFailingThreshold = std::chrono::seconds(2);

}  // namespace

PlacementController::PlacementController(EventLoop& loop,
                                         DocumentSet& documents,
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

void PlacementController::Tick() {
  Inputs inputs{m_documents.versions(), AvailableUpstreams()};
  if (inputs != m_last_inputs) {
    m_repaired_placement = ComputeRepairedPlacement(inputs.available);
    m_last_inputs = std::move(inputs);
  }
  if (!m_repaired_placement.has_value()) {
    m_publish_at.reset();
    return;
  }
  const TimePoint now = m_loop.clock().Now();
  if (!m_publish_at.has_value()) {
    m_publish_at =
        now + kStabilisationDelay +
        std::chrono::milliseconds(m_random.UniformBelow(kMaxJitterMs));
  }
  if (now >= *m_publish_at && !m_is_publishing) {
    m_publish_at.reset();
    Publish(*m_repaired_placement);
  }
}

std::set<UpstreamId> PlacementController::AvailableUpstreams() const {
  std::set<UpstreamId> available;
  for (const Candidate& candidate : m_directory.LiveUpstreams()) {
    if (!m_selector.IsFailing(candidate.upstream, kFailingThreshold)) {
      available.insert(candidate.upstream);
    }
  }
  return available;
}

std::optional<Placement> PlacementController::ComputeRepairedPlacement(
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
  Placement repaired = RepairPlacement(*configuration, current, available);
  std::erase_if(repaired, [](const auto& item) { return item.second.empty(); });
  Placement current_without_empty = current;
  std::erase_if(current_without_empty,
                [](const auto& item) { return item.second.empty(); });
  return repaired == current_without_empty ? std::nullopt
                                           : std::optional(repaired);
}

void PlacementController::Publish(const Placement& placement) {
  m_is_publishing = true;
  const Document document{DocumentKind::kPlacement,
                          m_documents.versions()[DocumentKind::kPlacement] + 1,
                          SerializePlacement(placement)};
  m_repository.Publish(document, [this, document](const PublishResult& result) {
    m_is_publishing = false;
    if (std::holds_alternative<DocumentPublished>(result)) {
      LogEvent(LogLevel::kInfo, "placement_published")
          .With("version", document.version);
      m_documents.Adopt(document);
    }
  });
}

}  // namespace bambooquay
