// Decides which models each engine of a service is to hold.
#include "bambooquay/serving/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace bambooquay {
namespace {

// Load of a request beside its prompt, in prompt tokens: an engine decodes
// for about as long as it reads this many.
constexpr double kDecodeTokens = 3000.0;
// Keeps models without demand in a stable order, in tokens a second.
constexpr double kBaseLoad = 1.0;
// A copy moves only to a model with at least this load per copy, in tokens a
// second: about a seventh of what an engine reads.
constexpr double kLeastLoadToMove = 6000.0;
// A copy moves only where the model that gains it has this many times the load
// per copy of the one that loses it.
constexpr double kMoveGain = 2.0;
// Costs in load per copy, in tokens a second: a load from the weight store
// weighs like the loss of this much.
constexpr double kStoreLoadCost = 5000.0;
// Copies in one data centre are lost together.
constexpr double kSameDataCentreCost = 500.0;
// Engines that change their models at the same time, in part of all.
constexpr double kMovesShare = 0.25;

/// The state of planning: who is to hold what.
class Plan {
 public:
  Plan(const EngineProfile& profile, const std::vector<EngineView>& engines,
       const std::vector<ModelDemand>& demand, const PlanLimits& limits)
      : m_profile(profile), m_engines(engines), m_limits(limits) {
    for (const ServingModel& model : profile.models) {
      m_load[model.name] = kBaseLoad;
      m_copies[model.name] = 0;
    }
    for (const ModelDemand& item : demand) {
      const auto known = m_load.find(item.model);
      if (known != m_load.end()) {
        known->second += item.prompt_tokens_per_second +
                         item.requests_per_second * kDecodeTokens;
      }
    }
    for (const EngineView& engine : engines) {
      auto& target = m_targets[engine.id];
      for (const ModelName& model : engine.models) {
        if (m_copies.contains(model)) {
          target.push_back(model);
          ++m_copies[model];
          const bool is_held =
              std::ranges::find(engine.held, model) != engine.held.end();
          if (!is_held && !HasLocalCopy(engine, model)) {
            ++m_store_loads;
          }
        }
      }
    }
  }

  PlacementTargets Make() {
    CoverMissing();
    FillRoom();
    if (m_limits.may_evict) {
      MoveCopies();
    }
    std::ranges::for_each(m_engines, [this](const EngineView& engine) {
      if (!engine.plannable) {
        m_targets.erase(engine.id);
      }
    });
    for (auto& [engine, target] : m_targets) {
      std::ranges::stable_sort(
          target, std::greater<>(),
          [this](const ModelName& model) { return m_load.at(model); });
    }
    return m_targets;
  }

 private:
  [[nodiscard]] double LoadPerCopy(const ModelName& model, int copies) const {
    return m_load.at(model) / std::max(1, copies);
  }

  [[nodiscard]] double FreeMb(const UpstreamId& engine) const {
    double free = m_profile.weights_mb;
    for (const ModelName& model : m_targets.at(engine)) {
      free -= m_profile.Find(model)->weights_mb;
    }
    // Adapters share the memory.
    double adapter_mb = 0.0;
    for (const ServingModel& model : m_profile.models) {
      adapter_mb = std::max(adapter_mb, model.adapter_mb);
    }
    return free - adapter_mb * m_profile.adapter_places;
  }

  [[nodiscard]] bool Targets(const UpstreamId& engine,
                             const ModelName& model) const {
    const auto& target = m_targets.at(engine);
    return std::ranges::find(target, model) != target.end();
  }

  [[nodiscard]] bool HasLocalCopy(const EngineView& engine,
                                  const ModelName& model) const {
    return std::ranges::find(engine.local_copies, model) !=
           engine.local_copies.end();
  }

  [[nodiscard]] int CopiesIn(const DataCentreId& data_centre,
                             const ModelName& model) const {
    return static_cast<int>(
        std::ranges::count_if(m_engines, [&](const EngineView& engine) {
          return engine.data_centre == data_centre && Targets(engine.id, model);
        }));
  }

  /// @returns the model on `engine` that is missed least, other than
  /// `wanted` and models that would lose their last copy.
  [[nodiscard]] const ModelName* LeastNeeded(const EngineView& engine,
                                             const ModelName& wanted) const {
    const ModelName* least = nullptr;
    double least_load = std::numeric_limits<double>::max();
    for (const ModelName& model : m_targets.at(engine.id)) {
      const int copies = m_copies.at(model);
      if (model == wanted || copies < 2) {
        continue;
      }
      const double load = LoadPerCopy(model, copies - 1);
      if (load < least_load) {
        least = &model;
        least_load = load;
      }
    }
    return least;
  }

  void Add(const EngineView& engine, const ModelName& model) {
    m_targets[engine.id].push_back(model);
    ++m_copies[model];
  }

