// Decides which models each engine of a service should load.
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

// Demand is measured in prompt tokens per second. Each request adds this many
// tokens to those of its prompt, as decoding its response takes an engine about
// as long as the prefill of this many tokens.
constexpr double kDecodeCostTokens = 3000.0;
// Demand of a model without requests, in tokens per second. Keeps such models
// in a stable order.
constexpr double kBaseDemand = 1.0;
// Demand that each local copy of a model adds to it while free memory is
// filled, in tokens per second. A local copy shows that there were requests for
// the model, which matters while little demand has been measured. Six local
// copies count as much as one request per second.
constexpr double kLocalCopyDemand = 500.0;
// A model is evicted only for one with at least this demand per replica, in
// tokens per second: about a seventh of an engine's prefill throughput. Neither
// this nor the other two limits on evictions apply to PlaceMissingModels().
constexpr double kMinDemandToEvict = 6000.0;
// A model is evicted only for one whose demand per replica is at least this
// many times the demand per replica that the evicted model will have.
constexpr double kMinEvictionGainRatio = 2.0;
// Cost of a load from the weight store, in demand per replica (tokens per
// second).
constexpr double kStoreLoadCost = 5000.0;
// Cost of each replica that the data centre already has, in the same unit:
// replicas in one data centre are lost together.
constexpr double kSameDataCentreCost = 500.0;
// Upper limit on evictions in one plan, as a share of the engines of the
// service. At least one is allowed.
constexpr double kMaxEvictionsShare = 0.25;

/// Computes one placement.
class PlacementBuilder {
 public:
  using EngineIndex = PlacementState::EngineIndex;
  using ModelIndex = PlacementState::ModelIndex;

  PlacementBuilder(const EngineProfile& profile,
                   const std::vector<EngineView>& engines,
                   const std::vector<ModelDemand>& demand,
                   const PlanLimits& limits)
      : m_profile(profile),
        m_engines(engines),
        m_limits(limits),
        m_state(profile, engines),
        m_demand(profile.models.size(), kBaseDemand),
        m_local_copy_demand(profile.models.size()) {
    for (EngineIndex engine = 0; engine < engines.size(); ++engine) {
      for (ModelIndex model = 0; model < m_demand.size(); ++model) {
        m_local_copy_demand[model] +=
            m_state.HasLocalCopy(engine, model) ? kLocalCopyDemand : 0.0;
      }
    }
    for (const ModelDemand& item : demand) {
      const ModelIndex model = m_state.Find(item.model);
      if (model < m_demand.size()) {
        m_demand[model] += item.prompt_tokens_per_second +
                           item.requests_per_second * kDecodeCostTokens;
      }
    }
  }

  PlacementTargets Build() {
    FillFreeMemory();
    PlaceMissingModels();
    if (m_limits.may_evict) {
      RebalanceReplicas();
    }
    PlacementTargets targets;
    for (EngineIndex engine = 0; engine < m_engines.size(); ++engine) {
      if (m_state.is_assignable(engine)) {
        targets[m_engines[engine].id] = SortByDemand(m_state.target(engine));
      }
    }
    return targets;
  }

 private:
  /// An engine that could load one more replica of some model.
  struct Candidate {
    EngineIndex engine = 0;
    /// The models that have to be evicted for it, and the demand per remaining
    /// replica of them, summed.
    std::vector<ModelIndex> evicted;
    double eviction_loss = 0.0;
    double cost = std::numeric_limits<double>::max();
  };

  [[nodiscard]] std::vector<ModelName> SortByDemand(
      std::vector<ModelIndex> models) const {
    std::ranges::stable_sort(
        models, std::greater<>(), [this](ModelIndex model) {
          return m_demand[model] + m_local_copy_demand[model];
        });
    std::vector<ModelName> names;
    std::ranges::transform(
        models, std::back_inserter(names),
        [this](ModelIndex model) { return m_profile.models[model].name; });
    return names;
  }

  [[nodiscard]] double DemandPerReplica(ModelIndex model, int replicas) const {
    return m_demand[model] / std::max(1, replicas);
  }

  /// @returns the demand per remaining replica of `model` after one of its
  /// replicas was evicted.
  [[nodiscard]] double EvictionLoss(ModelIndex model) const {
    return DemandPerReplica(model, m_state.replicas(model) - 1);
  }

