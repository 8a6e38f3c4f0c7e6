// The entry on a hosted platform: its callers, its peers, and its start and
// end.
#include "bambooquay/serving/serving_entry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kMemberTable = "entries";
// Pauses between watches. What operators change and upstreams that leave must
// be known within two seconds; upstreams that come are needed soon.
constexpr Duration kOperatorPause = milliseconds(50);
constexpr Duration kUpstreamPause = milliseconds(1000);
constexpr Duration kUpstreamShortPause = milliseconds(200);
// A new entry tells the others of itself; the list only tells it of them.
constexpr Duration kMemberPause = std::chrono::seconds(5);
// How long a total is repeated to the peers after it has changed, so that one
// that misses messages still hears it.
constexpr Duration kSpendingRepeatTime = std::chrono::seconds(2);
constexpr Duration kTickPeriod = milliseconds(100);
constexpr Duration kPlanPeriod = milliseconds(300);
// After an engine's first report: others follow within some milliseconds.
constexpr Duration kPlanSoon = milliseconds(40);
constexpr Duration kRegisterRetry = milliseconds(400);
// Upstream connections are made in some milliseconds; the fleet's links are
// short.
constexpr HttpClientSettings kUpstreamClient = {
    .connect_timeout = milliseconds(700),
    .unacknowledged_limit = milliseconds(1500),
    .max_idle = std::chrono::seconds(8)};
// After a stop is asked for, new connections still come for this long; what
// comes later might not be finished in time and is refused.
constexpr Duration kUnreadyTime = milliseconds(2500);
// Time kept for the last bytes before the process would be killed.
constexpr Duration kStopMargin = milliseconds(500);

}  // namespace

ServingEntry::ServingEntry(const ServingSettings& settings,
                           const ServingEntryDeps& deps)
    : m_settings(settings),
      m_deps(deps),
      m_upstreams(deps.loop.clock(), deps.random, settings.data_centre,
                  [this](const Endpoint& address) {
                    return m_client.HasIdle(address);
                  }),
      m_allowance(deps.loop.clock()),
      m_demand(deps.loop.clock()),
      m_planner(deps.loop.clock(), m_upstreams),
      m_client(deps.loop, kUpstreamClient),
      m_peers(deps.loop, settings.id, m_allowance, m_upstreams),
      m_context{deps.loop,
                deps.calls,
                m_client,
                m_upstreams,
                m_allowance,
                deps.random,
                deps.metrics,
                m_peers,
                m_demand,
                [this](const ServiceName& service) -> RetryBudget& {
                  return BudgetOf(service);
                }},
      m_peer_table(deps.loop, [this] { return m_peers.AnyLivePeer(); }),
      m_operator_rows(
          deps.loop, deps.table, deps.random,
          {deps.documents.OperatorTable(), kOperatorPause, kOperatorPause},
          [this](const TableRow& row) { HandleOperatorRow(row); }),
      m_upstream_rows(
          deps.loop, deps.table, deps.random,
          {deps.documents.UpstreamTable(), kUpstreamPause, kUpstreamShortPause},
          [this](const TableRow& row) { HandleUpstreamRow(row); }),
      m_member_rows(deps.loop, deps.table, deps.random,
                    {kMemberTable, kMemberPause, kMemberPause},
                    [this](const TableRow& row) { HandleMemberRow(row); }),
      m_server(deps.loop, HttpServerLimits{},
               [this](std::shared_ptr<HttpExchange> exchange) {
                 Serve(std::move(exchange));
               }),
      m_readiness(
          deps.loop, HttpServerLimits{},
          [this](const std::shared_ptr<HttpExchange>& exchange) {
            const std::string reason = NotReadyReason();
            exchange->Reply(
                ToCode(reason.empty() ? HttpStatus::kOk
                                      : HttpStatus::kServiceUnavailable),
                {}, reason);
          }),
      m_relay(deps.loop, HttpServerLimits{},
              [this](const std::shared_ptr<HttpExchange>& exchange) {
                Relay(*exchange);
              }),
      m_freezes(kTickPeriod) {
  for (TableMirror* mirror : m_mirrors) {
    mirror->SetFallback(m_peer_table);
  }
  RegisterGauges();
  m_upstream_rows.OnRegained(
      [this] { m_store_regained_at = m_deps.loop.clock().Now(); });
  m_peers.OnStatus([this] { return MakeStatus(); });
  // A new peer needs every total once.
  m_peers.OnPeerFound([this] { m_spent.clear(); });
  m_peers.OnEngineStatus([this](const EngineStatus& status) {
    const Upstream* upstream = m_upstreams.Find(status.upstream);
    const bool is_first =
        upstream != nullptr && !m_upstreams.HasFreshReport(*upstream);
    if (is_first && m_plan_soon == nullptr && m_peers.IsPlanner()) {
      m_plan_soon = m_deps.loop.After(kPlanSoon, [this] { Plan(); });
    }
    if (status.brief) {
      m_upstreams.SetBriefReport(status.upstream, status.report);
    } else {
      m_upstreams.SetReport(status.upstream, status.report);
    }
  });
}

