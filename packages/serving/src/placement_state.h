// The targets of all engines, by index, while a placement is planned.
#pragma once

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "bambooquay/serving/placement_planner.h"

namespace bambooquay {

/// The targets of all engines of a service and totals derived from them.
/// Engines and models are referred to by their index in the list of engines and
/// in the profile, because planning for hundreds of each compares them millions
/// of times.
///
/// Invariants: `replicas(m)` is the number of engines whose target contains
/// `m`, and `replicas_in_data_centre_of(e, m)` the number of these engines that
/// are in the data centre of `e`; `free_memory_mb(e)` is the weight memory of
/// `e` that the models in its target do not use.
class PlacementState {
 public:
  using EngineIndex = std::size_t;
  using ModelIndex = std::size_t;

  PlacementState(const EngineProfile& profile,
                 const std::vector<EngineView>& engines);

  [[nodiscard]] std::size_t engine_count() const noexcept {
    return m_engines.size();
  }
  [[nodiscard]] std::size_t model_count() const noexcept {
    return m_replicas.size();
  }
  [[nodiscard]] double weights_mb(ModelIndex model) const {
    return m_profile.models[model].weights_mb;
  }
  /// @returns the index of a model, or `model_count()` if the profile lacks it.
  [[nodiscard]] ModelIndex Find(const ModelName& model) const;

  [[nodiscard]] int replicas(ModelIndex model) const {
    return m_replicas[model];
  }
  [[nodiscard]] int replicas_in_data_centre_of(EngineIndex engine,
                                               ModelIndex model) const {
    return m_replicas_by_data_centre[m_engines[engine].data_centre][model];
  }
  [[nodiscard]] double free_memory_mb(EngineIndex engine) const {
    return m_engines[engine].free_memory_mb;
  }
  [[nodiscard]] bool is_assignable(EngineIndex engine) const {
    return m_engines[engine].view->is_assignable;
  }
  [[nodiscard]] const std::vector<ModelIndex>& target(
      EngineIndex engine) const {
    return m_engines[engine].target;
  }
  [[nodiscard]] bool IsInTarget(EngineIndex engine, ModelIndex model) const {
    const auto& target = m_engines[engine].target;
    return std::ranges::find(target, model) != target.end();
  }
  /// @returns whether the engine can load the model without the weight store.
  [[nodiscard]] bool HasLocalCopy(EngineIndex engine, ModelIndex model) const {
    return m_engines[engine].has_local_copy[model];
  }
  [[nodiscard]] bool Fits(EngineIndex engine, ModelIndex model) const {
    return free_memory_mb(engine) >= weights_mb(model);
  }
  /// @returns the number of loads from the weight store that are needed to
  /// reach the targets.
  [[nodiscard]] int store_loads() const noexcept { return m_store_loads; }
  /// @returns how many replicas of the largest model fit into the free memory
  /// of all engines, less one for each model without a replica.
  [[nodiscard]] int SpareReplicas() const;

  /// Adds `model` to the target of `engine`.
  void Add(EngineIndex engine, ModelIndex model);
  /// Removes `model` from the target of `engine`.
  void Remove(EngineIndex engine, ModelIndex model);

 private:
  struct EngineState {
    const EngineView* view = nullptr;
    std::size_t data_centre = 0;
    double free_memory_mb = 0.0;
    std::vector<ModelIndex> target;
    std::vector<bool> has_local_copy;
  };

  void AddEngine(const EngineView& view, std::size_t data_centre);
  /// Adds `model` to the target of `engine` without counting a load from the
  /// weight store.
  void AddWithoutLoad(EngineState& engine, ModelIndex model);

  const EngineProfile& m_profile;
  std::unordered_map<ModelName, ModelIndex> m_index;
  std::vector<int> m_replicas;
  /// By data centre and model.
  std::vector<std::vector<int>> m_replicas_by_data_centre;
  std::vector<EngineState> m_engines;
  int m_store_loads = 0;
};

}  // namespace bambooquay
