// Plans placement over time.
#include "bambooquay/serving/fleet_planner.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

// An engine is given this long to come to its target before the plan starts
// again from what it holds: two loads from the weight store and an unload.
constexpr Duration kPlanTime = std::chrono::seconds(5);
// The list of engines counts as settled when it has not changed for this
// long; at a start it fills over some seconds.
constexpr Duration kSettledTime = std::chrono::seconds(2);
// Seconds of the weight store's rate that are planned ahead.
constexpr double kLoadsAhead = 1.5;

}  // namespace

PlacementTargets FleetPlanner::Plan(const FleetConfiguration& configuration,
                                    const std::vector<ModelDemand>& demand) {
  PlacementTargets targets;
  for (const ServingService& service : configuration.services) {
    if (service.engine.has_value()) {
      PlanService(service, demand, targets);
    }
  }
  return targets;
}

void FleetPlanner::PlanService(const ServingService& service,
                               const std::vector<ModelDemand>& demand,
                               PlacementTargets& targets) {
  const std::vector<EngineView> engines = ViewEngines(service.name);
  const PlanLimits limits = LimitsFor(service, engines);
  for (auto& [id, models] :
       PlanPlacement(*service.engine, engines, demand, limits)) {
    PlannedEngine& planned = m_planned[id];
    // The order follows demand and is no change of the plan.
    if (!std::ranges::is_permutation(planned.models, models)) {
      LogEvent(LogLevel::kInfo, "placement")
          .With("upstream", id.value())
          .With("models", models.size());
      planned = {models, m_clock.Now()};
    }
    targets[id] = models;
  }
}

std::vector<EngineView> FleetPlanner::ViewEngines(const ServiceName& service) {
  std::vector<EngineView> engines;
  for (const auto& [id, upstream] : m_upstreams.all()) {
    if (upstream.record.service != service) {
      continue;
    }
    if (m_upstreams.Usable(upstream)) {
      engines.push_back(ViewOf(id, upstream));
    } else {
      m_planned.erase(id);
    }
  }
  std::ranges::sort(engines, {}, &EngineView::id);
  return engines;
}

EngineView FleetPlanner::ViewOf(const UpstreamId& id,
                                const Upstream& upstream) const {
  EngineView view;
  view.id = id;
  view.data_centre = upstream.record.data_centre;
  view.plannable = m_upstreams.HasFreshReport(upstream);
  std::ranges::transform(m_upstreams.Models(upstream),
                         std::back_inserter(view.held), &ResidentModel::name);
  view.models = view.held;
  if (!view.plannable) {
    return view;
  }
  const auto planned = m_planned.find(id);
  if (planned != m_planned.end() &&
      m_clock.Now() - planned->second.changed_at < kPlanTime) {
    view.models = planned->second.models;
  }
  view.local_copies = upstream.report->in_host_memory;
  std::ranges::copy(upstream.report->on_disk,
                    std::back_inserter(view.local_copies));
  return view;
}

PlanLimits FleetPlanner::LimitsFor(const ServingService& service,
                                   const std::vector<EngineView>& engines) {
  std::vector<UpstreamId> ids;
  std::ranges::transform(engines, std::back_inserter(ids), &EngineView::id);
  const TimePoint now = m_clock.Now();
  EngineList& listed = m_engine_lists[service.name];
  if (listed.ids != ids) {
    listed = {std::move(ids), now};
  }
  PlanLimits limits;
  limits.may_evict = now - listed.changed_at > kSettledTime;
  limits.store_loads = std::max(
      2, static_cast<int>(service.engine->loads_per_second * kLoadsAhead));
  return limits;
}

}  // namespace bambooquay
