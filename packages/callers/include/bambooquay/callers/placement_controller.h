// Keeps every configured model available: publishes a repaired placement when
// an upstream is gone, drained or failing.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "bambooquay/callers/upstream_directory.h"
#include "bambooquay/core/configuration.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/core/random.h"
#include "bambooquay/core/upstream_selector.h"
#include "bambooquay/platform/document_repository.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// Each entry has one, and no leader is elected. An entry that detects the need
/// waits for a random time and then publishes against the version that its
/// placement was computed from. Only one placement is accepted, and the other
/// entries continue from it.
class PlacementController {
 public:
  PlacementController(EventLoop& loop, DocumentSet& documents,
                      DocumentRepository& repository,
                      const UpstreamDirectory& directory,
                      const UpstreamSelector& selector, RandomSource& random);

 private:
  /// Inputs of the computation; it is repeated only when they change.
  struct Inputs {
    DocumentVersions versions;
    std::set<UpstreamId> available;
    friend bool operator==(const Inputs&, const Inputs&) = default;
  };

  void Tick();
  /// @returns live upstreams that aren't failing.
  [[nodiscard]] std::set<UpstreamId> AvailableUpstreams() const;
  /// @returns the repaired placement, or nothing if no change is needed.
  [[nodiscard]] std::optional<Placement> ComputeRepairedPlacement(
      const std::set<UpstreamId>& available) const;
  void Publish(const Placement& placement);

  EventLoop& m_loop;
  DocumentSet& m_documents;
  DocumentRepository& m_repository;
  const UpstreamDirectory& m_directory;
  const UpstreamSelector& m_selector;
  RandomSource& m_random;
  Inputs m_last_inputs;
  std::optional<Placement> m_repaired_placement;
  /// When m_repaired_placement is published, unless it is no longer needed.
  std::optional<TimePoint> m_publish_at;
  bool m_is_publishing = false;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bambooquay
