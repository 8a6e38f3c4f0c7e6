// The entry on a hosted platform: callers, peers, startup and draining. The
// store's tables are handled in serving_entry_tables.cc.
#include "bambooquay/serving/serving_entry.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/core/rendezvous.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kMemberTable = "entries";
// Longest waits of watches. A lost response must be noticed, and the change in
// it take effect, within the time that the store needs to count as stable again
// and the time that upstreams serve after their departure, 5 s together.
constexpr Duration kWatchTime = std::chrono::seconds(2);
// The same for the list of upstreams in an entry that reads it for others: they
// learn of a lost response only when this entry does, and pause themselves.
constexpr Duration kReaderWatchTime = std::chrono::seconds(1);
// The same for the operators' rows in an entry behind a reader. The versions in
// the statuses of others tell it that a response was lost.
constexpr Duration kFollowerWatchTime = std::chrono::seconds(25);
// Entries also find each other by their statuses.
constexpr Duration kMemberWatchTime = std::chrono::seconds(10);
// Pauses between watches. Changes by operators and departures of upstreams must
// take effect within two seconds; new upstreams should be used soon.
constexpr Duration kOperatorPause = milliseconds(50);
constexpr Duration kUpstreamPause = milliseconds(1000);
constexpr Duration kUpstreamShortPause = milliseconds(200);
// Entries learn of a new entry from its own statuses. Only the new entry itself
// needs the table, to find the others.
constexpr Duration kMemberPause = std::chrono::seconds(5);
// A total is sent to the peers for this long after it has changed, so that a
// peer that misses some datagrams still gets it.
constexpr Duration kSpendingRepeatTime = std::chrono::seconds(2);
constexpr Duration kTickPeriod = milliseconds(100);
// A later tick is logged.
constexpr Duration kNotableLoopDelay = milliseconds(200);
constexpr Duration kPlanPeriod = milliseconds(300);
constexpr Duration kOriginsPeriod = std::chrono::seconds(1);
// Delay of the planning after an engine's first report. The first reports of
// other engines often follow within some milliseconds.
constexpr Duration kEarlyPlanDelay = milliseconds(40);
constexpr Duration kRegisterRetryDelay = milliseconds(400);
// Limit on the bytes of all responses that their callers have not taken yet.
constexpr std::size_t kMaxResponseBytes = std::size_t{48} * 1024 * 1024;
// The part of the process's memory that callers' requests may hold, besides the
// responses.
constexpr std::size_t kCallerMemoryDivisor = 5;
// The parts of its descriptors that connections to each port may use. Most of
// callers' connections are idle and need none to an upstream.
constexpr double kCallerDescriptorShare = 2.0 / 3;
constexpr double kTableDescriptorShare = 1.0 / 8;
constexpr double kReadinessDescriptorShare = 1.0 / 16;
// Limits of the ports for readiness checks and for other entries. Their
// requests have no bodies; the watches of all entries of a data centre wait at
// one of them.
constexpr HttpServerLimits kReadinessLimits = {
    .max_body_bytes = std::size_t{64} * 1024,
    .max_connections = 64,
    .max_held_bytes = std::size_t{2} * 1024 * 1024};
constexpr HttpServerLimits kTableLimits = {
    .max_body_bytes = std::size_t{64} * 1024,
    .max_connections = 1024,
    .max_held_bytes = std::size_t{8} * 1024 * 1024};
// Connections to upstreams are made within some milliseconds, as network
// latency in the fleet is low.
constexpr HttpClientSettings kUpstreamClient = {
    .connect_timeout = milliseconds(700),
    .tcp_user_timeout = milliseconds(1500),
    .max_idle_time = std::chrono::seconds(8)};
