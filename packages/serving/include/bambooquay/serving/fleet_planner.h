// Plans placement repeatedly, taking into account earlier plans that the
// engines are still carrying out.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/serving/placement_planner.h"
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {

/// Keeps a plan in force until its engine has reached it or has had enough time
/// to do so, and evicts no model while the list of engines is changing.
class FleetPlanner {
 public:
  /// `clock` and `upstreams` must outlive the planner.
  FleetPlanner(const Clock& clock, const UpstreamSet& upstreams)
      : m_clock(clock), m_upstreams(upstreams) {}

  /// @param demand  summed over all entries.
  /// @returns the targets of all engines with a recent report.
  [[nodiscard]] PlacementTargets Plan(const FleetConfiguration& configuration,
                                      const std::vector<ModelDemand>& demand);
  /// Discards all plans. To be called while another entry plans placement.
  void ClearPlans() { m_plans.clear(); }

 private:
  /// The last plan for one engine.
  struct EnginePlan {
    std::vector<ModelName> models;
    TimePoint changed_at{};
  };
  /// The usable engines of one service.
  struct EngineList {
    std::vector<UpstreamId> ids;
    TimePoint changed_at{};
  };

  void PlanService(const ServingService& service,
                   const std::vector<ModelDemand>& demand,
                   PlacementTargets& targets);
  /// Discards the plans of engines of `service` that are not usable.
  /// @returns the usable engines of `service`, sorted by id.
  [[nodiscard]] std::vector<EngineView> BuildEngineViews(
      const ServingService& service);
  /// @param plan_timeout  how long a plan stays in force that its engine has
  ///   not reached.
  [[nodiscard]] EngineView BuildEngineView(const UpstreamId& id,
                                           const Upstream& upstream,
                                           Duration plan_timeout) const;
  /// Records whether the list of engines has changed since the last plan.
  /// @returns the limits for the next plan.
  [[nodiscard]] PlanLimits UpdateLimits(const ServingService& service,
                                        const std::vector<EngineView>& engines);

  const Clock& m_clock;
  const UpstreamSet& m_upstreams;
  std::unordered_map<ServiceName, EngineList> m_engine_lists;
  std::map<UpstreamId, EnginePlan> m_plans;
};

}  // namespace bambooquay