  void Drop(const EngineView& engine, const ModelName& model) {
    // The argument may be the element that is erased.
    --m_copies[model];
    std::erase(m_targets[engine.id], ModelName(model));
  }

  struct Place {
    const EngineView* engine = nullptr;
    const ModelName* evicted = nullptr;
    double cost = std::numeric_limits<double>::max();
  };

  /// @returns the best engine for one more copy of `model`.
  [[nodiscard]] Place FindPlace(const ModelName& model, bool may_evict) const {
    Place best;
    for (const EngineView& engine : m_engines) {
      const bool local = HasLocalCopy(engine, model);
      if (!engine.plannable || Targets(engine.id, model) ||
          (!local && m_store_loads >= m_limits.store_loads)) {
        continue;
      }
      Place place{&engine, nullptr, 0.0};
      if (FreeMb(engine.id) < m_profile.Find(model)->weights_mb) {
        place.evicted = may_evict ? LeastNeeded(engine, model) : nullptr;
        if (place.evicted == nullptr) {
          continue;
        }
        place.cost +=
            LoadPerCopy(*place.evicted, m_copies.at(*place.evicted) - 1);
      }
      if (!local) {
        place.cost += kStoreLoadCost;
      }
      place.cost += kSameDataCentreCost * CopiesIn(engine.data_centre, model);
      if (place.cost < best.cost) {
        best = place;
      }
    }
    return best;
  }

  void Put(const Place& place, const ModelName& model) {
    if (place.evicted != nullptr) {
      Drop(*place.engine, *place.evicted);
    }
    if (!HasLocalCopy(*place.engine, model)) {
      ++m_store_loads;
    }
    Add(*place.engine, model);
  }

  [[nodiscard]] std::vector<ModelName> ByLoadPerCopy() const {
    std::vector<ModelName> models;
    for (const auto& [model, copies] : m_copies) {
      models.push_back(model);
    }
    std::ranges::sort(models, std::greater<>(), [this](const ModelName& model) {
      return LoadPerCopy(model, m_copies.at(model));
    });
    return models;
  }

  // Models that no engine holds come first, the most wanted first.
  void CoverMissing() {
    for (const ModelName& model : ByLoadPerCopy()) {
      if (m_copies.at(model) > 0) {
        continue;
      }
      const Place place = FindPlace(model, m_limits.may_evict);
      if (place.engine != nullptr) {
        Put(place, model);
      }
    }
  }

  // Room is filled with what loads without the weight store, and from there
  // only with models whose demand is worth it.
  void FillRoom() {
    for (bool placed = true; placed;) {
      placed = false;
      Place best;
      const ModelName* best_model = nullptr;
      for (const auto& [model, copies] : m_copies) {
        Place place = FindPlace(model, false);
        if (place.engine == nullptr) {
          continue;
        }
        place.cost -= LoadPerCopy(model, copies + 1);
        const bool worth = HasLocalCopy(*place.engine, model) ||
                           LoadPerCopy(model, copies + 1) > kStoreLoadCost;
        if (worth && place.cost < best.cost) {
          best = place;
          best_model = &model;
        }
      }
      if (best_model != nullptr) {
        Put(best, *best_model);
        placed = true;
      }
    }
  }

  void MoveCopies() {
    const int moves = std::max(
        1, static_cast<int>(
               std::ceil(static_cast<double>(m_engines.size()) * kMovesShare)));
    for (int i = 0; i < moves; ++i) {
      const std::vector<ModelName> models = ByLoadPerCopy();
      const bool moved =
          std::ranges::any_of(models, [this](const ModelName& model) {
            const Place place = FindPlace(model, true);
            if (place.engine == nullptr || place.evicted == nullptr) {
              return false;
            }
            const double gain = LoadPerCopy(model, m_copies.at(model));
            const double loss =
                LoadPerCopy(*place.evicted, m_copies.at(*place.evicted) - 1);
            if (gain < kLeastLoadToMove || gain < loss * kMoveGain) {
              return false;
            }
            Put(place, model);
            return true;
          });
      if (!moved) {
        return;
      }
    }
  }

  const EngineProfile& m_profile;
  const std::vector<EngineView>& m_engines;
  PlanLimits m_limits;
  int m_store_loads = 0;
  std::map<ModelName, double> m_load;
  std::map<ModelName, int> m_copies;
  PlacementTargets m_targets;
};

}  // namespace

PlacementTargets PlanPlacement(const EngineProfile& profile,
                               const std::vector<EngineView>& engines,
                               const std::vector<ModelDemand>& demand,
                               const PlanLimits& limits) {
  return Plan(profile, engines, demand, limits).Make();
}

}  // namespace bambooquay