// New connections still arrive for this long after draining has started. Calls
// that arrive later, or after this share of the drain limit, might not be
// finished in time and are refused.
constexpr Duration kDrainAcceptTime = milliseconds(2500);
constexpr int kDrainAcceptDivisor = 3;
// Calls are refused with an answer for at least this long, before the entry
// stops to listen.
constexpr Duration kDrainRefuseTime = milliseconds(300);
// A connection that rests for less may be a new one whose request is on its
// way.
constexpr Duration kDrainMinRest = milliseconds(200);
// Time reserved at the end of the drain limit to tell callers that wait for the
// first byte of a response that there will be none.
constexpr Duration kDrainAnswerMargin = milliseconds(800);
// Time reserved at the end of the drain limit to send the last bytes before the
// process is killed.
constexpr Duration kStopMargin = milliseconds(500);

/// @returns `limits` with no more connections than a share of the process's
///   descriptors.
HttpServerLimits WithShare(HttpServerLimits limits,
                           const ProcessLimits& process, double share) {
  const auto available = static_cast<std::size_t>(
      static_cast<double>(process.descriptors) * share);
  limits.max_connections = std::min(limits.max_connections, available);
  return limits;
}

}  // namespace

ServingEntry::ServingEntry(const ServingSettings& settings,
                           const ServingEntryDeps& deps)
    : m_settings(settings),
      m_deps(deps),
      m_started_at(deps.loop.clock().Now()),
      m_upstreams(deps.loop.clock(), deps.random, settings.data_centre,
                  [this](const Endpoint& address) {
                    return m_client.HasIdleConnection(address);
                  }),
      m_allowance(deps.loop.input_clock()),
      m_quarantine(deps.loop.clock()),
      m_stream_origins(deps.loop.clock(),
                       [this] { return KnowsStreamOrigins(); }),
      m_stream_routes(deps.loop.clock()),
      m_demand(deps.loop.clock()),
      m_planner(deps.loop.clock(), m_upstreams),
      m_response_buffers(kMaxResponseBytes),
      m_client(deps.loop, kUpstreamClient),
      m_peers(deps.loop, settings.id, m_allowance, m_upstreams),
      m_context{deps.loop,
                deps.call_codec,
                m_client,
                m_upstreams,
                m_allowance,
                deps.random,
                deps.metrics,
                m_peers,
                m_demand,
                m_quarantine,
                m_stream_origins,
                m_response_buffers,
                [this](const ServiceName& service) -> RetryBudget& {
                  return RetryBudgetFor(service);
                },
                {},
                settings.predicted_work},
      m_peer_table(deps.loop, [this] { return m_peers.NextLivePeer(); }),
      m_reader_table(deps.loop, [this] { return TableReader(); }),
      m_shared_table(deps.loop.clock(), deps.table, m_reader_table,
                     [this] { return TableReader().has_value(); }),
      m_table_relay(deps.loop),
      m_stream_origin_table(deps.loop, deps.table, m_stream_origins,
                            [this] { return m_peers.IsPlanner(); }),
      m_quarantine_table(deps.loop, deps.table, m_quarantine,
                         [this] { return m_peers.IsPlanner(); }),
      m_expiry_grace(deps.loop.clock()),
      m_operator_rows(deps.loop, deps.table, deps.random,
                      {deps.document_codec.OperatorTableName(), kWatchTime,
                       kOperatorPause, kOperatorPause},
                      [this](const TableRow& row) { HandleOperatorRow(row); }),
      m_upstream_rows(deps.loop, m_shared_table, deps.random,
                      {deps.document_codec.UpstreamTableName(), kWatchTime,
                       kUpstreamPause, kUpstreamShortPause},
                      [this](const TableRow& row) { HandleUpstreamRow(row); }),
      m_member_rows(
          deps.loop, m_shared_table, deps.random,
          {kMemberTable, kMemberWatchTime, kMemberPause, kMemberPause},
          [this](const TableRow& row) { HandleMemberRow(row); }),
      m_server(deps.loop, CallerLimits({}),
               [this](std::shared_ptr<HttpExchange> exchange) {
                 HandleRequest(std::move(exchange));
               }),
      m_readiness_server(
          deps.loop,
          WithShare(kReadinessLimits, settings.limits,
                    kReadinessDescriptorShare),
          [this](const std::shared_ptr<HttpExchange>& exchange) {
            const std::string reason = NotReadyReason();
            exchange->Respond(
                ToCode(reason.empty() ? HttpStatus::kOk
                                      : HttpStatus::kServiceUnavailable),
                {}, reason);
          }),
      m_table_server(
          deps.loop,
          WithShare(kTableLimits, settings.limits, kTableDescriptorShare),
          [this](const std::shared_ptr<HttpExchange>& exchange) {
            m_table_relay.HandleRequest(exchange);
          }),
      m_freeze_detector(kTickPeriod) {
  for (TableMirror* mirror : m_mirrors) {
    mirror->SetFallback(m_peer_table);
    m_table_relay.Serve(*mirror);
  }
  m_upstreams.SetInputClock(deps.loop.input_clock());
  RegisterGauges();
  m_server.SetOrganisationSource(
      [this](const HttpHeaders& headers) { return OrganisationOf(headers); });
  m_server.OnLimitExceeded([this](std::string_view limit) {
    m_deps.metrics.Increment("caller_limits_exceeded_total{limit=\"" +
                             std::string(limit) + "\"}");
  });
  m_server.OnConnectionClosed([this](std::string_view reason) {
    m_deps.metrics.Increment("caller_connections_closed_total{reason=\"" +
                             std::string(reason) + "\"}");
  });
  m_demand.SetMeasuresReading(settings.predicted_work);
  m_upstream_rows.SetExpiryGrace(m_expiry_grace);
  m_peers.SetStatusSource([this] { return MakeStatus(); });
  // A new peer needs all totals, so all are sent again.
  m_peers.OnPeerFound([this] { m_spent_totals.clear(); });
  m_peers.OnPromptParts([this](const PromptPartReports& reports) {
    m_quarantine.Merge(reports);
  });
  m_peers.OnCallLimits([this](const std::vector<CallLimitReport>& reports) {
    m_upstreams.notices().Merge(reports);
  });
  m_peers.OnStreamVersions(
      [this](const std::vector<StreamVersionReport>& reports) {
        m_stream_origins.Merge(reports);
      });
  m_quarantine.SetTrialChooser([this](PromptPartId part, std::uint64_t turn) {
    return MakesTrial(part, turn);
  });
  m_quarantine.SetRunFinder(
      [this](const UpstreamId& id) { return m_upstreams.FindRun(id); });
  m_quarantine.OnQuarantined([this] {
    // Runs within a call that has just failed, so the others end later.
    m_deps.loop.Post([this] {
      ForEachCall([](ForwardedCall& call) { call.HandleQuarantine(); });
    });
  });
  m_peers.OnEngineStatus([this](const EngineStatus& status) {
    const Upstream* upstream = m_upstreams.Find(status.upstream);
    const bool is_first_report =
        upstream != nullptr && !m_upstreams.HasFreshReport(*upstream);
    if (is_first_report && m_early_plan_timer == nullptr &&
        m_peers.IsPlanner()) {
      m_early_plan_timer =
          m_deps.loop.After(kEarlyPlanDelay, [this] { Plan(); });
    }
    if (status.omits_lists) {
      m_upstreams.MergeReport(status.upstream, status.report);
    } else {
      m_upstreams.SetReport(status.upstream, status.report);
    }
    if (m_settings.predicted_work) {
      m_upstreams.SetWork(status.upstream, status.work,
                          ToPrefixes(status.read_prefixes));
    }
  });
}

