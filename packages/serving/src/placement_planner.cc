// Decides which models each engine of a service is to hold.
#include "bambooquay/serving/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

#include "placement_state.h"

namespace bambooquay {
namespace {

// Load of a request beside its prompt, in prompt tokens: an engine decodes
// for about as long as it reads this many.
constexpr double kDecodeTokens = 3000.0;
// Keeps models without demand in a stable order, in tokens a second.
constexpr double kBaseLoad = 1.0;
// What a local copy adds to the load of its model where room is filled, in
// tokens a second: it is there because the model was wanted, which matters
// while little else is known. Six copies weigh like one request a second.
constexpr double kCopyLoad = 500.0;
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

/// Plans one placement.
class Plan {
 public:
  using Engine = PlacementState::Engine;
  using Model = PlacementState::Model;

  Plan(const EngineProfile& profile, const std::vector<EngineView>& engines,
       const std::vector<ModelDemand>& demand, const PlanLimits& limits)
      : m_profile(profile),
        m_engines(engines),
        m_limits(limits),
        m_state(profile, engines),
        m_load(profile.models.size(), kBaseLoad),
        m_past_load(profile.models.size()) {
    for (Engine engine = 0; engine < engines.size(); ++engine) {
      for (Model model = 0; model < m_load.size(); ++model) {
        m_past_load[model] += m_state.IsLocal(engine, model) ? kCopyLoad : 0.0;
      }
    }
    for (const ModelDemand& item : demand) {
      const Model model = m_state.Find(item.model);
      if (model < m_load.size()) {
        m_load[model] += item.prompt_tokens_per_second +
                         item.requests_per_second * kDecodeTokens;
      }
    }
  }

  PlacementTargets Make() {
    FillRoom();
    CoverMissing();
    if (m_limits.may_evict) {
      MoveCopies();
    }
    PlacementTargets targets;
    for (Engine engine = 0; engine < m_engines.size(); ++engine) {
      if (m_state.plannable(engine)) {
        targets[m_engines[engine].id] = InOrder(m_state.targets(engine));
      }
    }
    return targets;
  }

 private:
  struct Place {
    Engine engine = 0;
    std::optional<Model> evicted;
    double cost = std::numeric_limits<double>::max();
  };

  [[nodiscard]] std::vector<ModelName> InOrder(
      std::vector<Model> models) const {
    std::ranges::stable_sort(models, std::greater<>(), [this](Model model) {
      return m_load[model] + m_past_load[model];
    });
    std::vector<ModelName> names;
    std::ranges::transform(
        models, std::back_inserter(names),
        [this](Model model) { return m_profile.models[model].name; });
    return names;
  }

  [[nodiscard]] double LoadPerCopy(Model model, int copies) const {
    return m_load[model] / std::max(1, copies);
  }

  /// @returns the model on `engine` that is missed least, other than those
  /// that would lose their last copy.
  [[nodiscard]] std::optional<Model> LeastNeeded(Engine engine) const {
    std::optional<Model> least;
    double least_load = std::numeric_limits<double>::max();
    for (const Model model : m_state.targets(engine)) {
      if (m_state.copies(model) < 2) {
        continue;
      }
      const double load = LoadPerCopy(model, m_state.copies(model) - 1);
      if (load < least_load) {
        least = model;
        least_load = load;
      }
    }
    return least;
  }

  [[nodiscard]] bool MayLoad(Engine engine, Model model) const {
    return m_state.plannable(engine) && !m_state.Targets(engine, model) &&
           (m_state.IsLocal(engine, model) ||
            m_state.store_loads() < m_limits.store_loads);
  }

  [[nodiscard]] double CostOf(Engine engine, Model model) const {
    return (m_state.IsLocal(engine, model) ? 0.0 : kStoreLoadCost) +
           kSameDataCentreCost * m_state.copies_near(engine, model);
  }

  /// @returns the best engine with room for one more copy of `model`.
  [[nodiscard]] std::optional<Place> FindRoom(Model model) const {
    Place best;
    for (Engine engine = 0; engine < m_engines.size(); ++engine) {
      if (!m_state.Fits(engine, model) || !MayLoad(engine, model)) {
        continue;
      }
      const double cost = CostOf(engine, model);
      if (cost < best.cost) {
        best = {engine, std::nullopt, cost};
      }
    }
    return best.cost < std::numeric_limits<double>::max() ? std::optional(best)
                                                          : std::nullopt;
  }

  /// @returns the best engine for one more copy of `model` that drops another
  /// model for it.
  [[nodiscard]] std::optional<Place> FindExchange(Model model) const {
    Place best;
    for (Engine engine = 0; engine < m_engines.size(); ++engine) {
      if (m_state.Fits(engine, model) || !MayLoad(engine, model)) {
        continue;
      }
      const std::optional<Model> evicted = LeastNeeded(engine);
      if (!evicted.has_value()) {
        continue;
      }
      const double cost = CostOf(engine, model) +
                          LoadPerCopy(*evicted, m_state.copies(*evicted) - 1);
      if (cost < best.cost) {
        best = {engine, evicted, cost};
      }
    }
    return best.evicted.has_value() ? std::optional(best) : std::nullopt;
  }

  void Put(const Place& place, Model model) {
    if (place.evicted.has_value()) {
      m_state.Drop(place.engine, *place.evicted);
    }
    m_state.Add(place.engine, model);
  }

