// The agent on a hosted platform.
#include "bambooquay/serving/serving_agent.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// The engine's report is free on its own machine and lags by some hundred
// milliseconds, so that asking more often tells little.
constexpr Duration kPollPeriod = milliseconds(200);
// A target older than this is no longer followed.
constexpr Duration kTargetLifetime = std::chrono::seconds(2);
// An adapter is there this long after its load was accepted.
constexpr Duration kAdapterLoadTime = milliseconds(12);
// A job is given up after this time; its entry has turned elsewhere.
constexpr Duration kJobLifetime = milliseconds(600);
constexpr Duration kOrderRetry = milliseconds(50);
// Orders refused in a row after which something is wrong that a retry does not
// mend: more than a second of them.
constexpr int kStuckOrders = 30;
// Model sizes and limits change rarely; a target with a model that is not known
// ends the pause.
constexpr Duration kOperatorPause = std::chrono::seconds(8);
// Reports missed in a row after which the engine counts as lost.
constexpr int kMissedReports = 3;

const char* OperationName(OrderKind kind) noexcept {
  return kind == OrderKind::kLoad ? "load" : "unload";
}

const char* ResultName(OrderResult result) noexcept {
  constexpr std::array kNames = {"accepted", "holds_already", "conflict",
                                 "fenced",   "rejected",      "not_sent",
                                 "unknown"};
  return kNames.at(static_cast<std::size_t>(result));
}

}  // namespace

ServingAgent::ServingAgent(const ServingSettings& settings,
                           const ServingAgentDeps& deps)
    : m_settings(settings),
      m_deps(deps),
      m_incarnation(MakeRandomNumber()),
      m_socket(deps.loop,
               [this](const Endpoint& from, std::string_view bytes) {
                 Receive(from, bytes);
               }),
      m_operator_rows(
          deps.loop, deps.table, deps.random,
          {deps.documents.OperatorTable(), kOperatorPause, kOperatorPause},
          [this](const TableRow& row) { HandleOperatorRow(row); }),
      m_ledger(deps.loop, deps.table),
      m_cold_permits(deps.loop.clock()),
      m_subscribers(deps.loop.clock()),
      m_orders(deps.loop.clock()) {}

bool ServingAgent::Start() {
  if (!m_socket.Bind(m_settings.peers)) {
    return false;
  }
  RegisterGauges();
  m_operator_rows.Start();
  AcquireFence();
  m_poll = m_deps.loop.Every(kPollPeriod, [this] { Poll(); });
  Poll();
  return true;
}

void ServingAgent::RegisterGauges() {
  Metrics& metrics = m_deps.metrics;
  metrics.SetGauge("report_age_seconds", [this] {
    return m_report.has_value()
               ? ToSeconds(m_deps.loop.clock().Now() - m_reported_at)
               : -1.0;
  });
  metrics.SetGauge("engine_running", [this] {
    return m_report.has_value() ? static_cast<double>(m_report->running) : 0.0;
  });
  metrics.SetGauge("engine_waiting", [this] {
    return m_report.has_value() ? static_cast<double>(m_report->waiting) : 0.0;
  });
  metrics.SetGauge("orders_refused_in_row",
                   [this] { return static_cast<double>(m_refused_in_row); });
  metrics.SetGauge("adapter_jobs",
                   [this] { return static_cast<double>(m_jobs.size()); });
  metrics.SetGauge("entries_known", [this] {
    return static_cast<double>(m_subscribers.all().size());
  });
  RegisterLogGauges(metrics);
}

std::string ServingAgent::NotReadyReason() const {
  return m_report.has_value() ? "" : "the engine has not reported";
}

std::string ServingAgent::StatusJson() const {
  return nlohmann::json{{"instance", m_settings.id.value()},
                        {"upstream", m_upstream.value()},
                        {"orders_accepted", m_orders.count()},
                        {"fencing_token", m_fencing_token},
                        {"entries", m_subscribers.all().size()},
                        {"not_ready", NotReadyReason()}}
      .dump();
}

void ServingAgent::AcquireFence() {
  if (m_fence_pending) {
    return;
  }
  // The store's version only grows, so each start gets a higher token.
  m_fence_pending = true;
  m_ledger.Refresh([this](bool answered) {
    m_fence_pending = false;
    if (answered) {
      m_fencing_token = *m_ledger.store_version() + 1;
      LogEvent(LogLevel::kInfo, "fence_acquired")
          .With("token", m_fencing_token);
      return;
    }
    m_retry = m_deps.loop.After(kPollPeriod * 2, [this] { AcquireFence(); });
  });
}