ServingEntry::~ServingEntry() = default;

void ServingEntry::RegisterGauges() {
  Metrics& metrics = m_deps.metrics;
  const auto number = [](auto value) { return static_cast<double>(value); };
  metrics.SetGauge("configuration_version", [this, number] {
    return m_active == nullptr ? 0.0 : number(m_active->configuration.version);
  });
  for (const TableMirror* mirror : m_mirrors) {
    metrics.SetGauge(
        "store_answer_age_seconds{table=\"" + mirror->table() + "\"}",
        [this, mirror] {
          const auto at = mirror->answered_at();
          return at.has_value() ? ToSeconds(m_deps.loop.clock().Now() - *at)
                                : -1.0;
        });
  }
  metrics.SetGauge("upstreams_usable", [this, number] {
    return number(std::ranges::count_if(
        m_upstreams.all(),
        [this](const auto& item) { return m_upstreams.Usable(item.second); }));
  });
  metrics.SetGauge("entries_known",
                   [this, number] { return number(m_peers.member_count()); });
  metrics.SetGauge("calls_in_progress",
                   [this, number] { return number(m_calls.size()); });
  metrics.SetGauge("caller_connections", [this, number] {
    return number(m_server.connection_count());
  });
  metrics.SetGauge("upstream_connections_opened",
                   [this, number] { return number(m_client.opened()); });
  metrics.SetGauge("upstream_connections_idle",
                   [this, number] { return number(m_client.idle_count()); });
  RegisterLogGauges(metrics);
}

bool ServingEntry::Start() {
  if (!m_server.Listen(m_settings.callers) ||
      !m_readiness.Listen(m_settings.readiness) ||
      !m_relay.Listen(m_settings.peers) || !m_peers.Bind(m_settings.peers)) {
    return false;
  }
  for (const Endpoint& seed : m_settings.seeds) {
    m_peers.AddSeed(seed);
  }
  for (TableMirror* mirror : m_mirrors) {
    mirror->Start();
  }
  RegisterMember();
  m_tick = m_deps.loop.Every(kTickPeriod, [this] { Tick(); });
  m_plan_timer = m_deps.loop.Every(kPlanPeriod, [this] { Plan(); });
  return true;
}

void ServingEntry::RegisterMember() {
  TableWrite write;
  write.puts.push_back({kMemberTable, m_settings.id.value(),
                        m_settings.peers.ToString(), 0, false});
  m_deps.table.Write(write, [this](const TableWriteResult& result) {
    if (!std::holds_alternative<TablePage>(result)) {
      m_register_timer =
          m_deps.loop.After(kRegisterRetry, [this] { RegisterMember(); });
    }
  });
}

std::string ServingEntry::NotReadyReason() const {
  if (m_draining_since.has_value()) {
    return "draining";
  }
  if (m_active == nullptr) {
    return "no configuration";
  }
  return m_upstream_rows.complete() ? "" : "upstreams are not listed yet";
}

std::string ServingEntry::StatusJson() const {
  return nlohmann::json{
      {"instance", m_settings.id.value()},
      {"configuration",
       m_active == nullptr ? 0 : m_active->configuration.version},
      {"upstreams", m_upstreams.all().size()},
      {"entries", m_peers.member_count()},
      {"calls", m_calls.size()},
      {"store_lost", m_upstream_rows.lost()},
      {"not_ready", NotReadyReason()}}
      .dump();
}

void ServingEntry::Serve(std::shared_ptr<HttpExchange> exchange) {
  m_calls.push_back(std::make_unique<ForwardedCall>(
      m_context, m_active, std::move(exchange), [this](ForwardedCall& ended) {
        const auto place = std::ranges::find(
            m_calls, &ended, &std::unique_ptr<ForwardedCall>::get);
        // The call is in one of its own callbacks.
        const std::shared_ptr<ForwardedCall> finished = std::move(*place);
        m_calls.erase(place);
        m_deps.loop.Post([finished] {});
      }));
  const bool leaving =
      m_draining_since.has_value() &&
      m_deps.loop.clock().Now() - *m_draining_since > kUnreadyTime;
  if (leaving) {
    m_calls.back()->RefuseLeaving();
  } else {
    m_calls.back()->Start();
  }
}