  /// @returns the models to evict from `engine` so that `model` fits, those
  /// with the least loss first; nothing if it can't be made to fit without the
  /// eviction of a last replica.
  ///
  /// Load it answers: models of different sizes. A plan whose evictions free
  /// too little memory can't be carried out, and keeps its place among the
  /// loads from the weight store until it times out.
  [[nodiscard]] std::vector<ModelIndex> CheapestEvictions(
      EngineIndex engine, ModelIndex model) const {
    std::vector<ModelIndex> evictable;
    std::ranges::copy_if(m_state.target(engine), std::back_inserter(evictable),
                         [this](ModelIndex candidate) {
                           return m_state.replicas(candidate) > 1;
                         });
    std::ranges::stable_sort(evictable, {}, [this](ModelIndex candidate) {
      return EvictionLoss(candidate);
    });
    double free_mb = m_state.free_memory_mb(engine);
    const auto end = std::ranges::find_if(evictable, [&](ModelIndex candidate) {
      const bool fits = free_mb >= m_state.weights_mb(model);
      free_mb += m_state.weights_mb(candidate);
      return fits;
    });
    if (end == evictable.end() && free_mb < m_state.weights_mb(model)) {
      return {};
    }
    evictable.erase(end, evictable.end());
    return evictable;
  }

  [[nodiscard]] bool MayLoad(EngineIndex engine, ModelIndex model) const {
    return m_state.is_assignable(engine) &&
           !m_state.IsInTarget(engine, model) &&
           (m_state.HasLocalCopy(engine, model) ||
            m_state.store_loads() < m_limits.max_store_loads);
  }

  [[nodiscard]] double PlacementCost(EngineIndex engine,
                                     ModelIndex model) const {
    return (m_state.HasLocalCopy(engine, model) ? 0.0 : kStoreLoadCost) +
           kSameDataCentreCost *
               m_state.replicas_in_data_centre_of(engine, model);
  }

  /// @returns the best engine with enough free memory for one more replica of
  /// `model`.
  [[nodiscard]] std::optional<Candidate> FindWithoutEviction(
      ModelIndex model) const {
    Candidate best;
    for (EngineIndex engine = 0; engine < m_engines.size(); ++engine) {
      if (!m_state.Fits(engine, model) || !MayLoad(engine, model)) {
        continue;
      }
      const double cost = PlacementCost(engine, model);
      if (cost < best.cost) {
        best = {engine, {}, 0.0, cost};
      }
    }
    return best.cost < std::numeric_limits<double>::max() ? std::optional(best)
                                                          : std::nullopt;
  }

  /// @returns the best engine for one more replica of `model` that has to evict
  /// other models for it.
  [[nodiscard]] std::optional<Candidate> FindWithEviction(
      ModelIndex model) const {
    Candidate best;
    for (EngineIndex engine = 0; engine < m_engines.size(); ++engine) {
      if (m_state.Fits(engine, model) || !MayLoad(engine, model)) {
        continue;
      }
      std::vector<ModelIndex> evicted = CheapestEvictions(engine, model);
      if (evicted.empty()) {
        continue;
      }
      const double loss =
          std::accumulate(evicted.begin(), evicted.end(), 0.0,
                          [this](double sum, ModelIndex victim) {
                            return sum + EvictionLoss(victim);
                          });
      const double cost = PlacementCost(engine, model) + loss;
      if (cost < best.cost) {
        best = {engine, std::move(evicted), loss, cost};
      }
    }
    return best.evicted.empty() ? std::nullopt : std::optional(best);
  }

  void Apply(const Candidate& candidate, ModelIndex model) {
    std::ranges::for_each(candidate.evicted, [&](ModelIndex victim) {
      m_state.Remove(candidate.engine, victim);
    });
    m_state.Add(candidate.engine, model);
  }

  [[nodiscard]] std::vector<ModelIndex> ModelsByDemandPerReplica() const {
    std::vector<ModelIndex> models(m_state.model_count());
    std::iota(models.begin(), models.end(), ModelIndex{0});
    std::ranges::stable_sort(
        models, std::greater<>(), [this](ModelIndex model) {
          return DemandPerReplica(model, m_state.replicas(model));
        });
    return models;
  }

  // Places the models that have no replica after free memory was filled, those
  // with the highest demand first.
  void PlaceMissingModels() {
    for (const ModelIndex model : ModelsByDemandPerReplica()) {
      if (m_state.replicas(model) > 0) {
        continue;
      }
      std::optional<Candidate> candidate = FindWithoutEviction(model);
      if (!candidate.has_value() && m_limits.may_evict) {
        candidate = FindWithEviction(model);
      }
      if (candidate.has_value()) {
        Apply(*candidate, model);
      }
    }
  }

  /// Caches the best engine with free memory for one more replica of each
  /// model. After a replica was placed, only the candidate of its model and the
  /// candidates on its engine are computed again, or all of them if the limit
  /// on loads from the weight store has just been reached.
  class CandidateCache {
   public:
    explicit CandidateCache(const PlacementBuilder& builder)
        : m_builder(builder), m_candidates(builder.m_state.model_count()) {
      Refresh([](const auto& /*candidate*/) { return true; });
    }
    [[nodiscard]] const std::optional<Candidate>& BestFor(
        ModelIndex model) const {
      return m_candidates[model];
    }
    void OnPlaced(EngineIndex engine, ModelIndex placed_model) {
      const bool limit_is_reached =
          m_builder.m_state.store_loads() >= m_builder.m_limits.max_store_loads;
      const bool limit_changed =
          std::exchange(m_limit_was_reached, limit_is_reached) !=
          limit_is_reached;
      m_candidates[placed_model] = m_builder.FindWithoutEviction(placed_model);
      Refresh([&](const std::optional<Candidate>& candidate) {
        return limit_changed ||
               (candidate.has_value() && candidate->engine == engine);
      });
    }

