// Plans placement over time: from what the engines hold now and what they were
// told before.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/serving/placement_planner.h"
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {

/// Carries plans on until engines have come to them, and holds back evictions
/// while the list of engines changes.
class FleetPlanner {
 public:
  /// Both must outlive the planner.
  FleetPlanner(const Clock& clock, const UpstreamSet& upstreams)
      : m_clock(clock), m_upstreams(upstreams) {}

  /// @param demand  summed over all entries.
  /// @returns the targets of all engines that report.
  [[nodiscard]] PlacementTargets Plan(const FleetConfiguration& configuration,
                                      const std::vector<ModelDemand>& demand);
  /// Forgets the plans, which another entry makes now.
  void Forget() { m_planned.clear(); }

 private:
  struct PlannedEngine {
    std::vector<ModelName> models;
    TimePoint changed_at{};
  };
  struct EngineList {
    std::vector<UpstreamId> ids;
    TimePoint changed_at{};
  };

  void PlanService(const ServingService& service,
                   const std::vector<ModelDemand>& demand,
                   PlacementTargets& targets);
  [[nodiscard]] std::vector<EngineView> ViewEngines(const ServiceName& service);
  [[nodiscard]] EngineView ViewOf(const UpstreamId& id,
                                  const Upstream& upstream) const;
  [[nodiscard]] PlanLimits LimitsFor(const ServingService& service,
                                     const std::vector<EngineView>& engines);

  const Clock& m_clock;
  const UpstreamSet& m_upstreams;
  std::unordered_map<ServiceName, EngineList> m_engine_lists;
  std::map<UpstreamId, PlannedEngine> m_planned;
};

}  // namespace bambooquay
