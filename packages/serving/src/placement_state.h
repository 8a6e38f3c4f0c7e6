// Who is to hold what, by index, while a placement is planned.
#pragma once

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "bambooquay/serving/placement_planner.h"

namespace bambooquay {

/// The targets of all engines of a service and what follows from them. Engines
/// and models are indexes into the view and the profile; planning for hundreds
/// of each compares them millions of times.
///
/// Invariants: `copies(m)` counts the targets with `m`, `copies_near(e, m)`
/// those in the data centre of `e`; `free_mb(e)` is what the targets of `e`
/// leave of its memory.
class PlacementState {
 public:
  using Engine = std::size_t;
  using Model = std::size_t;

  PlacementState(const EngineProfile& profile,
                 const std::vector<EngineView>& engines);

  [[nodiscard]] std::size_t engine_count() const noexcept {
    return m_engines.size();
  }
  [[nodiscard]] std::size_t model_count() const noexcept {
    return m_copies.size();
  }
  [[nodiscard]] double weights_mb(Model model) const {
    return m_profile.models[model].weights_mb;
  }
  /// @returns the index of a model, or `model_count()` for an unknown one.
  [[nodiscard]] Model Find(const ModelName& model) const;

  [[nodiscard]] int copies(Model model) const { return m_copies[model]; }
  [[nodiscard]] int copies_near(Engine engine, Model model) const {
    return m_copies_in[m_engines[engine].data_centre][model];
  }
  [[nodiscard]] double free_mb(Engine engine) const {
    return m_engines[engine].free_mb;
  }
  [[nodiscard]] bool plannable(Engine engine) const {
    return m_engines[engine].view->plannable;
  }
  [[nodiscard]] const std::vector<Model>& targets(Engine engine) const {
    return m_engines[engine].targets;
  }
  [[nodiscard]] bool Targets(Engine engine, Model model) const {
    const auto& targets = m_engines[engine].targets;
    return std::ranges::find(targets, model) != targets.end();
  }
  /// @returns whether the model loads without the weight store.
  [[nodiscard]] bool IsLocal(Engine engine, Model model) const {
    return m_engines[engine].is_local[model];
  }
  [[nodiscard]] bool Fits(Engine engine, Model model) const {
    return free_mb(engine) >= weights_mb(model);
  }
  /// @returns loads from the weight store that the targets need.
  [[nodiscard]] int store_loads() const noexcept { return m_store_loads; }
  /// @returns models of the largest size that fit into the room of all engines
  /// beyond the models that no engine holds.
  [[nodiscard]] int SparePlaces() const;

  void Add(Engine engine, Model model);
  void Drop(Engine engine, Model model);

 private:
  struct EngineState {
    const EngineView* view = nullptr;
    std::size_t data_centre = 0;
    double free_mb = 0.0;
    std::vector<Model> targets;
    std::vector<bool> is_local;
  };

  void AddEngine(const EngineView& view, std::size_t data_centre);
  /// Counts a target that is there already.
  void Note(EngineState& engine, Model model);

  const EngineProfile& m_profile;
  std::unordered_map<ModelName, Model> m_index;
  std::vector<int> m_copies;
  /// By data centre and model.
  std::vector<std::vector<int>> m_copies_in;
  std::vector<EngineState> m_engines;
  int m_store_loads = 0;
};

}  // namespace bambooquay
