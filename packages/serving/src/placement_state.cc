// The targets of all engines, by index, while a placement is planned.
#include "placement_state.h"

namespace bambooquay {
PlacementState::PlacementState(const EngineProfile& profile,
                               const std::vector<EngineView>& engines)
    : m_profile(profile), m_replicas(profile.models.size()) {
  for (ModelIndex model = 0; model < profile.models.size(); ++model) {
    m_index.emplace(profile.models[model].name, model);
  }
  std::unordered_map<DataCentreId, std::size_t> data_centres;
  m_engines.reserve(engines.size());
  for (const EngineView& view : engines) {
    const auto [position, is_new] =
        data_centres.try_emplace(view.data_centre, data_centres.size());
    if (is_new) {
      m_replicas_by_data_centre.emplace_back(model_count());
    }
    AddEngine(view, position->second);
  }
}

PlacementState::ModelIndex PlacementState::Find(const ModelName& model) const {
  const auto found = m_index.find(model);
  return found == m_index.end() ? model_count() : found->second;
}

void PlacementState::AddEngine(const EngineView& view,
                               std::size_t data_centre) {
  EngineState& engine = m_engines.emplace_back();
  engine.view = &view;
  engine.data_centre = data_centre;
  engine.free_memory_mb = m_profile.weights_mb - m_profile.AdapterReserveMb();
  engine.has_local_copy.resize(model_count());
  for (const ModelName& name : view.local_copies) {
    if (const ModelIndex model = Find(name); model < model_count()) {
      engine.has_local_copy[model] = true;
    }
  }
  for (const ModelName& name : view.assigned_models) {
    const ModelIndex model = Find(name);
    if (model == model_count()) {
      continue;
    }
    AddWithoutLoad(engine, model);
    const bool is_loaded =
        std::ranges::find(view.loaded_models, name) != view.loaded_models.end();
    m_store_loads += is_loaded || engine.has_local_copy[model] ? 0 : 1;
  }
}

void PlacementState::AddWithoutLoad(EngineState& engine, ModelIndex model) {
  engine.target.push_back(model);
  engine.free_memory_mb -= weights_mb(model);
  ++m_replicas[model];
  ++m_replicas_by_data_centre[engine.data_centre][model];
}

void PlacementState::Add(EngineIndex engine, ModelIndex model) {
  m_store_loads += HasLocalCopy(engine, model) ? 0 : 1;
  AddWithoutLoad(m_engines[engine], model);
}

void PlacementState::Remove(EngineIndex engine, ModelIndex model) {
  EngineState& state = m_engines[engine];
  std::erase(state.target, model);
  state.free_memory_mb += weights_mb(model);
  --m_replicas[model];
  --m_replicas_by_data_centre[state.data_centre][model];
}

int PlacementState::SpareReplicas() const {
  const double largest = std::max(1.0, m_profile.LargestModelMb());
  int replicas = 0;
  for (const EngineState& engine : m_engines) {
    replicas +=
        static_cast<int>(std::max(0.0, engine.free_memory_mb) / largest);
  }
  return replicas - static_cast<int>(std::ranges::count(m_replicas, 0));
}

}  // namespace bambooquay
