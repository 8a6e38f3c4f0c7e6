// Placement of models on engines as engines and demand change.
#include "bambooquay/serving/placement_planner.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

constexpr double kModelMb = 72000.0;

ModelName Model(int index) { return ModelName("m" + std::to_string(index)); }

EngineProfile Profile(int models) {
  EngineProfile profile;
  profile.weights_mb = 230000.0;
  profile.adapter_slots = 8;
  profile.loads_per_second = 1.4;
  for (int i = 0; i < models; ++i) {
    profile.models.push_back(
        {Model(i), kModelMb, std::chrono::seconds(1), 0, 66.0});
  }
  return profile;
}

EngineView Engine(int index, const std::vector<int>& loaded,
                  const std::vector<int>& local_copies = {}) {
  EngineView view;
  view.id = UpstreamId("e" + std::to_string(index));
  view.data_centre = DataCentreId("dc" + std::to_string(index % 3));
  for (const int model : loaded) {
    view.loaded_models.push_back(Model(model));
  }
  view.assigned_models = view.loaded_models;
  for (const int model : local_copies) {
    view.local_copies.push_back(Model(model));
  }
  return view;
}

ModelDemand Demand(int model, double requests, double tokens) {
  return {ServiceName("s"), Model(model), requests, tokens};
}

int ReplicasOf(const PlacementTargets& targets, int model) {
  return static_cast<int>(std::ranges::count_if(targets, [&](const auto& item) {
    return std::ranges::find(item.second, Model(model)) != item.second.end();
  }));
}

double UsedMb(const EngineProfile& profile,
              const std::vector<ModelName>& models) {
  double used_mb = profile.AdapterReserveMb();
  for (const ModelName& model : models) {
    used_mb += profile.Find(model)->weights_mb;
  }
  return used_mb;
}