  [[nodiscard]] std::vector<Model> ByLoadPerCopy() const {
    std::vector<Model> models(m_state.model_count());
    std::iota(models.begin(), models.end(), Model{0});
    std::ranges::stable_sort(models, std::greater<>(), [this](Model model) {
      return LoadPerCopy(model, m_state.copies(model));
    });
    return models;
  }

  // Models that no engine holds and that found no room, the most wanted first.
  void CoverMissing() {
    for (const Model model : ByLoadPerCopy()) {
      if (m_state.copies(model) > 0) {
        continue;
      }
      std::optional<Place> place = FindRoom(model);
      if (!place.has_value() && m_limits.may_evict) {
        place = FindExchange(model);
      }
      if (place.has_value()) {
        Put(*place, model);
      }
    }
  }

  /// The best room for one more copy of each model, kept while others are
  /// placed: only the engine that was filled, and the model itself, change.
  class RoomFinder {
   public:
    explicit RoomFinder(const Plan& plan)
        : m_plan(plan), m_places(plan.m_state.model_count()) {
      Refresh([](const auto& /*place*/) { return true; });
    }
    [[nodiscard]] const std::optional<Place>& RoomFor(Model model) const {
      return m_places[model];
    }
    void NotePlaced(Engine engine, Model placed) {
      const bool store_is_out =
          m_plan.m_state.store_loads() >= m_plan.m_limits.store_loads;
      const bool changed =
          std::exchange(m_store_was_out, store_is_out) != store_is_out;
      m_places[placed] = m_plan.FindRoom(placed);
      Refresh([&](const std::optional<Place>& place) {
        return changed || (place.has_value() && place->engine == engine);
      });
    }

   private:
    template <typename Predicate>
    void Refresh(Predicate is_stale) {
      for (Model model = 0; model < m_places.size(); ++model) {
        if (is_stale(m_places[model])) {
          m_places[model] = m_plan.FindRoom(model);
        }
      }
    }

    const Plan& m_plan;
    std::vector<std::optional<Place>> m_places;
    bool m_store_was_out = false;
  };

  // Room goes to whatever is wanted most, as long as enough is left for every
  // model that no engine holds: an engine loads one model at a time, and a
  // wanted model needs many engines while they are cold.
  void FillRoom() {
    int spare = m_state.SparePlaces();
    RoomFinder rooms(*this);
    for (;;) {
      const std::optional<Model> model = NextForRoom(rooms, spare > 0);
      if (!model.has_value()) {
        return;
      }
      const Place place = *rooms.RoomFor(*model);
      spare -= m_state.copies(*model) == 0 ? 0 : 1;
      Put(place, *model);
      rooms.NotePlaced(place.engine, *model);
    }
  }

  /// @returns the model that gains most from a place, if any is worth one:
  /// loads from the weight store are for models that are missing, or with
  /// enough demand.
  [[nodiscard]] std::optional<Model> NextForRoom(const RoomFinder& rooms,
                                                 bool has_spare) const {
    std::optional<Model> best;
    double best_cost = std::numeric_limits<double>::max();
    for (Model model = 0; model < m_state.model_count(); ++model) {
      const std::optional<Place>& place = rooms.RoomFor(model);
      const bool missing = m_state.copies(model) == 0;
      if (!place.has_value() || (!missing && !has_spare)) {
        continue;
      }
      const int copies = m_state.copies(model) + 1;
      const double gain = (m_load[model] + m_past_load[model]) / copies;
      const bool worth = missing || m_state.IsLocal(place->engine, model) ||
                         LoadPerCopy(model, copies) > kStoreLoadCost;
      if (worth && place->cost - gain < best_cost) {
        best = model;
        best_cost = place->cost - gain;
      }
    }
    return best;
  }

  void MoveCopies() {
    const auto moves = static_cast<int>(
        std::ceil(static_cast<double>(m_engines.size()) * kMovesShare));
    for (int i = 0; i < std::max(1, moves); ++i) {
      const std::vector<Model> models = ByLoadPerCopy();
      if (std::ranges::none_of(
              models, [this](Model model) { return MoveCopyTo(model); })) {
        return;
      }
    }
  }

  /// @returns whether an engine is to drop a model for this one.
  bool MoveCopyTo(Model model) {
    const double gain = LoadPerCopy(model, m_state.copies(model));
    if (gain < kLeastLoadToMove) {
      return false;
    }
    const std::optional<Place> place = FindExchange(model);
    if (!place.has_value()) {
      return false;
    }
    const double loss =
        LoadPerCopy(*place->evicted, m_state.copies(*place->evicted) - 1);
    if (gain < loss * kMoveGain) {
      return false;
    }
    Put(*place, model);
    return true;
  }

  const EngineProfile& m_profile;
  const std::vector<EngineView>& m_engines;
  PlanLimits m_limits;
  PlacementState m_state;
  /// Prompt tokens a second that are asked of each model.
  std::vector<double> m_load;
  /// The same as far as local copies tell of it.
  std::vector<double> m_past_load;
};

}  // namespace

PlacementTargets PlanPlacement(const EngineProfile& profile,
                               const std::vector<EngineView>& engines,
                               const std::vector<ModelDemand>& demand,
                               const PlanLimits& limits) {
  return Plan(profile, engines, demand, limits).Make();
}

}  // namespace bambooquay
