// Decides the next order to one engine.
#include "bambooquay/serving/engine_memory_plan.h"

#include <algorithm>

namespace bambooquay {
namespace {

bool Contains(const std::vector<ModelName>& models, const ModelName& model) {
  return std::ranges::find(models, model) != models.end();
}

double HeldMb(const EngineProfile& profile, const EngineReport& report) {
  double held = profile.AdapterReserveMb();
  for (const ResidentModel& resident : report.models) {
    const ServingModel* model = profile.Find(resident.name);
    // A model that the configuration dropped still takes its memory; it
    // counts like the largest one.
    held += model == nullptr ? profile.LargestModelMb() : model->weights_mb;
  }
  return held;
}

}  // namespace

std::optional<PlannedOrder> NextModelOrder(
    const EngineProfile& profile, const EngineReport& report,
    const std::vector<ModelName>& target) {
  if (report.busy || report.draining) {
    return std::nullopt;
  }
  const auto holds = [&](const ModelName& model) {
    return std::ranges::find(report.models, model, &ResidentModel::name) !=
           report.models.end();
  };
  const auto is_local = [&](const ModelName& model) {
    return Contains(report.in_host_memory, model) ||
           Contains(report.on_disk, model);
  };
  std::vector<ModelName> missing;
  std::ranges::copy_if(target, std::back_inserter(missing),
                       [&](const ModelName& model) {
                         return !holds(model) && profile.Find(model) != nullptr;
                       });
  if (missing.empty()) {
    return std::nullopt;
  }
  // Local copies load fast and without a permit.
  const auto local = std::ranges::find_if(missing, is_local);
  const auto wanted = local == missing.end() ? missing.begin() : local;
  const double needed = profile.Find(*wanted)->weights_mb;
  if (HeldMb(profile, report) + needed <= profile.weights_mb) {
    return PlannedOrder{OrderKind::kLoad, *wanted, {}, !is_local(*wanted)};
  }
  const auto surplus =
      std::ranges::find_if(report.models, [&](const ResidentModel& resident) {
        return !Contains(target, resident.name);
      });
  if (surplus == report.models.end()) {
    return std::nullopt;
  }
  return PlannedOrder{OrderKind::kUnload, surplus->name, {}, false};
}

std::optional<PlannedOrder> NextAdapterOrder(
    const EngineProfile& profile, const EngineReport& report,
    const ModelName& model, const AdapterName& adapter,
    const std::deque<std::string>& order_of_use) {
  const auto resident =
      std::ranges::find(report.models, model, &ResidentModel::name);
  const std::string key = AdapterKey(model, adapter);
  if (resident == report.models.end() ||
      std::ranges::find(resident->adapters, adapter) !=
          resident->adapters.end() ||
      std::ranges::find(report.incoming, key) != report.incoming.end()) {
    return std::nullopt;
  }
  std::vector<std::pair<ModelName, AdapterName>> held;
  for (const ResidentModel& one : report.models) {
    for (const AdapterName& name : one.adapters) {
      held.emplace_back(one.name, name);
    }
  }
  const auto places = static_cast<std::size_t>(profile.adapter_places);
  if (held.size() + report.incoming.size() < places) {
    return PlannedOrder{OrderKind::kLoad, model, adapter, false};
  }
  if (held.empty()) {
    return std::nullopt;
  }
  // Adapters that were never asked for here go first.
  const auto oldest = std::ranges::min_element(held, {}, [&](const auto& one) {
    return std::ranges::find(order_of_use, AdapterKey(one.first, one.second)) ==
                   order_of_use.end()
               ? std::ptrdiff_t{-1}
               : std::distance(
                     order_of_use.begin(),
                     std::ranges::find(order_of_use,
                                       AdapterKey(one.first, one.second)));
  });
  return PlannedOrder{OrderKind::kUnload, oldest->first, oldest->second, false};
}

}  // namespace bambooquay
