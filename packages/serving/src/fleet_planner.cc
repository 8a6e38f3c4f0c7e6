// Plans placement repeatedly, taking earlier plans into account.
#include "bambooquay/serving/fleet_planner.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/scheduling/reading_rate.h"

namespace bambooquay {
namespace {

// An engine has to reach its target in the time of this many loads from the
// weight store, and this much for unloads, which wait for running requests.
// Afterwards planning starts again from the models that it has loaded.
constexpr int kLoadsPerPlan = 2;
constexpr Duration kUnloadTime = std::chrono::milliseconds(2600);
// Time without a change after which the list of engines counts as complete.
// When the fleet starts, engines are added over some seconds.
constexpr Duration kEngineListSettleTime = std::chrono::seconds(2);
// Loads from the weight store are planned this many seconds ahead, at the rate
// that the weight store allows.
constexpr double kLoadHorizonSeconds = 1.5;

Duration PlanTimeout(const EngineProfile& profile) {
  const auto slowest =
      std::ranges::max_element(profile.models, {}, &ServingModel::load_time);
  return slowest == profile.models.end()
             ? kUnloadTime
             : kUnloadTime + slowest->load_time * kLoadsPerPlan;
}

/// @returns the factors of a service's models; empty if no entry knows a rate.
WorkFactors FindServiceFactors(const ServiceName& service,
                               const std::vector<ModelDemand>& demand) {
  std::vector<ReadingRateReport> reports;
  for (const ModelDemand& item : demand) {
    if (item.service == service && item.reading_rate > 0.0) {
      reports.push_back(
          {item.model, item.reading_rate, item.requests_per_second});
    }
  }
  return FindWorkFactors(reports);
}

/// @returns the demand with that for a service's models in tokens of a typical
///   model.
std::vector<ModelDemand> WeighByWork(const ServiceName& service,
                                     std::vector<ModelDemand> demand,
                                     const WorkFactors& factors) {
  for (ModelDemand& item : demand) {
    const auto factor = factors.find(item.model);
    if (item.service == service && factor != factors.end()) {
      item.prompt_tokens_per_second *= factor->second;
    }
  }
  return demand;
}

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
  const std::vector<EngineView> engines = BuildEngineViews(service);
  const WorkFactors factors = FindServiceFactors(service.name, demand);
  const std::vector<ModelDemand> work =
      factors.empty() ? std::vector<ModelDemand>{}
                      : WeighByWork(service.name, demand, factors);
  const PlanLimits limits = UpdateLimits(service, engines);
  for (auto& [id, models] : PlanPlacement(
           *service.engine, engines, factors.empty() ? demand : work, limits)) {
    EnginePlan& plan = m_plans[id];
    // The models are sorted by demand. If only their order differs, the plan
    // has not changed and its timeout is not restarted.
    if (!std::ranges::is_permutation(plan.models, models)) {
      LogEvent(LogLevel::kInfo, "placement")
          .With("upstream", id.value())
          .With("models", models.size());
      plan = {models, m_clock.Now()};
    }
    targets[id] = models;
  }
}

std::vector<EngineView> FleetPlanner::BuildEngineViews(
    const ServingService& service) {
  const Duration plan_timeout = PlanTimeout(*service.engine);
  std::vector<EngineView> engines;
  for (const auto& [id, upstream] : m_upstreams.all()) {
    if (upstream.record.service != service.name) {
      continue;
    }
    if (m_upstreams.IsUsable(upstream)) {
      engines.push_back(BuildEngineView(id, upstream, plan_timeout));
    } else {
      m_plans.erase(id);
    }
  }
  std::ranges::sort(engines, {}, &EngineView::id);
  return engines;
}

EngineView FleetPlanner::BuildEngineView(const UpstreamId& id,
                                         const Upstream& upstream,
                                         Duration plan_timeout) const {
  EngineView view;
  view.id = id;
  view.data_centre = upstream.record.data_centre;
  view.is_assignable = m_upstreams.HasFreshReport(upstream);
  std::ranges::transform(m_upstreams.Models(upstream),
                         std::back_inserter(view.loaded_models),
                         &LoadedModel::name);
  view.assigned_models = view.loaded_models;
  if (!view.is_assignable) {
    return view;
  }
  const auto plan = m_plans.find(id);
  if (plan != m_plans.end() &&
      m_clock.Now() - plan->second.changed_at < plan_timeout) {
    view.assigned_models = plan->second.models;
  }
  view.local_copies = upstream.report->in_host_memory;
  std::ranges::copy(upstream.report->on_disk,
                    std::back_inserter(view.local_copies));
  return view;
}

PlanLimits FleetPlanner::UpdateLimits(const ServingService& service,
                                      const std::vector<EngineView>& engines) {
  std::vector<UpstreamId> ids;
  std::ranges::transform(engines, std::back_inserter(ids), &EngineView::id);
  const TimePoint now = m_clock.Now();
  EngineList& engine_list = m_engine_lists[service.name];
  if (engine_list.ids != ids) {
    engine_list = {std::move(ids), now};
  }
  PlanLimits limits;
  limits.may_evict = now - engine_list.changed_at > kEngineListSettleTime;
  limits.max_store_loads = std::max(
      2,
      static_cast<int>(service.engine->loads_per_second * kLoadHorizonSeconds));
  return limits;
}

}  // namespace bambooquay
