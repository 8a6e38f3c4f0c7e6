// Decides how many servers a service should have in each data centre.
#include "bambooquay/duties/server_count_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace bambooquay {
namespace {

using std::chrono::seconds;

// Square-root staffing: with this many standard deviations of the calls in
// progress as spare places, about 3 in 100 calls find none free (Halfin and
// Whitt's limit for many servers).
constexpr double kSparePlaces = 2.0;
// A burst that ends before new servers serve is not worth servers, so the load
// is smoothed over this part of the lead time.
constexpr double kSmoothingShare = 0.25;
// The growth is projected over the lead time, so it has to last for longer: of
// a step, at most half is expected to follow once more.
constexpr int kTrendLeadTimes = 2;
constexpr Duration kMinSmoothing = seconds(1);
constexpr Duration kMaxSmoothing = seconds(15);
// A short steep rise does not go on: the expected load is at most this many
// times the present one, and the places of one server.
constexpr double kMaxGrowth = 2.0;
// A server is given up only if the load may grow by this share without it.
constexpr double kShrinkMargin = 1.1;
constexpr int kLeadTimesIdle = 3;
// The time that calls run is learned only while servers have free places.
constexpr double kUnhinderedUse = 0.8;
constexpr Duration kRunTimeSmoothing = seconds(10);
// With fewer servers that report, the load of a data centre is not known.
constexpr double kMinReportingShare = 0.5;
// Orders are overdue after twice the lead time and this.
constexpr Duration kOrderGrace = seconds(5);

double SmoothingFactor(Duration elapsed, Duration time_constant) {
  return 1.0 - std::exp(-ToSeconds(elapsed) / ToSeconds(time_constant));
}

Duration SmoothingOf(const ServerCountLimits& limits) {
  return std::clamp(FromSeconds(ToSeconds(limits.lead_time) * kSmoothingShare),
                    kMinSmoothing, kMaxSmoothing);
}

Duration IdleTimeOf(const ServerCountLimits& limits) {
  return std::max(ServerCountPolicy::kMinIdleTime,
                  limits.lead_time * kLeadTimesIdle);
}

/// @returns the servers that `load` calls in progress need.
int ServersFor(const ServerCountLimits& limits, double load) {
  const double places = load + kSparePlaces * std::sqrt(load);
  const int count = static_cast<int>(std::ceil(
      std::min(places / limits.places, static_cast<double>(limits.max_count))));
  return std::clamp(count, limits.min_count, limits.max_count);
}

/// @returns engines that hold every model, packed the largest first.
int ServersForModels(const EngineProfile& engine) {
  std::vector<double> sizes;
  std::ranges::transform(engine.models, std::back_inserter(sizes),
                         &ServingModel::weights_mb);
  std::ranges::sort(sizes, std::greater<>());
  const double memory_mb = engine.weights_mb - engine.AdapterReserveMb();
  std::vector<double> free_mb;
  for (const double size : sizes) {
    const auto fitting = std::ranges::find_if(
        free_mb, [size](double free) { return free >= size; });
    if (fitting != free_mb.end()) {
      *fitting -= size;
    } else if (size <= memory_mb) {
      free_mb.push_back(memory_mb - size);
    }
  }
  return static_cast<int>(free_mb.size());
}

template <typename Items, typename Value>
double Sum(const Items& items, Value value) {
  return std::accumulate(items.begin(), items.end(), 0.0,
                         [&](double sum, const auto& item) {
                           return sum + std::invoke(value, item);
                         });
}

}  // namespace

void ServerCountPolicy::RecentMaximum::Add(TimePoint now, int number) {
  while (!m_numbers.empty() && m_numbers.back().second <= number) {
    m_numbers.pop_back();
  }
  m_numbers.emplace_back(now, number);
}

void ServerCountPolicy::RecentMaximum::RemoveBefore(TimePoint time) {
  while (!m_numbers.empty() && m_numbers.front().first < time) {
    m_numbers.pop_front();
  }
}