   private:
    template <typename Predicate>
    void Refresh(Predicate is_stale) {
      for (ModelIndex model = 0; model < m_candidates.size(); ++model) {
        if (is_stale(m_candidates[model])) {
          m_candidates[model] = m_builder.FindWithoutEviction(model);
        }
      }
    }

    const PlacementBuilder& m_builder;
    std::vector<std::optional<Candidate>> m_candidates;
    bool m_limit_was_reached = false;
  };

  // Assigns free memory to the models with the highest demand, as long as
  // enough is left for every model without a replica. Models without a replica
  // do not take precedence, because an engine loads one model at a time and a
  // model with high demand needs many engines while they are cold.
  void FillFreeMemory() {
    int spare_replicas = m_state.SpareReplicas();
    CandidateCache candidates(*this);
    for (;;) {
      const std::optional<ModelIndex> model =
          NextModelToPlace(candidates, spare_replicas > 0);
      if (!model.has_value()) {
        return;
      }
      const Candidate candidate = *candidates.BestFor(*model);
      spare_replicas -= m_state.replicas(*model) == 0 ? 0 : 1;
      Apply(candidate, *model);
      candidates.OnPlaced(candidate.engine, *model);
    }
  }

  /// @returns the model that gains most from one more replica, if any is worth
  /// it. A load from the weight store is worth it only for a model without a
  /// replica or with enough demand.
  [[nodiscard]] std::optional<ModelIndex> NextModelToPlace(
      const CandidateCache& candidates, bool has_spare_memory) const {
    std::optional<ModelIndex> best;
    double best_cost = std::numeric_limits<double>::max();
    for (ModelIndex model = 0; model < m_state.model_count(); ++model) {
      const std::optional<Candidate>& candidate = candidates.BestFor(model);
      const bool is_missing = m_state.replicas(model) == 0;
      if (!candidate.has_value() || (!is_missing && !has_spare_memory)) {
        continue;
      }
      const int replicas = m_state.replicas(model) + 1;
      const double gain =
          (m_demand[model] + m_local_copy_demand[model]) / replicas;
      const bool is_worthwhile =
          is_missing || m_state.HasLocalCopy(candidate->engine, model) ||
          DemandPerReplica(model, replicas) > kStoreLoadCost;
      if (is_worthwhile && candidate->cost - gain < best_cost) {
        best = model;
        best_cost = candidate->cost - gain;
      }
    }
    return best;
  }

  // Replaces replicas of models with low demand by replicas of models with high
  // demand, within the limits on evictions.
  void RebalanceReplicas() {
    const auto max_evictions = static_cast<int>(
        std::ceil(static_cast<double>(m_engines.size()) * kMaxEvictionsShare));
    for (int i = 0; i < std::max(1, max_evictions); ++i) {
      const std::vector<ModelIndex> models = ModelsByDemandPerReplica();
      if (std::ranges::none_of(models, [this](ModelIndex model) {
            return TryReplaceReplicaBy(model);
          })) {
        return;
      }
    }
  }

  /// Replaces a replica of another model by one of `model` if the limits on
  /// evictions allow it.
  /// @returns whether a replica was replaced.
  bool TryReplaceReplicaBy(ModelIndex model) {
    const double gain = DemandPerReplica(model, m_state.replicas(model));
    if (gain < kMinDemandToEvict) {
      return false;
    }
    const std::optional<Candidate> candidate = FindWithEviction(model);
    if (!candidate.has_value()) {
      return false;
    }
    if (gain < candidate->eviction_loss * kMinEvictionGainRatio) {
      return false;
    }
    Apply(*candidate, model);
    return true;
  }

  const EngineProfile& m_profile;
  const std::vector<EngineView>& m_engines;
  PlanLimits m_limits;
  PlacementState m_state;
  /// Demand for each model in prompt tokens per second.
  std::vector<double> m_demand;
  /// Additional demand for each model, estimated from its local copies.
  std::vector<double> m_local_copy_demand;
};

}  // namespace

PlacementTargets PlanPlacement(const EngineProfile& profile,
                               const std::vector<EngineView>& engines,
                               const std::vector<ModelDemand>& demand,
                               const PlanLimits& limits) {
  return PlacementBuilder(profile, engines, demand, limits).Build();
}

}  // namespace bambooquay