void ServingAgent::Receive(const Endpoint& from, std::string_view bytes) {
  const auto message = DecodeStatus(bytes);
  if (!message.has_value()) {
    LogEvent(LogLevel::kWarning, "datagram_unreadable")
        .With("from", from.ToString());
    return;
  }
  if (const auto* target = std::get_if<EngineTarget>(&message->body)) {
    HandleTarget(from, message->sender, *target);
  } else if (const auto* request =
                 std::get_if<AdapterRequest>(&message->body)) {
    HandleAdapterRequest(from, *request);
  } else if (const auto* permit = std::get_if<PermitRequest>(&message->body)) {
    HandlePermitRequest(from, *permit);
  }
}

void ServingAgent::HandleTarget(const Endpoint& from, const InstanceId& sender,
                                const EngineTarget& target) {
  const bool is_new = m_subscribers.Hear(sender, from);
  if (m_upstream != target.upstream) {
    // Reports under another id are of no use to anybody.
    m_upstream = target.upstream;
    m_subscribers.ForgetLists();
  }
  // An entry cannot use an engine that it has no report of.
  if (is_new && m_report.has_value()) {
    NumberLists();
    SendReport(m_subscribers.all()[sender]);
  }
  if (target.models.has_value()) {
    m_target_at = m_deps.loop.clock().Now();
    if (m_target != target.models) {
      m_target = target.models;
      LookForUnknownModels();
      Reconcile();
    }
  }
}

void ServingAgent::LookForUnknownModels() {
  const EngineProfile* profile = Profile();
  const bool all_known =
      profile != nullptr &&
      std::ranges::all_of(*m_target, [&](const ModelName& model) {
        return profile->Find(model) != nullptr;
      });
  if (!all_known) {
    m_operator_rows.EndPause();
  }
}

void ServingAgent::HandleAdapterRequest(const Endpoint& from,
                                        const AdapterRequest& request) {
  const bool known = std::ranges::any_of(m_jobs, [&](const AdapterJob& job) {
    return job.from == from && job.request.number == request.number;
  });
  if (!known) {
    m_jobs.push_back({request, from, m_deps.loop.clock().Now()});
  }
  TouchAdapter(AdapterKey(request.model, request.adapter));
  Reconcile();
}

void ServingAgent::HandlePermitRequest(const Endpoint& from,
                                       const PermitRequest& request) {
  // Without a configuration it is not known what the engine bears.
  const bool granted = request.upstream == m_upstream && Service() != nullptr &&
                       m_cold_permits.TryTake();
  const PermitReply reply{request.number, granted,
                          m_cold_permits.TimeUntilNext()};
  m_deps.metrics.Increment(std::string("cold_permits_total{granted=\"") +
                           (granted ? "yes" : "no") + "\"}");
  m_socket.Send(from, EncodeStatus({m_settings.id, m_incarnation, reply}));
}

void ServingAgent::TouchAdapter(const std::string& key) {
  std::erase(m_adapter_use, key);
  m_adapter_use.push_back(key);
}

void ServingAgent::HandleOperatorRow(const TableRow& row) {
  const OperatorRow kind = m_deps.documents.ClassifyOperatorRow(row.key);
  if (!std::holds_alternative<ConfigurationRow>(kind) || row.deleted) {
    return;
  }
  auto decoded = m_deps.documents.DecodeConfiguration(row.value);
  if (const auto* failure = std::get_if<DecodeFailure>(&decoded)) {
    LogEvent(LogLevel::kError, "configuration_unreadable")
        .With("error", failure->description);
    return;
  }
  m_configuration = std::move(std::get<FleetConfiguration>(decoded));
  if (const ServingService* service = Service()) {
    m_cold_permits.SetRate(service->cold_per_second);
  }
}

const ServingService* ServingAgent::Service() const {
  if (!m_configuration.has_value()) {
    return nullptr;
  }
  const auto& services = m_configuration->services;
  const auto service =
      std::ranges::find(services, m_settings.service, &ServingService::name);
  return service == services.end() ? nullptr : &*service;
}