void ServingEntry::Relay(HttpExchange& exchange) const {
  const std::string& target = exchange.request().target;
  const auto mirror =
      std::ranges::find_if(m_mirrors, [&](const TableMirror* candidate) {
        return candidate->complete() &&
               target == "/tables/" + candidate->table();
      });
  if (mirror == m_mirrors.end()) {
    exchange.Reply(ToCode(HttpStatus::kNotFound), {}, "");
  } else {
    exchange.Reply(ToCode(HttpStatus::kOk), {},
                   EncodePage((*mirror)->Snapshot()));
  }
}

void ServingEntry::Reload(const ServingSettings& settings) {
  m_settings.retries = settings.retries;
  m_settings.drain_limit = settings.drain_limit;
  std::ranges::for_each(
      m_budgets, [&](auto& item) { item.second.SetLimits(settings.retries); });
}

RetryBudget& ServingEntry::BudgetOf(const ServiceName& service) {
  const auto known = m_budgets.find(service);
  if (known != m_budgets.end()) {
    return known->second;
  }
  const auto added = m_budgets.emplace(
      service, RetryBudget(m_deps.loop.clock(), m_settings.retries));
  added.first->second.SetEntryCount(m_peers.member_count());
  return added.first->second;
}

EntryStatus ServingEntry::MakeStatus() {
  EntryStatus status;
  status.leaving = m_draining_since.has_value();
  status.configuration =
      m_active == nullptr ? 0 : m_active->configuration.version;
  status.spent = m_allowance.Spent();
  // Totals that every peer has heard by now are left out.
  std::erase_if(status.spent, [this](const auto& item) {
    const auto [known, is_new] = m_spent.try_emplace(item.first);
    if (is_new || known->second.tokens != item.second) {
      known->second = {item.second, m_deps.loop.clock().Now()};
    }
    return m_deps.loop.clock().Now() - known->second.changed_at >
           kSpendingRepeatTime;
  });
  status.demand = m_demand.Rates();
  return status;
}

void ServingEntry::Tick() {
  CatchUp();
  if (const auto frozen = m_freezes.Check()) {
    LogEvent(LogLevel::kWarning, "freeze_noticed")
        .With("frozen_ms", *frozen / milliseconds(1));
    m_deps.metrics.Increment("freezes_total");
    // Their peers may have closed them meanwhile.
    m_client.CloseAllIdle();
  }
  m_upstreams.Tick();
  const std::vector<InstanceId> members = m_peers.Members();
  std::ranges::for_each(m_budgets, [&](auto& item) {
    item.second.SetEntryCount(members.size());
  });
  m_upstreams.SetEntries(m_settings.id, members);
  CheckDrained();
}

void ServingEntry::Plan() {
  m_plan_soon = nullptr;
  PlacementTargets targets;
  if (m_active != nullptr && m_peers.IsPlanner() &&
      !m_draining_since.has_value()) {
    std::vector<ModelDemand> demand = m_demand.Rates();
    for (const auto& [id, peer] : m_peers.peers()) {
      if (!m_peers.IsSilent(peer)) {
        std::ranges::copy(peer.status.demand, std::back_inserter(demand));
      }
    }
    targets = m_planner.Plan(m_active->configuration, demand);
  } else {
    m_planner.ClearPlans();
  }
  m_peers.SendTargets(targets);
}

void ServingEntry::Drain(std::function<void()> done) {
  if (m_draining_since.has_value()) {
    return;
  }
  m_drained = std::move(done);
  m_draining_since = m_deps.loop.clock().Now();
  LogEvent(LogLevel::kInfo, "drain_started").With("calls", m_calls.size());
  m_server.CloseAfterReplies();
  m_peers.SendStatus();
}

void ServingEntry::CheckDrained() {
  if (!m_draining_since.has_value() || !m_drained) {
    return;
  }
  const Duration passed = m_deps.loop.clock().Now() - *m_draining_since;
  const bool idle = m_calls.empty() && m_server.busy_count() == 0;
  // What was written last is given one more tick to leave the machine.
  m_idle_ticks = idle ? m_idle_ticks + 1 : 0;
  if ((m_idle_ticks > 1 && passed > kUnreadyTime) ||
      passed > m_settings.drain_limit - kStopMargin) {
    LogEvent(LogLevel::kInfo, "drain_ended").With("calls", m_calls.size());
    std::exchange(m_drained, nullptr)();
  }
}

}  // namespace bambooquay