ServingEntry::~ServingEntry() = default;

void ServingEntry::RegisterGauges() {
  Metrics& metrics = m_deps.metrics;
  const auto to_double = [](auto value) { return static_cast<double>(value); };
  metrics.RegisterGauge("configuration_version", [this, to_double] {
    return m_active_configuration == nullptr
               ? 0.0
               : to_double(m_active_configuration->configuration.version);
  });
  for (const TableMirror* mirror : m_mirrors) {
    metrics.RegisterGauge(
        "store_returns{table=\"" + mirror->table() + "\"}",
        [mirror, to_double] { return to_double(mirror->return_count()); });
    metrics.RegisterGauge(
        "store_answer_age_seconds{table=\"" + mirror->table() + "\"}",
        [this, mirror] {
          const auto responded_at = mirror->last_response_at();
          return responded_at.has_value()
                     ? ToSeconds(m_deps.loop.clock().Now() - *responded_at)
                     : -1.0;
        });
  }
  metrics.RegisterGauge("upstreams_usable", [this, to_double] {
    return to_double(
        std::ranges::count_if(m_upstreams.all(), [this](const auto& item) {
          return m_upstreams.IsUsable(item.second);
        }));
  });
  metrics.RegisterGauge("prompt_parts_quarantined", [this, to_double] {
    return to_double(m_quarantine.quarantined_count());
  });
  metrics.RegisterGauge("entries_known", [this, to_double] {
    return to_double(m_peers.member_count());
  });
  metrics.RegisterGauge("calls_in_progress", [this, to_double] {
    return to_double(m_calls.size());
  });
  metrics.RegisterGauge("response_bytes_held", [this, to_double] {
    return to_double(m_response_buffers.held());
  });
  metrics.RegisterGauge("caller_bytes_held", [this, to_double] {
    return to_double(m_server.held_bytes());
  });
  metrics.RegisterGauge("caller_connections", [this, to_double] {
    return to_double(m_server.connection_count());
  });
  metrics.RegisterGauge("upstream_connections_opened", [this, to_double] {
    return to_double(m_client.opened_connection_count());
  });
  metrics.RegisterGauge("upstream_connections_idle", [this, to_double] {
    return to_double(m_client.idle_connection_count());
  });
  RegisterLogGauges(metrics);
}

