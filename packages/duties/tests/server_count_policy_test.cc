// Numbers of servers that follow a load, played second by second on a manual
// clock.
#include "bambooquay/duties/server_count_policy.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::seconds;

constexpr double kPlaces = 10.0;
constexpr double kRunSeconds = 2.0;
constexpr Duration kStep = seconds(1);

DataCentreId DataCentre(int index) {
  return DataCentreId("dc" + std::to_string(index));
}

ServerCountLimits Limits() {
  return {1, 40, kPlaces, /*lead_time=*/seconds(12), /*servers_for_models=*/0};
}

/// Servers that a load needs with free places for 3 calls in 100.
int ServersNeeded(double load) {
  return static_cast<int>(std::ceil((load + 2.0 * std::sqrt(load)) / kPlaces));
}

/// A platform that carries out orders after the lead time, and callers.
class Fleet {
 public:
  Fleet(const ServerCountLimits& limits, const std::vector<int>& serving)
      : limits(limits), policy(clock) {
    for (const int count : serving) {
      const DataCentreId id = DataCentre(static_cast<int>(servers.size()));
      servers[id].serving = count;
    }
  }

  /// Plays `time` with `load(data centre, time since the start)` as the calls
  /// that would be in progress with places for all.
  void Play(Duration time, const std::function<double(int, double)>& load) {
    for (Duration played{}; played < time; played += kStep) {
      clock.Advance(kStep);
      now += ToSeconds(kStep);
      std::vector<DataCentreLoad> loads;
      int index = 0;
      for (auto& [id, state] : servers) {
        CarryOutOrders(state);
        loads.push_back(Observe(id, state, load(index++, now)));
      }
      decisions = policy.Update(limits, loads);
      for (const ServerCountDecision& decision : decisions) {
        if (decision.reason != ServerCountReason::kUnchanged) {
          history.push_back(decision);
          if (obeys) {
            servers[decision.data_centre].orders.emplace_back(now,
                                                              decision.target);
          }
        }
      }
    }
  }

  [[nodiscard]] int Serving(int index) const {
    return servers.at(DataCentre(index)).serving;
  }
  [[nodiscard]] int Target(int index) const {
    const auto found = std::ranges::find(decisions, DataCentre(index),
                                         &ServerCountDecision::data_centre);
    return found == decisions.end() ? Serving(index) : found->target;
  }
  [[nodiscard]] bool IsOverdue(int index) const {
    const auto found = std::ranges::find(decisions, DataCentre(index),
                                         &ServerCountDecision::data_centre);
    return found != decisions.end() && found->overdue;
  }
  [[nodiscard]] int HighestTarget() const {
    return std::ranges::max(history, {}, &ServerCountDecision::target).target;
  }

  struct Servers {
    int serving = 0;
    bool in_service = true;
    bool reports = true;
    std::deque<std::pair<double, int>> orders;  ///< Given at, number.
  };

  ManualClock clock;
  ServerCountLimits limits;
  ServerCountPolicy policy;
  bool obeys = true;
  bool tells_calls = true;  ///< Whether the calls of the entries are known.
  double now = 0.0;
  std::map<DataCentreId, Servers> servers;
  std::vector<ServerCountDecision> decisions;  ///< Those of the last step.
  std::vector<ServerCountDecision> history;    ///< All changes.

 private:
  void CarryOutOrders(Servers& state) const {
    while (!state.orders.empty()) {
      const auto [given_at, number] = state.orders.front();
      // Servers leave sooner than new ones come.
      const double time =
          number < state.serving ? 2.0 : ToSeconds(limits.lead_time);
      if (now < given_at + time) {
        return;
      }
      state.serving = number;
      state.orders.pop_front();
    }
  }

