// Finds the upstreams that can serve a model or a service, and their agents.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "bambooquay/core/configuration.h"
#include "bambooquay/core/drain_set.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/placement.h"
#include "bambooquay/core/upstream_selector.h"
#include "bambooquay/peers/membership.h"

namespace bambooquay {

/// Combines the configuration, the placement, the drained upstreams and data
/// centres, and the list of live instances.
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(Membership& membership);

  void SetConfiguration(const Configuration& configuration);
  void SetDrains(DrainSet drains);
  /// Sets the published placement. Until the first call the static placement of
  /// the configuration is used.
  void SetPlacement(Placement placement);
  [[nodiscard]] const Placement& placement() const noexcept {
    return m_placement;
  }
  /// @returns upstreams that are configured, not drained, and whose agent is
  ///   listed and not leaving.
  [[nodiscard]] std::vector<Candidate> LiveUpstreams() const;

  /// @returns live upstreams for a model, or for a plain service if `model`
  ///   is empty.
  [[nodiscard]] const std::vector<Candidate>& CandidatesFor(
      const ServiceName& service, const ModelName& model) const;
  /// @returns the instance of the upstream's agent, or nullptr if it isn't
  ///   listed.
  [[nodiscard]] const Instance* FindAgent(const UpstreamId& upstream) const;

 private:
  struct Upstream {
    ServiceName service;
    DataCentreId data_centre;
  };

  /// Rebuilds the indexes. Called after every change, so that a request needs
  /// only one look-up.
  void Rebuild();

  const Membership& m_membership;
  std::map<UpstreamId, Upstream> m_upstreams;
  Placement m_placement;
  bool m_has_published_placement = false;
  DrainSet m_drains;
  std::map<ServiceName, std::vector<Candidate>> m_by_service;
  std::map<ModelName, std::vector<Candidate>> m_by_model;
  std::map<UpstreamId, Instance> m_agents;
};

}  // namespace bambooquay
