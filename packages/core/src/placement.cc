// Computes and repairs the placement of models on upstreams.
#include "bambooquay/core/placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bambooquay {
namespace {

constexpr int kMaxReplicas = 3;

/// Places the models of one service on its upstreams. Placing a replica takes
/// one pass over the upstreams.
class ServicePlacer {
 public:
  ServicePlacer(const Configuration& configuration,
                const ServiceSettings& service) {
    for (const ModelName& name : service.models) {
      m_models.push_back({configuration.Find(name), {}, {}});
    }
    std::ranges::stable_sort(
        m_models, std::ranges::greater{},
        [](const PlacedModel& placed) { return placed.model->memory; });
    for (const UpstreamSettings& upstream : configuration.upstreams) {
      if (upstream.service == service.name) {
        m_upstreams.push_back({&upstream, upstream.memory});
      }
    }
  }

  void Place(Placement& placement) {
    // Upstreams without any model are part of the placement as well.
    for (const UpstreamMemory& upstream : m_upstreams) {
      placement[upstream.settings->id];
    }
    for (int replica = 0; replica < kMaxReplicas; ++replica) {
      for (PlacedModel& placed : m_models) {
        PlaceReplica(placed, placement);
      }
    }
  }

 private:
  struct UpstreamMemory {
    const UpstreamSettings* settings;
    MebiBytes free;
  };
  struct PlacedModel {
    const ModelSettings* model;
    std::set<UpstreamId> upstreams;
    std::set<DataCentreId> data_centres;
  };

  // Chooses the upstream with the most free memory, preferring data centres
  // that have no replica of the model yet.
  void PlaceReplica(PlacedModel& placed, Placement& placement) {
    UpstreamMemory* best = nullptr;
    std::pair<bool, MebiBytes> best_rank;
    for (UpstreamMemory& upstream : m_upstreams) {
      if (upstream.free < placed.model->memory ||
          placed.upstreams.contains(upstream.settings->id)) {
        continue;
      }
      const std::pair<bool, MebiBytes> rank{
          !placed.data_centres.contains(upstream.settings->data_centre),
          upstream.free};
      if (best == nullptr || rank > best_rank) {
        best = &upstream;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      return;
    }
    best->free -= placed.model->memory;
    placed.upstreams.insert(best->settings->id);
    placed.data_centres.insert(best->settings->data_centre);
    placement[best->settings->id].insert(placed.model->name);
  }

  std::vector<PlacedModel> m_models;
  std::vector<UpstreamMemory> m_upstreams;
};

/// Repairs a placement so that every model has an available replica.
class PlacementRepairer {
 public:
  PlacementRepairer(const Configuration& configuration,
                    const std::set<UpstreamId>& available)
      : m_configuration(configuration), m_available(available) {}

  Placement Repair(const Placement& current) {
    KeepConfiguredModels(current);
    for (const ServiceSettings& service : m_configuration.services) {
      std::vector<const ModelSettings*> missing;
      for (const ModelName& name : service.models) {
        if (CountAvailableReplicas(name) == 0) {
          missing.push_back(m_configuration.Find(name));
        }
      }
      std::ranges::stable_sort(missing, std::ranges::greater{},
                               &ModelSettings::memory);
      for (const ModelSettings* model : missing) {
        PlaceMissingReplica(*model, service.name);
      }
    }
    return std::move(m_placement);
  }

 private:
  // Keeps the replicas whose upstream is still configured, whose model still
  // belongs to the upstream's service, and that fit the upstream's memory.
  void KeepConfiguredModels(const Placement& current) {
    for (const UpstreamSettings& upstream : m_configuration.upstreams) {
      m_free_memory[upstream.id] = upstream.memory;
      const auto models = current.find(upstream.id);
      if (models == current.end()) {
        continue;
      }
      for (const ModelName& name : models->second) {
        const ModelSettings* model = m_configuration.Find(name);
        const ServiceSettings* service = m_configuration.ServiceOf(name);
        if (model != nullptr && service != nullptr &&
            service->name == upstream.service &&
            model->memory <= m_free_memory[upstream.id]) {
          Add(upstream.id, *model);
        }
      }
    }
  }