std::string_view ToString(ServerCountReason reason) noexcept {
  constexpr std::array<std::string_view, 6> kNames = {
      "unchanged", "load", "moved_load", "models", "minimum", "idle"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::optional<ServerCountLimits> LimitsOf(const ServingService& service) {
  if (!service.scaling.has_value() || !service.engine.has_value()) {
    return std::nullopt;
  }
  const EngineProfile& engine = *service.engine;
  const auto slowest =
      std::ranges::max_element(engine.models, {}, &ServingModel::load_time);
  const Duration load_time =
      slowest == engine.models.end() ? Duration::zero() : slowest->load_time;
  ServerCountLimits limits;
  limits.min_count = std::max(1, service.scaling->min_count);
  limits.max_count = std::max(limits.min_count, service.scaling->max_count);
  limits.places = std::max(1, engine.slots);
  limits.lead_time = service.scaling->boot_time + load_time;
  limits.servers_for_models = ServersForModels(engine);
  return limits;
}

void ServerCountPolicy::ForgetTargets() {
  for (auto& [id, state] : m_states) {
    state.target.reset();
  }
}

std::vector<ServerCountDecision> ServerCountPolicy::Update(
    const ServerCountLimits& limits,
    const std::vector<DataCentreLoad>& data_centres) {
  const TimePoint now = m_clock.Now();
  if (!m_watched_since.has_value()) {
    m_watched_since = now;
  }
  NoteLostDataCentres(limits, data_centres);
  LearnRunTime(limits, data_centres);
  UpdateLoads(limits, data_centres);
  std::vector<Plan> plans = MakePlans(limits, data_centres);
  if (now - *m_watched_since < kWarmUpTime) {
    return {};
  }
  std::vector<ServerCountDecision> decisions;
  std::ranges::transform(plans, std::back_inserter(decisions),
                         [&](Plan& plan) { return Decide(limits, plan); });
  Shrink(limits, plans, decisions);
  std::erase_if(decisions, [this](const ServerCountDecision& decision) {
    return !m_states.at(decision.data_centre).target.has_value();
  });
  return decisions;
}

void ServerCountPolicy::NoteLostDataCentres(
    const ServerCountLimits& limits,
    const std::vector<DataCentreLoad>& data_centres) {
  const TimePoint now = m_clock.Now();
  for (const DataCentreLoad& load : data_centres) {
    DataCentreState& state = m_states[load.data_centre];
    if (std::exchange(state.in_service, load.in_service) && !load.in_service) {
      const double load_now =
          Sum(m_states, [](const auto& item) { return item.second.level; });
      m_load_at_loss = now < m_loss_counts_until
                           ? std::max(m_load_at_loss, load_now)
                           : load_now;
      m_loss_counts_until = now + IdleTimeOf(limits);
      // What was ordered there may be gone.
      state.target.reset();
      state.watched_since.reset();
      state.needed.Clear();
      state.serving.Clear();
    }
  }
}

void ServerCountPolicy::LearnRunTime(
    const ServerCountLimits& limits,
    const std::vector<DataCentreLoad>& data_centres) {
  const auto is_known = [](const DataCentreLoad& load) {
    return load.calls_per_second.has_value() && load.reporting == load.serving;
  };
  const double running = Sum(data_centres, &DataCentreLoad::running);
  const double waiting = Sum(data_centres, &DataCentreLoad::waiting);
  const double places =
      limits.places * Sum(data_centres, &DataCentreLoad::serving);
  if (!std::ranges::all_of(data_centres, is_known) || waiting > 0.0 ||
      running > kUnhinderedUse * places) {
    return;
  }
  const double calls = Sum(data_centres, [](const DataCentreLoad& load) {
    return *load.calls_per_second;
  });
  if (calls <= 0.0 || running <= 0.0) {
    return;
  }
  // Little's law.
  const double measured = running / calls;
  const TimePoint now = m_clock.Now();
  m_run_seconds = m_run_seconds.has_value()
                      ? std::lerp(*m_run_seconds, measured,
                                  SmoothingFactor(now - m_run_learned_at,
                                                  kRunTimeSmoothing))
                      : measured;
  m_run_learned_at = now;
}

std::optional<double> ServerCountPolicy::OfferedLoad(
    const DataCentreLoad& load) const {
  if (load.calls_per_second.has_value() && m_run_seconds.has_value()) {
    return *load.calls_per_second * *m_run_seconds;
  }
  if (load.serving > 0 && load.reporting < kMinReportingShare * load.serving) {
    return std::nullopt;
  }
  // A queue grows as long as servers are missing, also those that are ordered.
  const double reported = load.running + std::min(load.waiting, load.running);
  return load.reporting == 0 ? 0.0 : reported * load.serving / load.reporting;
}

void ServerCountPolicy::UpdateLoads(
    const ServerCountLimits& limits,
    const std::vector<DataCentreLoad>& data_centres) {
  const TimePoint now = m_clock.Now();
  const Duration smoothing = SmoothingOf(limits);
  for (const DataCentreLoad& load : data_centres) {
    DataCentreState& state = m_states[load.data_centre];
    const std::optional<double> offered = OfferedLoad(load);
    if (!offered.has_value()) {
      // The last level stands until the load is known again.
      state.trend = 0.0;
      state.updated_at = now;
      continue;
    }
    if (!state.updated_at.has_value()) {
      state.level = *offered;
      state.updated_at = now;
      continue;
    }
    const Duration elapsed = now - *state.updated_at;
    if (elapsed <= Duration::zero()) {
      continue;
    }
    const double previous = state.level;
    state.level =
        std::lerp(previous, *offered, SmoothingFactor(elapsed, smoothing));
    const double slope = (state.level - previous) / ToSeconds(elapsed);
    state.trend = std::lerp(
        state.trend, slope,
        SmoothingFactor(elapsed, std::max(limits.lead_time * kTrendLeadTimes,
                                          kMinSmoothing)));
    state.updated_at = now;
  }
}

std::vector<ServerCountPolicy::Plan> ServerCountPolicy::MakePlans(
    const ServerCountLimits& limits,
    const std::vector<DataCentreLoad>& data_centres) {
  const TimePoint now = m_clock.Now();
  std::vector<Plan> plans;
  double load_elsewhere = 0.0;
  for (const DataCentreLoad& load : data_centres) {
    DataCentreState& state = m_states.at(load.data_centre);
    // The level lags behind the load by the time over which it is smoothed.
    const double rise = std::max(0.0, state.trend) *
                        ToSeconds(limits.lead_time + SmoothingOf(limits));
    const double expected =
        std::min(state.level + rise, state.level * kMaxGrowth + limits.places);
    if (load.in_service) {
      plans.push_back(
          {&load, &state, expected, 0.0, 0, ServerCountReason::kLoad});
    } else {
      load_elsewhere += expected;
    }
  }
  const double planned = Sum(plans, &Plan::expected_load);
  const double load_at_loss = now < m_loss_counts_until ? m_load_at_loss : 0.0;
  const double moved = std::max(load_elsewhere, load_at_loss - planned);
  const double servers =
      Sum(plans, [](const Plan& plan) { return plan.load->serving; });
  for (Plan& plan : plans) {
    if (moved > 0.0 && servers > 0.0) {
      plan.moved_load = moved * plan.load->serving / servers;
      plan.expected_load += plan.moved_load;
    }
    plan.needed = ServersFor(limits, plan.expected_load);
    if (plan.needed >
        ServersFor(limits, plan.expected_load - plan.moved_load)) {
      plan.reason = ServerCountReason::kMovedLoad;
    } else if (plan.needed == limits.min_count) {
      plan.reason = ServerCountReason::kMinimum;
    }
  }
  KeepModels(limits, plans);
  for (Plan& plan : plans) {
    const int with_margin = std::max(
        plan.needed, ServersFor(limits, plan.expected_load * kShrinkMargin));
    DataCentreState& state = *plan.state;
    state.needed.Add(now, with_margin);
    state.serving.Add(now, plan.load->serving);
    state.needed.RemoveBefore(now - IdleTimeOf(limits));
    state.serving.RemoveBefore(now - IdleTimeOf(limits));
    if (!state.watched_since.has_value()) {
      state.watched_since = now;
    }
  }
  return plans;
}

void ServerCountPolicy::KeepModels(const ServerCountLimits& limits,
                                   std::vector<Plan>& plans) {
  const auto total = [&] { return Sum(plans, &Plan::needed); };
  while (total() < limits.servers_for_models) {
    // Servers stay where they are, as far as possible.
    const auto raised =
        std::ranges::max_element(plans, {}, [&](const Plan& plan) {
          return plan.needed < limits.max_count
                     ? plan.current() - plan.needed + limits.max_count
                     : -1;
        });
    if (raised == plans.end() || raised->needed >= limits.max_count) {
      return;
    }
    ++raised->needed;
    raised->reason = ServerCountReason::kModels;
  }
}

ServerCountDecision ServerCountPolicy::Decide(const ServerCountLimits& limits,
                                              Plan& plan) const {
  ServerCountDecision decision;
  decision.data_centre = plan.load->data_centre;
  decision.previous = plan.current();
  decision.target = plan.current();
  decision.serving = plan.load->serving;
  decision.load = plan.state->level;
  decision.expected_load = plan.expected_load;
  if (plan.needed > plan.current()) {
    // Without an order of its own, the most servers seen lately stand for what
    // the platform was told, so that growth never lowers it.
    SetTarget(plan,
              std::min(limits.max_count,
                       std::max(plan.needed, plan.state->serving.value())),
              plan.reason, decision);
  }
  decision.overdue = plan.state->target.value_or(0) > plan.load->serving &&
                     m_clock.Now() - plan.state->target_set_at >
                         limits.lead_time * 2 + kOrderGrace;
  return decision;
}

void ServerCountPolicy::Shrink(const ServerCountLimits& limits,
                               std::vector<Plan>& plans,
                               std::vector<ServerCountDecision>& decisions) {
  const TimePoint now = m_clock.Now();
  // One server at a time: the next one only when the last one has left and its
  // models are loaded elsewhere, and when what was ordered has come.
  const bool settled = std::ranges::all_of(plans, [&](const Plan& plan) {
    const DataCentreState& state = *plan.state;
    return plan.load->leaving == 0 &&
           plan.load->serving == state.target.value_or(state.serving.value()) &&
           plan.load->reporting == plan.load->serving &&
           now - *state.watched_since >= IdleTimeOf(limits);
  });
  if (!settled || plans.empty()) {
    return;
  }
  const auto to_spare = [](const Plan& plan) {
    return plan.current() - plan.state->needed.value();
  };
  const auto most = std::ranges::max_element(plans, {}, to_spare);
  if (to_spare(*most) <= 0) {
    return;
  }
  ServerCountDecision& decision =
      decisions.at(static_cast<std::size_t>(most - plans.begin()));
  SetTarget(*most, most->current() - 1, ServerCountReason::kIdle, decision);
}

void ServerCountPolicy::SetTarget(const Plan& plan, int target,
                                  ServerCountReason reason,
                                  ServerCountDecision& decision) const {
  plan.state->target = target;
  plan.state->target_set_at = m_clock.Now();
  decision.target = target;
  decision.reason = reason;
}

}  // namespace bambooquay