HttpServerLimits ServingEntry::CallerLimits(
    const HttpServerLimits& configured) const {
  const ProcessLimits& process = m_settings.limits;
  HttpServerLimits limits =
      WithShare(configured, process, kCallerDescriptorShare);
  limits.max_held_bytes = process.memory_bytes / kCallerMemoryDivisor;
  return limits;
}

std::string ServingEntry::OrganisationOf(const HttpHeaders& headers) const {
  if (m_active_configuration == nullptr) {
    return "";
  }
  HttpRequest request;
  request.headers = headers;
  const ServingCall call = m_deps.call_codec.DecodeCall(request);
  const ServingOrganisation* organisation =
      call.api_key.empty() ? nullptr
                           : m_active_configuration->routes.FindOrganisation(
                                 KeyDigest(Sha256Hex(call.api_key)));
  return organisation == nullptr ? "" : organisation->name.value();
}

bool ServingEntry::Start() {
  if (!m_server.Listen(m_settings.callers) ||
      !m_readiness_server.Listen(m_settings.readiness) ||
      !m_table_server.Listen(m_settings.peers) ||
      !m_peers.Bind(m_settings.peers)) {
    return false;
  }
  for (const Endpoint& seed : m_settings.seeds) {
    m_peers.AddSeed(seed);
  }
  for (TableMirror* mirror : m_mirrors) {
    mirror->Start();
  }
  m_stream_origin_table.Start();
  m_quarantine_table.Start();
  RegisterMember();
  m_last_tick_at = m_deps.loop.clock().Now();
  m_tick_timer = m_deps.loop.Every(kTickPeriod, [this] { Tick(); });
  m_plan_timer = m_deps.loop.Every(kPlanPeriod, [this] { Plan(); });
  m_origins_timer =
      m_deps.loop.Every(kOriginsPeriod, [this] { NoteStreamOrigins(); });
  return true;
}

void ServingEntry::RegisterMember() {
  TableWrite write;
  write.puts.push_back({kMemberTable, m_settings.id.value(),
                        m_settings.peers.ToString(), 0, false});
  m_deps.table.Write(write, [this](const TableWriteResult& result) {
    if (!std::holds_alternative<TablePage>(result)) {
      m_register_timer =
          m_deps.loop.After(kRegisterRetryDelay, [this] { RegisterMember(); });
    }
  });
}