const EngineProfile* ServingAgent::Profile() const {
  const ServingService* service = Service();
  return service == nullptr || !service->engine.has_value() ? nullptr
                                                            : &*service->engine;
}

void ServingAgent::Poll() {
  if (m_report_pending) {
    return;
  }
  m_report_pending = true;
  m_deps.engine.FetchReport([this](std::optional<EngineReport> report) {
    m_report_pending = false;
    if (report.has_value()) {
      m_reports_missed = 0;
      HandleReport(*report);
      return;
    }
    if (++m_reports_missed == kMissedReports) {
      LogEvent(LogLevel::kWarning, "engine_lost")
          .With("upstream", m_upstream.value());
    }
  });
}

void ServingAgent::HandleReport(const EngineReport& report) {
  const bool restarted =
      m_report.has_value() && report.born_ms != m_report->born_ms;
  if (restarted) {
    LogEvent(LogLevel::kInfo, "engine_restarted")
        .With("upstream", m_upstream.value());
    m_orders.Reset();
    m_order.reset();
  }
  m_orders.NoteReport(report.orders_accepted);
  if (m_orders.ReportsLag() && m_report.has_value()) {
    // Keeps what the orders since then have changed.
    EngineReport merged = report;
    merged.models = m_report->models;
    merged.incoming = m_report->incoming;
    merged.busy = true;
    m_report = std::move(merged);
  } else {
    m_report = report;
  }
  m_reported_at = m_deps.loop.clock().Now();
  Broadcast();
  Reconcile();
}

void ServingAgent::Broadcast() {
  m_subscribers.Expire();
  NumberLists();
  for (auto& [id, subscriber] : m_subscribers.all()) {
    SendReport(subscriber);
  }
}

void ServingAgent::SendReport(ReportSubscribers::Subscriber& subscriber) {
  const bool brief = !m_subscribers.TakeNeedOfLists(subscriber, m_lists);
  m_socket.Send(
      subscriber.address,
      EncodeStatus({m_settings.id, m_incarnation,
                    EngineStatus{m_upstream, *m_report, m_lists, brief}}));
}

void ServingAgent::NumberLists() {
  EngineStatus lists;
  lists.report.born_ms = m_report->born_ms;
  lists.report.models = m_report->models;
  lists.report.on_disk = m_report->on_disk;
  lists.report.in_host_memory = m_report->in_host_memory;
  std::string text = EncodeStatus({m_settings.id, m_incarnation, lists});
  if (text != m_lists_text) {
    m_lists_text = std::move(text);
    ++m_lists;
  }
}

void ServingAgent::Reply(const AdapterJob& job, bool loaded) {
  m_socket.Send(job.from,
                EncodeStatus({m_settings.id, m_incarnation,
                              AdapterReply{job.request.number, loaded}}));
}

void ServingAgent::Reconcile() {
  if (m_order_in_flight || m_fencing_token == 0 || !m_report.has_value() ||
      m_upstream.empty() || Profile() == nullptr) {
    return;
  }
  if (m_order.has_value()) {
    // Its fate is unknown: the same order again, which is refused if the first
    // one was accepted.
    m_order_in_flight = true;
    m_deps.engine.SendOrder(*m_order,
                            [this, order = *m_order](OrderResult result) {
                              HandleOrderResult(order, result);
                            });
    return;
  }
  if (!ReconcileAdapters()) {
    ReconcileModels();
  }
}

bool ServingAgent::ReconcileAdapters() {
  const TimePoint now = m_deps.loop.clock().Now();
  std::erase_if(m_jobs, [&](const AdapterJob& job) {
    return now - job.received_at > kJobLifetime;
  });
  while (!m_jobs.empty()) {
    const AdapterJob job = m_jobs.front();
    const AdapterRequest& request = job.request;
    const auto resident = std::ranges::find(m_report->models, request.model,
                                            &ResidentModel::name);
    // While a model is loaded or unloaded, the engine takes no orders.
    if (resident == m_report->models.end() || m_report->busy ||
        request.upstream != m_upstream) {
      Reply(job, false);
      m_jobs.pop_front();
      continue;
    }
    if (std::ranges::find(resident->adapters, request.adapter) !=
        resident->adapters.end()) {
      Reply(job, true);
      m_jobs.pop_front();
      continue;
    }
    const auto order = NextAdapterOrder(*Profile(), *m_report, request.model,
                                        request.adapter, m_adapter_use);
    if (!order.has_value()) {
      return false;
    }
    StartOrder(*order);
    return true;
  }
  return false;
}