bool TargetsMatchLoadedModels(const PlacementTargets& targets,
                              const std::vector<EngineView>& engines) {
  return std::ranges::all_of(engines, [&](const EngineView& engine) {
    return std::ranges::is_permutation(targets.at(engine.id),
                                       engine.loaded_models);
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_planner)

BOOST_AUTO_TEST_CASE(without_demand_no_model_is_moved) {
  const std::vector<EngineView> engines = {
      Engine(0, {0, 1, 2}), Engine(1, {0, 1, 3}), Engine(2, {0, 1, 4})};
  BOOST_TEST(TargetsMatchLoadedModels(
      PlanPlacement(Profile(5), engines, {}, {}), engines));
}

// When the fleet starts, engines are added to the list over some seconds. A
// model that seems to be missing may be loaded on an engine that is not listed
// yet.
BOOST_AUTO_TEST_CASE(no_model_is_evicted_while_the_engine_list_changes) {
  const std::vector<EngineView> engines = {Engine(0, {0, 1, 2}),
                                           Engine(1, {0, 1, 3})};
  const PlacementTargets targets = PlanPlacement(
      Profile(6), engines, {Demand(5, 30, 200000)}, {.may_evict = false});
  BOOST_TEST(TargetsMatchLoadedModels(targets, engines));
}

BOOST_AUTO_TEST_CASE(a_model_without_a_replica_gets_one) {
  const std::vector<EngineView> engines = {Engine(0, {0, 1, 2}),
                                           Engine(1, {0, 1, 2})};
  const PlacementTargets targets = PlanPlacement(Profile(4), engines, {}, {});
  BOOST_TEST(ReplicasOf(targets, 3) == 1);
  for (int model = 0; model < 3; ++model) {
    BOOST_TEST(ReplicasOf(targets, model) >= 1);
  }
}

// Load: models of 34 and 73 GB, and engines full of small ones. The large model
// needs the memory of two of them.
BOOST_AUTO_TEST_CASE(a_large_model_takes_the_place_of_several_small_ones) {
  EngineProfile profile = Profile(6);
  profile.weights_mb = 200000.0;
  for (int model = 0; model < 5; ++model) {
    profile.models[static_cast<std::size_t>(model)].weights_mb = 38000.0;
  }
  profile.models[5].weights_mb = 72700.0;
  const std::vector<EngineView> engines = {Engine(0, {0, 1, 2, 3, 4}),
                                           Engine(1, {0, 1, 2, 3, 4})};
  const PlacementTargets targets =
      PlanPlacement(profile, engines, {Demand(5, 30, 12000)}, {});
  BOOST_TEST(ReplicasOf(targets, 5) >= 1);
  for (const auto& [id, models] : targets) {
    BOOST_TEST(UsedMb(profile, models) <= profile.weights_mb);
  }
  for (int model = 0; model < 5; ++model) {
    BOOST_TEST(ReplicasOf(targets, model) >= 1);
  }
}

// After a power failure every engine is empty, but has weights on its disk. The
// weight store is too slow to load all models of all engines.
BOOST_AUTO_TEST_CASE(empty_engines_load_their_local_copies_first) {
  std::vector<EngineView> engines;
  for (int i = 0; i < 6; ++i) {
    engines.push_back(Engine(i, {}, {i % 3, 3 + i % 3, 6}));
  }
  const PlacementTargets targets = PlanPlacement(Profile(7), engines, {}, {});
  for (int i = 0; i < 6; ++i) {
    const auto& target = targets.at(engines[static_cast<std::size_t>(i)].id);
    BOOST_TEST(target.size() == 3U);
    for (const ModelName& model : target) {
      const auto& copies = engines[static_cast<std::size_t>(i)].local_copies;
      BOOST_TEST((std::ranges::find(copies, model) != copies.end()));
    }
  }
}

// An engine loads one model at a time. If all engines are empty, the models
// that callers are waiting for must be loaded first.
BOOST_AUTO_TEST_CASE(the_model_with_the_highest_demand_is_loaded_first) {
  std::vector<EngineView> engines;
  for (int i = 0; i < 6; ++i) {
    engines.push_back(Engine(i, {}, {i, (i + 1) % 6, 6}));
  }
  const PlacementTargets targets = PlanPlacement(
      Profile(7), engines, {Demand(6, 30, 200000), Demand(3, 1, 3000)}, {});
  BOOST_TEST(ReplicasOf(targets, 6) == 6);
  for (const auto& [engine, target] : targets) {
    BOOST_TEST(target.front().value() == "m6");
  }
}

// After a power failure each engine loads one model at a time and can take few
// requests while it is cold. Eight models get nine tenths of the calls: most
// engines have to load one of these first, in proportion to demand, even though
// a third of the engines do not report yet. Once all engines report, every
// model must have a replica.
BOOST_AUTO_TEST_CASE(after_a_power_failure_models_in_demand_are_loaded_first) {
  constexpr int kEngines = 36;
  constexpr int kModels = 71;
  constexpr int kModelsInDemand = 8;
  std::vector<EngineView> engines;
  for (int i = 0; i < kEngines; ++i) {
    EngineView engine = Engine(i, {});
    // The models that it had loaded before, one of those in demand among them.
    for (int copy = 0; copy < 6; ++copy) {
      engine.local_copies.push_back(Model((i * 2 + copy * 7) % kModels));
    }
    engine.local_copies.push_back(Model(i % kModelsInDemand));
    engine.is_assignable = i % 3 != 2;
    engines.push_back(engine);
  }
  std::vector<ModelDemand> demand = {Demand(0, 50.0, 100000.0)};
  for (int model = 1; model < kModelsInDemand; ++model) {
    demand.push_back(Demand(model, 20.0, 40000.0));
  }
  const PlacementTargets targets =
      PlanPlacement(Profile(kModels), engines, demand, {false, 8});
  std::set<ModelName> in_demand;
  for (int model = 0; model < kModelsInDemand; ++model) {
    in_demand.insert(Model(model));
  }
  const auto engines_with_demand_first =
      std::ranges::count_if(targets, [&](const auto& item) {
        return !item.second.empty() && in_demand.contains(item.second.front());
      });
  BOOST_TEST(targets.size() == 24U);
  BOOST_TEST(engines_with_demand_first >= 20);
  BOOST_TEST(ReplicasOf(targets, 0) >= 2 * ReplicasOf(targets, 1));

  // Once all engines report, there is enough memory for every model.
  std::ranges::for_each(
      engines, [](EngineView& engine) { engine.is_assignable = true; });
  const PlacementTargets all =
      PlanPlacement(Profile(kModels), engines, demand, {false, 100});
  for (int model = 0; model < kModels; ++model) {
    BOOST_TEST(ReplicasOf(all, model) >= 1);
  }
}

// When all entries have restarted, no demand has been measured yet, but a model
// that was in demand has local copies on many engines.
BOOST_AUTO_TEST_CASE(local_copies_stand_for_demand_until_it_is_measured) {
  std::vector<EngineView> engines;
  for (int i = 0; i < 10; ++i) {
    engines.push_back(Engine(i, {}, {10 + i, 20 + i, 30 + i, i % 5}));
  }
  for (std::size_t i = 1; i < engines.size(); i += 2) {
    engines[i].local_copies.push_back(Model(0));
  }
  const PlacementTargets targets =
      PlanPlacement(Profile(25), engines, {}, {false, 20});
  // At least one replica in each of three data centres, ahead of models with a
  // single local copy.
  BOOST_TEST(ReplicasOf(targets, 0) >= 3);
  for (const auto& [engine, models] : targets) {
    const bool is_assigned =
        std::ranges::find(models, Model(0)) != models.end();
    BOOST_TEST((!is_assigned || models.front() == Model(0)));
  }
}

BOOST_AUTO_TEST_CASE(replicas_are_added_at_the_rate_of_the_weight_store) {
  std::vector<EngineView> engines;
  for (int i = 0; i < 9; ++i) {
    engines.push_back(Engine(i, {0, 1, i == 0 ? 3 : 2}));
  }
  const std::vector<ModelDemand> demand = {Demand(3, 30, 200000),
                                           Demand(0, 1, 5000)};
  const PlacementTargets targets =
      PlanPlacement(Profile(4), engines, demand, {.max_store_loads = 2});
  BOOST_TEST(ReplicasOf(targets, 3) == 3);
}

BOOST_AUTO_TEST_CASE(loads_in_progress_count_against_the_store_limit) {
  std::vector<EngineView> engines;
  for (int i = 0; i < 9; ++i) {
    engines.push_back(Engine(i, {0, 1, 2}));
  }
  engines[0].assigned_models = {Model(0), Model(1), Model(3)};
  engines[1].assigned_models = {Model(0), Model(1), Model(3)};
  const PlacementTargets targets = PlanPlacement(
      Profile(4), engines, {Demand(3, 30, 200000)}, {.max_store_loads = 2});
  BOOST_TEST(ReplicasOf(targets, 3) == 2);
}

BOOST_AUTO_TEST_CASE(
    an_engine_without_reports_gets_no_target_but_its_models_count) {
  std::vector<EngineView> engines = {Engine(0, {0, 1, 2}),
                                     Engine(1, {3, 4, 5})};
  engines[1].is_assignable = false;
  const PlacementTargets targets = PlanPlacement(Profile(6), engines, {}, {});
  BOOST_TEST(!targets.contains(engines[1].id));
  BOOST_TEST((targets.at(engines[0].id) == engines[0].loaded_models));
}

// For models of any sizes, any loaded models and any demand: targets fit into
// the memory, list no model twice, and leave a replica of every model that had
// one.
RC_BOOST_PROP(targets_fit_and_no_loaded_model_is_lost, ()) {
  const int models = *rc::gen::inRange(1, 12);
  const int engine_count = *rc::gen::inRange(1, 10);
  std::vector<EngineView> engines;
  std::set<int> loaded_anywhere;
  for (int i = 0; i < engine_count; ++i) {
    const auto loaded = *rc::gen::unique<std::vector<int>>(
        *rc::gen::inRange<std::size_t>(0, 1 + std::min(models, 3)),
        rc::gen::inRange(0, models));
    const auto copies =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, models));
    loaded_anywhere.insert(loaded.begin(), loaded.end());
    engines.push_back(Engine(i, loaded, copies));
  }
  std::vector<ModelDemand> demand;
  for (int i = 0; i < models; ++i) {
    demand.push_back(
        Demand(i, *rc::gen::inRange(0, 40), *rc::gen::inRange(0, 300000)));
  }
  EngineProfile profile = Profile(models);
  for (ServingModel& model : profile.models) {
    model.weights_mb = *rc::gen::element(34300.0, 65100.0, kModelMb);
  }
  const PlacementTargets targets =
      PlanPlacement(profile, engines, demand,
                    {*rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 5)});
  for (const auto& [engine, target] : targets) {
    RC_ASSERT(UsedMb(profile, target) <= profile.weights_mb);
    RC_ASSERT(std::set<ModelName>(target.begin(), target.end()).size() ==
              target.size());
  }
  for (const int model : loaded_anywhere) {
    RC_ASSERT(ReplicasOf(targets, model) >= 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