  [[nodiscard]] DataCentreLoad Observe(const DataCentreId& id,
                                       const Servers& state,
                                       double load) const {
    DataCentreLoad observed;
    observed.data_centre = id;
    observed.in_service = state.in_service;
    observed.serving = state.in_service ? state.serving : 0;
    observed.reporting = state.reports ? observed.serving : 0;
    observed.running = observed.reporting == 0
                           ? 0.0
                           : std::min(load, kPlaces * observed.serving);
    observed.waiting = observed.reporting == 0 ? 0.0 : load - observed.running;
    if (tells_calls) {
      observed.calls_per_second = load / kRunSeconds;
    }
    return observed;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(server_count_policy)

BOOST_AUTO_TEST_CASE(a_steady_load_orders_nothing) {
  Fleet fleet(Limits(), {8, 8});
  fleet.Play(seconds(300), [](int, double) { return 52.0; });
  BOOST_TEST(fleet.history.size() == 0U);
}

// Servers have to be there when the load comes, not only be ordered by then.
BOOST_AUTO_TEST_CASE(servers_come_before_a_steady_rise) {
  for (const bool tells_calls : {true, false}) {
    Fleet fleet(Limits(), {6});
    fleet.tells_calls = tells_calls;
    fleet.Play(seconds(30), [](int, double) { return 40.0; });
    double calls = 0.0;
    double calls_beyond_places = 0.0;
    for (int step = 0; step < 100; ++step) {
      const double load = 40.0 + 2.0 * step;
      calls += load;
      calls_beyond_places += std::max(0.0, load - kPlaces * fleet.Serving(0));
      fleet.Play(kStep, [load](int, double) { return load; });
    }
    // Of all calls, as many as the spare places allow for.
    BOOST_TEST(calls_beyond_places < 0.03 * calls,
               calls_beyond_places << " of " << calls);
    BOOST_TEST(fleet.history.front().expected_load >
               fleet.history.front().load);
    BOOST_TEST((fleet.history.front().reason == ServerCountReason::kLoad));
  }
}

BOOST_AUTO_TEST_CASE(a_step_orders_at_most_half_of_it_too_much) {
  Fleet fleet(Limits(), {8});
  fleet.Play(seconds(60), [](int, double) { return 50.0; });
  fleet.Play(seconds(60), [](int, double) { return 150.0; });
  BOOST_TEST(fleet.Serving(0) >= ServersNeeded(150.0));
  BOOST_TEST(fleet.HighestTarget() <= ServersNeeded(200.0));
}

BOOST_AUTO_TEST_CASE(after_a_fall_servers_leave_one_by_one) {
  Fleet fleet(Limits(), {16});
  fleet.Play(seconds(60), [](int, double) { return 120.0; });
  fleet.Play(seconds(59), [](int, double) { return 30.0; });
  BOOST_TEST(fleet.history.size() == 0U);
  fleet.Play(seconds(300), [](int, double) { return 30.0; });
  BOOST_TEST(fleet.Serving(0) >= ServersNeeded(30.0));
  BOOST_TEST(fleet.Serving(0) <= ServersNeeded(30.0 * 1.1));
  for (const ServerCountDecision& decision : fleet.history) {
    BOOST_TEST(decision.target == decision.previous - 1);
    BOOST_TEST((decision.reason == ServerCountReason::kIdle));
  }
}

BOOST_AUTO_TEST_CASE(no_server_leaves_while_another_is_emptied) {
  ManualClock clock;
  ServerCountPolicy policy(clock);
  DataCentreLoad load;
  load.data_centre = DataCentre(0);
  load.serving = load.reporting = 16;
  load.leaving = 1;
  load.running = 30.0;
  for (int step = 0; step < 200; ++step) {
    clock.Advance(kStep);
    BOOST_TEST(policy.Update(Limits(), {load}).empty());
  }
}

// Load that comes and goes within the idle time keeps the servers that it needs
// at its highest.
BOOST_AUTO_TEST_CASE(a_wave_does_not_move_the_number_of_servers) {
  Fleet fleet(Limits(), {10});
  const auto wave = [](int, double time) {
    return 80.0 + 40.0 * std::sin(time * 2.0 * std::numbers::pi / 40.0);
  };
  fleet.Play(seconds(120), wave);
  const std::size_t changes = fleet.history.size();
  BOOST_TEST(fleet.Serving(0) >= ServersNeeded(120.0));
  fleet.Play(seconds(600), wave);
  BOOST_TEST(fleet.history.size() == changes);
}

// It is over before a new server serves.
BOOST_AUTO_TEST_CASE(a_burst_that_ends_before_the_lead_time_orders_little) {
  Fleet fleet(Limits(), {8});
  fleet.Play(seconds(60), [](int, double) { return 50.0; });
  fleet.Play(seconds(1), [](int, double) { return 150.0; });
  fleet.Play(seconds(30), [](int, double) { return 50.0; });
  for (const ServerCountDecision& decision : fleet.history) {
    BOOST_TEST(decision.target <= ServersNeeded(100.0));
  }
}

BOOST_AUTO_TEST_CASE(servers_on_their_way_are_not_ordered_again) {
  for (const bool tells_calls : {true, false}) {
    Fleet fleet(Limits(), {4});
    fleet.tells_calls = tells_calls;
    fleet.Play(seconds(30), [](int, double) { return 25.0; });
    // All wait until the new servers have come.
    fleet.Play(seconds(12), [](int, double) { return 80.0; });
    const int ordered = fleet.Target(0);
    fleet.Play(seconds(40), [](int, double) { return 80.0; });
    BOOST_TEST(fleet.Target(0) <= std::max(ordered, ServersNeeded(110.0)));
  }
}

BOOST_AUTO_TEST_CASE(the_load_of_a_lost_data_centre_is_planned_for_the_others) {
  Fleet fleet(Limits(), {6, 6, 6});
  fleet.Play(seconds(60), [](int, double) { return 40.0; });
  fleet.servers[DataCentre(2)].in_service = false;
  // Its callers are gone at first.
  fleet.Play(seconds(1),
             [](int index, double) { return index == 2 ? 0.0 : 40.0; });
  for (const int index : {0, 1}) {
    BOOST_TEST(fleet.Target(index) >= ServersNeeded(60.0));
  }
  for (const ServerCountDecision& decision : fleet.history) {
    BOOST_TEST(decision.data_centre.value() != DataCentre(2).value());
    BOOST_TEST((decision.reason == ServerCountReason::kMovedLoad));
  }
  // They come back at the others, and are not counted twice.
  fleet.Play(seconds(30),
             [](int index, double) { return index == 2 ? 0.0 : 60.0; });
  BOOST_TEST(fleet.Target(0) <= ServersNeeded(70.0));
}

BOOST_AUTO_TEST_CASE(an_order_that_has_no_effect_is_overdue_and_does_not_grow) {
  Fleet fleet(Limits(), {4});
  fleet.obeys = false;
  fleet.Play(seconds(30), [](int, double) { return 25.0; });
  fleet.Play(seconds(20), [](int, double) { return 60.0; });
  const int ordered = fleet.Target(0);
  BOOST_TEST(!fleet.IsOverdue(0));
  fleet.Play(seconds(200), [](int, double) { return 60.0; });
  BOOST_TEST(fleet.Target(0) == ordered);
  BOOST_TEST(fleet.IsOverdue(0));
}

BOOST_AUTO_TEST_CASE(without_reports_the_number_stays) {
  Fleet fleet(Limits(), {8});
  fleet.tells_calls = false;
  fleet.Play(seconds(60), [](int, double) { return 52.0; });
  fleet.servers[DataCentre(0)].reports = false;
  fleet.Play(seconds(300), [](int, double) { return 52.0; });
  BOOST_TEST(fleet.history.size() == 0U);
}

BOOST_AUTO_TEST_CASE(servers_that_crash_do_not_lower_the_number) {
  Fleet fleet(Limits(), {12});
  fleet.Play(seconds(60), [](int, double) { return 60.0; });
  fleet.servers[DataCentre(0)].serving = 6;
  fleet.Play(seconds(10), [](int, double) { return 60.0; });
  BOOST_REQUIRE(fleet.history.size() == 1U);
  BOOST_TEST(fleet.history.front().target == 12);
}

BOOST_AUTO_TEST_CASE(nothing_is_decided_while_the_list_may_be_incomplete) {
  Fleet fleet(Limits(), {1});
  fleet.Play(ServerCountPolicy::kWarmUpTime, [](int, double) { return 90.0; });
  BOOST_TEST(fleet.history.size() == 0U);
  fleet.Play(seconds(1), [](int, double) { return 90.0; });
  BOOST_TEST(fleet.history.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_plain_service_or_one_without_scaling_has_no_limits) {
  ServingService service;
  service.scaling = ServerScaling{1, 4, seconds(10)};
  BOOST_TEST(!LimitsOf(service).has_value());
  service.engine = EngineProfile{};
  BOOST_TEST(LimitsOf(service).has_value());
  service.scaling.reset();
  BOOST_TEST(!LimitsOf(service).has_value());
}

BOOST_AUTO_TEST_CASE(the_lead_time_includes_a_load_and_memory_all_models) {
  ServingService service;
  service.scaling = ServerScaling{0, 4, seconds(10)};
  service.engine = EngineProfile{};
  service.engine->slots = 64;
  service.engine->weights_mb = 230.0;
  service.engine->adapter_slots = 8;
  for (int model = 0; model < 7; ++model) {
    service.engine->models.push_back(
        {ModelName("m" + std::to_string(model)), 70.0, seconds(2), 4, 1.0});
  }
  const ServerCountLimits limits = *LimitsOf(service);
  BOOST_TEST(limits.min_count == 1);
  BOOST_TEST(limits.places == 64.0);
  BOOST_TEST(ToSeconds(limits.lead_time) == 12.0);
  BOOST_TEST(limits.servers_for_models == 3);
}

RC_BOOST_PROP(what_is_ordered_holds_every_model_and_keeps_the_bounds, ()) {
  ServerCountLimits limits = Limits();
  limits.min_count = *rc::gen::inRange(1, 4);
  limits.max_count = limits.min_count + *rc::gen::inRange(0, 12);
  limits.servers_for_models = *rc::gen::inRange(0, 3 * limits.max_count + 1);
  std::vector<int> serving;
  for (int data_centre = 0; data_centre < 3; ++data_centre) {
    serving.push_back(
        *rc::gen::inRange(limits.min_count, limits.max_count + 1));
  }
  Fleet fleet(limits, serving);
  fleet.tells_calls = *rc::gen::arbitrary<bool>();
  fleet.obeys = *rc::gen::arbitrary<bool>();
  const auto loads =
      *rc::gen::container<std::vector<int>>(24, rc::gen::inRange(0, 150));
  for (std::size_t step = 0; step < loads.size(); step += 3) {
    for (auto& [id, state] : fleet.servers) {
      state.in_service =
          !*rc::gen::weightedElement<bool>({{9, false}, {1, true}});
    }
    for (int second = 0; second < 90; ++second) {
      fleet.Play(kStep, [&](int index, double) {
        return loads[step + static_cast<std::size_t>(index)];
      });
      const auto in_service = std::ranges::count_if(
          fleet.servers,
          [](const auto& item) { return item.second.in_service; });
      int ordered = 0;
      for (int index = 0; index < 3; ++index) {
        if (fleet.servers[DataCentre(index)].in_service) {
          ordered += fleet.Target(index);
        }
      }
      if (fleet.now > ToSeconds(ServerCountPolicy::kWarmUpTime) + 1.0) {
        RC_ASSERT(ordered >=
                  std::min(limits.servers_for_models,
                           static_cast<int>(in_service) * limits.max_count));
      }
    }
  }
  for (const ServerCountDecision& decision : fleet.history) {
    RC_ASSERT(decision.target >= limits.min_count);
    RC_ASSERT(decision.target <= limits.max_count);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