void ServingAgent::ReconcileModels() {
  const TimePoint now = m_deps.loop.clock().Now();
  if (!m_target.has_value() || now - m_target_at > kTargetLifetime ||
      m_orders.ReportsLag() || m_ledger.pending()) {
    return;
  }
  const auto order = NextModelOrder(*Profile(), *m_report, *m_target);
  if (!order.has_value()) {
    return;
  }
  if (!order->from_store) {
    StartOrder(*order);
    return;
  }
  const LoadPace pace{Profile()->loads_per_second, m_settings.load_window};
  m_ledger.Acquire(
      order->model, m_upstream, pace, [this, order = *order](bool granted) {
        if (granted && !m_order_in_flight && !m_order.has_value()) {
          StartOrder(order);
        }
      });
}

void ServingAgent::StartOrder(const PlannedOrder& planned) {
  EngineOrder order;
  order.kind = planned.kind;
  order.model = planned.model;
  order.adapter = planned.adapter;
  order.expected_orders = m_orders.count();
  order.engine = m_upstream;
  order.holder = m_settings.id;
  order.fencing_token = m_fencing_token;
  LogEvent(LogLevel::kInfo, "order")
      .With("operation", OperationName(order.kind))
      .With("model", AdapterKey(order.model, order.adapter))
      .With("from_store", planned.from_store ? "yes" : "no")
      .With("expected", m_orders.count());
  m_order = order;
  m_order_in_flight = true;
  m_deps.engine.SendOrder(order, [this, order](OrderResult result) {
    HandleOrderResult(order, result);
  });
}

void ServingAgent::HandleOrderResult(const EngineOrder& order,
                                     OrderResult result) {
  m_order_in_flight = false;
  m_deps.metrics.Increment(std::string("orders_total{operation=\"") +
                           OperationName(order.kind) + "\",result=\"" +
                           ResultName(result) + "\"}");
  switch (result) {
    case OrderResult::kAccepted:
      m_orders.NoteAccepted(order.expected_orders.value_or(0));
      NoteAccepted(order);
      m_order.reset();
      break;
    case OrderResult::kHoldsAlready:
      // An unload holds because an earlier try of it was accepted.
      if (order.kind == OrderKind::kUnload) {
        m_orders.NoteAccepted(order.expected_orders.value_or(0));
      }
      NoteAccepted(order);
      m_order.reset();
      break;
    case OrderResult::kConflict:
    case OrderResult::kFenced:
    case OrderResult::kRejected:
      LogEvent(LogLevel::kInfo, "order_refused")
          .With("model", AdapterKey(order.model, order.adapter))
          .With("expected", order.expected_orders.value_or(0))
          .With("result", ResultName(result));
      if (++m_refused_in_row == kStuckOrders) {
        LogEvent(LogLevel::kWarning, "orders_stuck")
            .With("upstream", m_upstream.value())
            .With("refused_in_row", m_refused_in_row);
      }
      // The next report tells what holds.
      m_order.reset();
      m_orders.NoteRefused();
      m_retry = m_deps.loop.After(kOrderRetry, [this] { Poll(); });
      return;
    case OrderResult::kNotSent:
      m_order.reset();
      return;
    case OrderResult::kUnknown:
      m_retry = m_deps.loop.After(kOrderRetry, [this] { Reconcile(); });
      return;
  }
  // The order's effect shows after a moment.
  m_retry =
      m_deps.loop.After(order.adapter.empty() ? kOrderRetry : kAdapterLoadTime,
                        [this] { Reconcile(); });
}

void ServingAgent::NoteAccepted(const EngineOrder& order) {
  m_refused_in_row = 0;
  m_orders.NoteEffect();
  auto& models = m_report->models;
  if (order.adapter.empty()) {
    m_report->busy = true;
    if (order.kind == OrderKind::kUnload) {
      std::erase_if(models, [&](const ResidentModel& model) {
        return model.name == order.model;
      });
    }
    return;
  }
  const auto resident =
      std::ranges::find(models, order.model, &ResidentModel::name);
  if (resident == models.end()) {
    return;
  }
  std::erase(resident->adapters, order.adapter);
  if (order.kind == OrderKind::kLoad) {
    resident->adapters.push_back(order.adapter);
  }
}

}  // namespace bambooquay