  // Places the model on the available upstream where the least memory has to be
  // evicted; among equals, on the one with the most free memory.
  void PlaceMissingReplica(const ModelSettings& model,
                           const ServiceName& service) {
    const UpstreamSettings* best = nullptr;
    MebiBytes best_free;
    MebiBytes best_evicted;
    for (const UpstreamSettings& upstream : m_configuration.upstreams) {
      if (upstream.service != service || !m_available.contains(upstream.id)) {
        continue;
      }
      const MebiBytes free = m_free_memory[upstream.id];
      const auto victims = ChooseVictims(upstream.id, model.memory);
      MebiBytes evicted;
      for (const ModelName& victim : victims) {
        evicted += m_configuration.Find(victim)->memory;
      }
      if (free + evicted < model.memory) {
        continue;
      }
      const bool is_better = best == nullptr || evicted < best_evicted ||
                             (evicted == best_evicted && free > best_free);
      if (is_better) {
        best = &upstream;
        best_free = free;
        best_evicted = evicted;
      }
    }
    if (best == nullptr) {
      return;
    }
    for (const ModelName& victim : ChooseVictims(best->id, model.memory)) {
      Remove(best->id, *m_configuration.Find(victim));
    }
    Add(best->id, model);
  }

  // Returns models to remove from `upstream` to free enough for `memory`, and
  // no more than needed. All of them have another available replica.
  [[nodiscard]] std::vector<ModelName> ChooseVictims(const UpstreamId& upstream,
                                                     MebiBytes memory) {
    std::vector<ModelName> victims;
    MebiBytes free = m_free_memory[upstream];
    for (const ModelName& name : m_placement[upstream]) {
      if (free >= memory) {
        break;
      }
      if (CountAvailableReplicas(name) >= 2) {
        victims.push_back(name);
        free += m_configuration.Find(name)->memory;
      }
    }
    return victims;
  }

  [[nodiscard]] int CountAvailableReplicas(const ModelName& name) const {
    const auto replicas = m_available_replicas.find(name);
    return replicas == m_available_replicas.end() ? 0 : replicas->second;
  }

  void Add(const UpstreamId& upstream, const ModelSettings& model) {
    if (m_placement[upstream].insert(model.name).second) {
      m_free_memory[upstream] -= model.memory;
      m_available_replicas[model.name] +=
          m_available.contains(upstream) ? 1 : 0;
    }
  }

  void Remove(const UpstreamId& upstream, const ModelSettings& model) {
    if (m_placement[upstream].erase(model.name) > 0) {
      m_free_memory[upstream] += model.memory;
      m_available_replicas[model.name] -=
          m_available.contains(upstream) ? 1 : 0;
    }
  }

  const Configuration& m_configuration;
  const std::set<UpstreamId>& m_available;
  Placement m_placement;
  std::map<UpstreamId, MebiBytes> m_free_memory;
  /// Number of replicas of each model on available upstreams.
  std::map<ModelName, int> m_available_replicas;
};

}  // namespace

std::optional<Placement> ParsePlacement(std::string_view json) {
  const auto document = nlohmann::json::parse(json, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  Placement placement;
  for (const auto& [upstream, models] : document.items()) {
    auto& names = placement[UpstreamId(upstream)];
    for (const auto& model : models) {
      if (!model.is_string()) {
        return std::nullopt;
      }
      names.emplace(model.get<std::string>());
    }
  }
  return placement;
}

std::string SerializePlacement(const Placement& placement) {
  auto document = nlohmann::json::object();
  for (const auto& [upstream, models] : placement) {
    auto& names = document[upstream.value()] = nlohmann::json::array();
    for (const ModelName& model : models) {
      names.push_back(model.value());
    }
  }
  return document.dump();
}

Placement RepairPlacement(const Configuration& configuration,
                          const Placement& current,
                          const std::set<UpstreamId>& available) {
  return PlacementRepairer(configuration, available).Repair(current);
}

Placement ComputeStaticPlacement(const Configuration& configuration) {
  Placement placement;
  for (const ServiceSettings& service : configuration.services) {
    ServicePlacer(configuration, service).Place(placement);
  }
  return placement;
}

}  // namespace bambooquay