std::string ServingEntry::NotReadyReason() const {
  if (m_draining_since.has_value()) {
    return "draining";
  }
  if (m_active_configuration == nullptr) {
    return "no configuration";
  }
  return m_upstream_rows.is_complete() ? "" : "upstreams are not listed yet";
}

std::string ServingEntry::StatusJson() const {
  return nlohmann::json{{"instance", m_settings.id.value()},
                        {"configuration", ActiveVersion()},
                        {"upstreams", m_upstreams.all().size()},
                        {"entries", m_peers.member_count()},
                        {"calls", m_calls.size()},
                        {"store_lost", m_upstream_rows.is_store_lost()},
                        {"not_ready", NotReadyReason()}}
      .dump();
}

void ServingEntry::HandleRequest(std::shared_ptr<HttpExchange> exchange) {
  m_calls.push_back(std::make_unique<ForwardedCall>(
      m_context, m_active_configuration, std::move(exchange),
      [this](ForwardedCall& ended) {
        const auto found = std::ranges::find(
            m_calls, &ended, &std::unique_ptr<ForwardedCall>::get);
        // This runs within a member function of the call, so the call is
        // destroyed later, from the event loop.
        const std::shared_ptr<ForwardedCall> finished = std::move(*found);
        m_calls.erase(found);
        m_deps.loop.Post([finished] {});
      }));
  if (RefusesCalls()) {
    m_calls.back()->RefuseWhileDraining();
  } else {
    m_calls.back()->Start();
  }
}

bool ServingEntry::RefusesCalls() const {
  return m_draining_since.has_value() &&
         m_deps.loop.clock().Now() - *m_draining_since >
             std::min(kDrainAcceptTime,
                      m_settings.drain_limit / kDrainAcceptDivisor);
}

void ServingEntry::ForEachCall(
    const std::function<void(ForwardedCall&)>& action) {
  // Copied, as calls that end are removed from the list.
  std::vector<ForwardedCall*> calls;
  std::ranges::transform(m_calls, std::back_inserter(calls),
                         [](const auto& call) { return call.get(); });
  std::ranges::for_each(calls, [&](ForwardedCall* call) { action(*call); });
}

std::optional<InstanceId> ServingEntry::ReaderOfDataCentre() const {
  std::vector<InstanceId> members{m_settings.id};
  for (const auto& [id, peer] : m_peers.peers()) {
    if (peer.status.data_centre == m_settings.data_centre &&
        !m_peers.IsSilent(peer) && !peer.status.leaving) {
      members.push_back(id);
    }
  }
  return ChooseTableReader(members);
}

std::optional<Endpoint> ServingEntry::TableReader() const {
  const auto reader = ReaderOfDataCentre();
  if (!reader.has_value() || *reader == m_settings.id) {
    return std::nullopt;
  }
  return m_peers.peers().at(*reader).address;
}

void ServingEntry::UpdateWatchTimes() {
  const auto reader = ReaderOfDataCentre();
  const bool is_reader = reader == m_settings.id;
  m_upstream_rows.SetMaxWatchTime(is_reader ? kReaderWatchTime : kWatchTime);
  m_upstream_rows.SetPause(is_reader ? kUpstreamShortPause : kUpstreamPause);
  const bool has_reader = reader.has_value() && !is_reader;
  if (std::exchange(m_has_reader, has_reader) == has_reader) {
    return;
  }
  m_operator_rows.SetMaxWatchTime(has_reader ? kFollowerWatchTime : kWatchTime);
  if (!has_reader) {
    // The others rely on this entry from now on, or on themselves.
    m_operator_rows.WatchNow();
  }
}

void ServingEntry::Reload(const ServingSettings& settings) {
  m_settings.retries = settings.retries;
  m_settings.drain_limit = settings.drain_limit;
  std::ranges::for_each(
      m_budgets, [&](auto& item) { item.second.SetLimits(settings.retries); });
}

