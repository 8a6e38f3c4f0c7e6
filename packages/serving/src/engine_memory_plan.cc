// Decides which model or adapter an engine should load or unload next.
#include "bambooquay/serving/engine_memory_plan.h"

#include <algorithm>

namespace bambooquay {
namespace {

bool Contains(const std::vector<ModelName>& models, const ModelName& model) {
  return std::ranges::find(models, model) != models.end();
}

double UsedMemoryMb(const EngineProfile& profile, const EngineReport& report) {
  double used_mb = profile.AdapterReserveMb();
  for (const LoadedModel& resident : report.models) {
    const ServingModel* model = profile.Find(resident.name);
    // A model that is no longer in the configuration still uses memory. Its
    // size is unknown, so it counts as much as the largest model.
    used_mb += model == nullptr ? profile.LargestModelMb() : model->weights_mb;
  }
  return used_mb;
}

}  // namespace

std::optional<PlannedOrder> NextModelOrder(
    const EngineProfile& profile, const EngineReport& report,
    const std::vector<ModelName>& target) {
  if (report.busy || report.draining) {
    return std::nullopt;
  }
  const auto is_loaded = [&](const ModelName& model) {
    return std::ranges::find(report.models, model, &LoadedModel::name) !=
           report.models.end();
  };
  const auto has_local_copy = [&](const ModelName& model) {
    return Contains(report.in_host_memory, model) ||
           Contains(report.on_disk, model);
  };
  std::vector<ModelName> missing;
  std::ranges::copy_if(
      target, std::back_inserter(missing), [&](const ModelName& model) {
        return !is_loaded(model) && profile.Find(model) != nullptr;
      });
  if (missing.empty()) {
    return std::nullopt;
  }
  // Models with a local copy go first: they load fast and need no permit.
  const auto with_copy = std::ranges::find_if(missing, has_local_copy);
  const auto next = with_copy == missing.end() ? missing.begin() : with_copy;
  const double needed_mb = profile.Find(*next)->weights_mb;
  if (UsedMemoryMb(profile, report) + needed_mb <= profile.weights_mb) {
    return PlannedOrder{OrderKind::kLoad, *next, {}, !has_local_copy(*next)};
  }
  const auto unneeded =
      std::ranges::find_if(report.models, [&](const LoadedModel& resident) {
        return !Contains(target, resident.name);
      });
  if (unneeded == report.models.end()) {
    return std::nullopt;
  }
  return PlannedOrder{OrderKind::kUnload, unneeded->name, {}, false};
}

std::optional<PlannedOrder> NextAdapterOrder(
    const EngineProfile& profile, const EngineReport& report,
    const ModelName& model, const AdapterName& adapter,
    const std::deque<std::string>& adapters_by_last_use) {
  const auto resident =
      std::ranges::find(report.models, model, &LoadedModel::name);
  const std::string key = AdapterKey(model, adapter);
  if (resident == report.models.end() ||
      std::ranges::find(resident->adapters, adapter) !=
          resident->adapters.end() ||
      std::ranges::find(report.incoming_adapters, key) !=
          report.incoming_adapters.end()) {
    return std::nullopt;
  }
  std::vector<std::pair<ModelName, AdapterName>> loaded_adapters;
  for (const LoadedModel& loaded_model : report.models) {
    for (const AdapterName& name : loaded_model.adapters) {
      loaded_adapters.emplace_back(loaded_model.name, name);
    }
  }
  const auto slot_count = static_cast<std::size_t>(profile.adapter_slots);
  if (loaded_adapters.size() + report.incoming_adapters.size() < slot_count) {
    return PlannedOrder{OrderKind::kLoad, model, adapter, false};
  }
  if (loaded_adapters.empty()) {
    return std::nullopt;
  }
  // Adapters that were never requested from this agent are unloaded first.
  const auto least_recent =
      std::ranges::min_element(loaded_adapters, {}, [&](const auto& item) {
        return std::ranges::find(adapters_by_last_use,
                                 AdapterKey(item.first, item.second)) ==
                       adapters_by_last_use.end()
                   ? std::ptrdiff_t{-1}
                   : std::distance(adapters_by_last_use.begin(),
                                   std::ranges::find(
                                       adapters_by_last_use,
                                       AdapterKey(item.first, item.second)));
      });
  return PlannedOrder{OrderKind::kUnload, least_recent->first,
                      least_recent->second, false};
}

}  // namespace bambooquay
