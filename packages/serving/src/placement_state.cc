// Who is to hold what, by index, while a placement is planned.
#include "placement_state.h"

namespace bambooquay {
PlacementState::PlacementState(const EngineProfile& profile,
                               const std::vector<EngineView>& engines)
    : m_profile(profile), m_copies(profile.models.size()) {
  for (Model model = 0; model < profile.models.size(); ++model) {
    m_index.emplace(profile.models[model].name, model);
  }
  std::unordered_map<DataCentreId, std::size_t> data_centres;
  m_engines.reserve(engines.size());
  for (const EngineView& view : engines) {
    const auto [place, is_new] =
        data_centres.try_emplace(view.data_centre, data_centres.size());
    if (is_new) {
      m_copies_in.emplace_back(model_count());
    }
    AddEngine(view, place->second);
  }
}

PlacementState::Model PlacementState::Find(const ModelName& model) const {
  const auto known = m_index.find(model);
  return known == m_index.end() ? model_count() : known->second;
}

void PlacementState::AddEngine(const EngineView& view,
                               std::size_t data_centre) {
  EngineState& engine = m_engines.emplace_back();
  engine.view = &view;
  engine.data_centre = data_centre;
  engine.free_mb = m_profile.weights_mb - m_profile.AdapterReserveMb();
  engine.is_local.resize(model_count());
  for (const ModelName& name : view.local_copies) {
    if (const Model model = Find(name); model < model_count()) {
      engine.is_local[model] = true;
    }
  }
  for (const ModelName& name : view.models) {
    const Model model = Find(name);
    if (model == model_count()) {
      continue;
    }
    Note(engine, model);
    const bool is_held = std::ranges::find(view.held, name) != view.held.end();
    m_store_loads += is_held || engine.is_local[model] ? 0 : 1;
  }
}

void PlacementState::Note(EngineState& engine, Model model) {
  engine.targets.push_back(model);
  engine.free_mb -= weights_mb(model);
  ++m_copies[model];
  ++m_copies_in[engine.data_centre][model];
}

void PlacementState::Add(Engine engine, Model model) {
  m_store_loads += IsLocal(engine, model) ? 0 : 1;
  Note(m_engines[engine], model);
}

void PlacementState::Drop(Engine engine, Model model) {
  EngineState& state = m_engines[engine];
  std::erase(state.targets, model);
  state.free_mb += weights_mb(model);
  --m_copies[model];
  --m_copies_in[state.data_centre][model];
}

int PlacementState::SparePlaces() const {
  const double largest = std::max(1.0, m_profile.LargestModelMb());
  int places = 0;
  for (const EngineState& engine : m_engines) {
    places += static_cast<int>(std::max(0.0, engine.free_mb) / largest);
  }
  return places - static_cast<int>(std::ranges::count(m_copies, 0));
}

}  // namespace bambooquay