RetryBudget& ServingEntry::RetryBudgetFor(const ServiceName& service) {
  const auto found = m_budgets.find(service);
  if (found != m_budgets.end()) {
    return found->second;
  }
  const auto added =
      m_budgets.try_emplace(service, m_deps.loop.clock(), m_deps.random,
                            m_settings.retries, m_started_at);
  RetryBudget& budget = added.first->second;
  budget.SetEntryCount(m_peers.known_count());
  m_deps.metrics.RegisterGauge(
      "retries_left{service=\"" + service.value() + "\"}",
      [&budget] { return budget.RetriesLeft(); });
  return budget;
}

EntryStatus ServingEntry::MakeStatus() {
  EntryStatus status;
  status.leaving = m_draining_since.has_value();
  status.data_centre = m_settings.data_centre;
  status.configuration = ActiveVersion();
  status.operators_version = m_operator_rows.last_change();
  status.stream_routes = m_stream_routes.digest();
  status.prompt_parts = m_quarantine.MakeReports();
  status.call_limits = m_upstreams.notices().MakeReports();
  status.stream_versions = m_stream_origins.MakeReports();
  status.spent = m_allowance.SpentByOrganisation();
  // Leaves out totals that have not changed for a while: all peers have them.
  std::erase_if(status.spent, [this](const auto& item) {
    const auto [total, is_new] = m_spent_totals.try_emplace(item.first);
    if (is_new || total->second.tokens != item.second) {
      total->second = {item.second, m_deps.loop.clock().Now()};
    }
    return m_deps.loop.clock().Now() - total->second.changed_at >
           kSpendingRepeatTime;
  });
  status.demand = m_demand.Rates();
  return status;
}

bool ServingEntry::MakesTrial(PromptPartId part, std::uint64_t turn) const {
  std::size_t seed = 0;
  boost::hash_combine(seed, static_cast<std::uint64_t>(part));
  boost::hash_combine(seed, turn);
  return ChooseByRendezvous(seed, m_peers.Members()) == m_settings.id;
}

void ServingEntry::ObserveLoopDelay() {
  const TimePoint now = m_deps.loop.clock().Now();
  const Duration delay =
      std::max(now - m_last_tick_at - kTickPeriod, Duration::zero());
  m_last_tick_at = now;
  m_deps.metrics.Observe("loop_delay_seconds", delay);
  if (delay > kNotableLoopDelay) {
    LogEvent(LogLevel::kInfo, "loop_delayed")
        .With("delay_ms", delay / milliseconds(1));
    m_paused_until = now;
  }
}

FleetContact ServingEntry::Contact() const {
  const TimePoint now = m_deps.loop.clock().Now();
  const auto age = [now](const std::optional<TimePoint>& time) {
    return time.has_value() ? std::optional(now - *time) : std::nullopt;
  };
  const auto heard = std::ranges::count_if(
      m_peers.peers(),
      [this](const auto& item) { return !m_peers.IsSilent(item.second); });
  // A call may come before the first tick after a pause.
  const bool is_paused = now - m_last_tick_at > kTickPeriod + kNotableLoopDelay;
  return {m_peers.peers().size(), static_cast<std::size_t>(heard),
          age(m_upstream_rows.last_response_at()),
          is_paused ? std::optional(Duration::zero()) : age(m_paused_until),
          HasOtherStreamRoutes()};
}

bool ServingEntry::KnowsStreamOrigins() const {
  return m_upstream_rows.is_complete() && IsInTouch(Contact());
}

void ServingEntry::Tick() {
  ObserveLoopDelay();
  UpdateWatchTimes();
  FetchTablesIfBehind();
  if (const auto frozen_time = m_freeze_detector.Check()) {
    LogEvent(LogLevel::kWarning, "freeze_noticed")
        .With("frozen_ms", *frozen_time / milliseconds(1));
    m_deps.metrics.Increment("freezes_total");
    // The upstreams may have closed idle connections during the freeze.
    m_client.CloseIdleConnections();
  }
  m_upstreams.Tick();
  m_quarantine.Update();
  const std::vector<InstanceId> members = m_peers.Members();
  std::ranges::for_each(m_budgets, [this](auto& item) {
    item.second.SetEntryCount(m_peers.known_count());
  });
  m_upstreams.SetEntries(m_settings.id, members);
  CheckDrained();
}

