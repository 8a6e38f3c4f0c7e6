// Orders to one engine reach the target without exceeding its memory.
#include "bambooquay/serving/engine_memory_plan.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

EngineProfile Profile() {
  EngineProfile profile;
  profile.weights_mb = 230000.0;
  profile.adapter_slots = 2;
  for (int i = 0; i < 8; ++i) {
    profile.models.push_back({ModelName("m" + std::to_string(i)), 72000.0,
                              std::chrono::seconds(1), 4, 66.0});
  }
  return profile;
}

EngineReport ReportWith(const std::vector<std::string>& models) {
  EngineReport report;
  for (const std::string& model : models) {
    report.models.push_back({ModelName(model), {}});
  }
  return report;
}

double LoadedMb(const EngineReport& report) {
  return 72000.0 * static_cast<double>(report.models.size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_memory_plan)

BOOST_AUTO_TEST_CASE(a_model_with_a_local_copy_is_loaded_first) {
  EngineReport report = ReportWith({});
  report.on_disk = {ModelName("m2")};
  const auto order =
      NextModelOrder(Profile(), report, {ModelName("m1"), ModelName("m2")});
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST(order->model.value() == "m2");
  BOOST_TEST(!order->from_store);
}

BOOST_AUTO_TEST_CASE(memory_is_freed_before_a_load) {
  const auto order =
      NextModelOrder(Profile(), ReportWith({"m0", "m1", "m2"}),
                     {ModelName("m0"), ModelName("m1"), ModelName("m3")});
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->kind == OrderKind::kUnload));
  BOOST_TEST(order->model.value() == "m2");
}

BOOST_AUTO_TEST_CASE(a_model_that_is_no_longer_configured_uses_memory) {
  const auto order = NextModelOrder(Profile(), ReportWith({"gone", "m1", "m2"}),
                                    {ModelName("m3")});
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->kind == OrderKind::kUnload));
}

// An engine refuses all orders while it is carrying one out.
BOOST_AUTO_TEST_CASE(a_busy_engine_gets_no_order) {
  EngineReport report = ReportWith({});
  report.busy = true;
  BOOST_TEST(!NextModelOrder(Profile(), report, {ModelName("m1")}).has_value());
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_adapter_is_unloaded) {
  EngineReport report = ReportWith({"m0"});
  report.models[0].adapters = {AdapterName("a1"), AdapterName("a2")};
  const auto order =
      NextAdapterOrder(Profile(), report, ModelName("m0"), AdapterName("a3"),
                       {"m0/a2", "m0/a1", "m0/a3"});
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->kind == OrderKind::kUnload));
  BOOST_TEST(order->adapter.value() == "a2");
}

BOOST_AUTO_TEST_CASE(adapters_being_loaded_take_slots) {
  EngineReport report = ReportWith({"m0"});
  report.models[0].adapters = {AdapterName("a1")};
  report.incoming_adapters = {"m0/a2"};
  const auto order = NextAdapterOrder(Profile(), report, ModelName("m0"),
                                      AdapterName("a3"), {});
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->kind == OrderKind::kUnload));
  BOOST_TEST(!NextAdapterOrder(Profile(), report, ModelName("m0"),
                               AdapterName("a2"), {})
                  .has_value());
}

// Carrying out the orders one by one reaches the target, and the models never
// exceed the memory on the way.
RC_BOOST_PROP(orders_reach_the_target_within_memory, ()) {
  const auto random_models = [](std::size_t max_count) {
    const auto indexes = *rc::gen::unique<std::vector<int>>(
        *rc::gen::inRange<std::size_t>(0, max_count + 1),
        rc::gen::inRange(0, 8));
    std::vector<std::string> names;
    std::ranges::transform(indexes, std::back_inserter(names), [](int index) {
      return "m" + std::to_string(index);
    });
    return names;
  };
  EngineReport report = ReportWith(random_models(3));
  std::vector<ModelName> target;
  for (const std::string& name : random_models(3)) {
    target.emplace_back(name);
  }
  const EngineProfile profile = Profile();
  for (int step = 0; step < 10; ++step) {
    const auto order = NextModelOrder(profile, report, target);
    if (!order.has_value()) {
      break;
    }
    if (order->kind == OrderKind::kLoad) {
      report.models.push_back({order->model, {}});
    } else {
      std::erase_if(report.models, [&](const LoadedModel& model) {
        return model.name == order->model;
      });
    }
    RC_ASSERT(LoadedMb(report) <= profile.weights_mb);
  }
  for (const ModelName& model : target) {
    RC_ASSERT(std::ranges::find(report.models, model, &LoadedModel::name) !=
              report.models.end());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