std::optional<ServingEntry::DemandByDataCentre> ServingEntry::Demand() {
  if (!m_peers.IsPlanner()) {
    return std::nullopt;
  }
  DemandByDataCentre demand;
  demand[m_settings.data_centre] = m_demand.Rates();
  for (const auto& [id, peer] : m_peers.peers()) {
    if (!m_peers.IsSilent(peer)) {
      std::ranges::copy(peer.status.demand,
                        std::back_inserter(demand[peer.status.data_centre]));
    }
  }
  return demand;
}

void ServingEntry::NoteStreamOrigins() {
  std::ranges::for_each(m_upstreams.all(), [this](const auto& item) {
    const Upstream& upstream = item.second;
    if (upstream.listed) {
      m_stream_origins.NoteVersion(upstream.record.service,
                                   upstream.record.software_version);
    }
  });
  for (const auto& [service, shared_at] : m_stream_routes.SharedServices()) {
    if (m_stream_origins.NoteShared(service, shared_at)) {
      LogEvent(LogLevel::kInfo, "stream_service_shared")
          .With("service", service.value());
    }
  }
  m_stream_origins.RemoveExpired();
  m_stream_routes.RemoveExpired();
}

void ServingEntry::Plan() {
  m_early_plan_timer = nullptr;
  PlacementTargets targets;
  std::optional<DemandByDataCentre> by_data_centre;
  if (m_active_configuration != nullptr && !m_draining_since.has_value()) {
    by_data_centre = Demand();
  }
  if (by_data_centre.has_value()) {
    std::vector<ModelDemand> demand;
    for (const auto& [data_centre, local] : *by_data_centre) {
      std::ranges::copy(local, std::back_inserter(demand));
    }
    targets = m_planner.Plan(m_active_configuration->configuration, demand);
  } else {
    m_planner.ClearPlans();
  }
  m_peers.SendTargets(targets);
}

void ServingEntry::Drain(std::function<void()> done) {
  if (m_draining_since.has_value()) {
    return;
  }
  m_on_drained = std::move(done);
  m_draining_since = m_deps.loop.clock().Now();
  LogEvent(LogLevel::kInfo, "drain_started").With("calls", m_calls.size());
  m_server.CloseAfterResponses();
  m_peers.SendStatus();
}

void ServingEntry::CheckDrained() {
  if (m_draining_since.has_value() && m_on_drained &&
      m_drain_timer == nullptr) {
    // Responses that have arrived, and requests, count as such.
    m_drain_timer = m_deps.loop.AfterInput(
        [this, now = m_deps.loop.clock().Now()] { EndDrainIfDue(now); });
  }
}

void ServingEntry::EndDrainIfDue(TimePoint now) {
  m_drain_timer = nullptr;
  const Duration elapsed = now - *m_draining_since;
  if (RefusesCalls()) {
    m_server.CloseIdleConnections(kDrainMinRest);
  }
  const bool is_late = elapsed > m_settings.drain_limit - kDrainAnswerMargin;
  if (is_late) {
    ForEachCall([](ForwardedCall& call) { call.EndWhileDraining(); });
  }
  const bool idle = m_calls.empty() && m_server.busy_connection_count() == 0;
  // Waits one more tick, so that the last bytes written leave the machine.
  m_idle_ticks = idle ? m_idle_ticks + 1 : 0;
  const bool is_over =
      (m_idle_ticks > 1 && elapsed > kDrainAcceptTime + kDrainRefuseTime) ||
      elapsed > m_settings.drain_limit - kStopMargin;
  if (!m_has_stopped_listening && (is_late || is_over)) {
    // What has arrived by now is answered before the next tick.
    m_has_stopped_listening = true;
    m_idle_ticks = 0;
    m_server.StopListening();
  } else if (is_over) {
    LogEvent(LogLevel::kInfo, "drain_ended").With("calls", m_calls.size());
    std::exchange(m_on_drained, nullptr)();
  }
}

}  // namespace bambooquay
