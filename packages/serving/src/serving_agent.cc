// The agent on a hosted platform: receives its engine's reports and forwards
// them to the entries.
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

// Period at which the engine's report is fetched. Fetching is cheap, as the
// engine runs on the same machine. A shorter period would gain little, because
// the report lags behind by a few hundred milliseconds.
constexpr Duration kPollPeriod = milliseconds(200);
// The same where entries choose by the engine's work, which changes with each
// prompt.
constexpr Duration kWorkPollPeriod = milliseconds(100);
// Pause between two reads of the configuration. Model sizes and limits change
// rarely, and a target with an unknown model ends the pause early.
constexpr Duration kConfigurationPollPause = std::chrono::seconds(24);
// Longest wait of a watch of the configuration.
constexpr Duration kConfigurationWatchTime = std::chrono::seconds(10);
// Number of consecutive failures to fetch a report after which the engine
// counts as lost.
constexpr int kLostAfterMissedReports = 3;

}  // namespace

ServingAgent::ServingAgent(const ServingSettings& settings,
                           const ServingAgentDeps& deps)
    : m_settings(settings),
      m_deps(deps),
      m_incarnation(MakeRandomNumber()),
      m_socket(deps.loop,
               [this](const Endpoint& sender_address, std::string_view bytes) {
                 HandleDatagram(sender_address, bytes);
               }),
      m_operator_rows(
          deps.loop, deps.table, deps.random,
          {deps.document_codec.OperatorTableName(), kConfigurationWatchTime,
           kConfigurationPollPause, kConfigurationPollPause},
          [this](const TableRow& row) { HandleOperatorRow(row); }),
      m_load_limiter(deps.loop, deps.table),
      m_permits(deps.loop.clock()),
      m_work(deps.loop.clock()),
      m_rooms(deps.loop, deps.metrics, m_work,
              [this](const Endpoint& entry, const RoomReply& reply) {
                m_socket.Send(
                    entry, EncodeStatus({m_settings.id, m_incarnation, reply}));
              }),
      m_subscribers(deps.loop.clock(), deps.loop.input_clock()),
      m_order_count(deps.loop.clock()) {}

bool ServingAgent::Start() {
  if (!m_socket.Bind(m_settings.peers)) {
    return false;
  }
  RegisterGauges();
  m_operator_rows.Start();
  AcquireFencingToken();
  m_poll_timer = m_deps.loop.Every(
      m_settings.predicted_work ? kWorkPollPeriod : kPollPeriod,
      [this] { Poll(); });
  Poll();
  return true;
}

void ServingAgent::RegisterGauges() {
  Metrics& metrics = m_deps.metrics;
  metrics.RegisterGauge("report_age_seconds", [this] {
    return m_report.has_value()
               ? ToSeconds(m_deps.loop.clock().Now() - m_report_received_at)
               : -1.0;
  });
  metrics.RegisterGauge("engine_running", [this] {
    return m_report.has_value() ? static_cast<double>(m_report->running) : 0.0;
  });
  metrics.RegisterGauge("engine_waiting", [this] {
    return m_report.has_value() ? static_cast<double>(m_report->waiting) : 0.0;
  });
  metrics.RegisterGauge("engine_prompt_tokens_per_second", [this] {
    return m_work.Current().prompt_tokens_per_ms * 1000.0;
  });
  metrics.RegisterGauge("engine_unread_prompt_tokens", [this] {
    return m_work.Current().unread_prompt_tokens;
  });
  metrics.RegisterGauge("engine_slowness",
                        [this] { return m_work.Current().slowness; });
  metrics.RegisterGauge("orders_refused_in_row", [this] {
    return static_cast<double>(m_consecutive_refused_orders);
  });
  metrics.RegisterGauge("adapter_jobs", [this] {
    return static_cast<double>(m_adapter_jobs.size());
  });
  metrics.RegisterGauge("entries_known", [this] {
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
                        {"orders_accepted", m_order_count.count()},
                        {"fencing_token", m_fencing_token},
                        {"entries", m_subscribers.all().size()},
                        {"not_ready", NotReadyReason()}}
      .dump();
}

void ServingAgent::HandleDatagram(const Endpoint& sender_address,
                                  std::string_view bytes) {
  const auto message = DecodeStatus(bytes);
  if (!message.has_value()) {
    LogEvent(LogLevel::kWarning, "datagram_unreadable")
        .With("from", sender_address.ToString());
    return;
  }
  if (const auto* target = std::get_if<EngineTarget>(&message->body)) {
    HandleTarget(sender_address, message->sender, *target);
  } else if (const auto* request =
                 std::get_if<AdapterRequest>(&message->body)) {
    HandleAdapterRequest(sender_address, *request);
  } else if (const auto* permit = std::get_if<PermitRequest>(&message->body)) {
    HandlePermitRequest(sender_address, *permit);
  } else if (!m_settings.predicted_work) {
    return;
  } else if (const auto* room = std::get_if<RoomRequest>(&message->body)) {
    if (room->upstream == m_upstream) {
      m_rooms.HandleRequest(sender_address, *room);
    }
  } else if (const auto* release = std::get_if<RoomRelease>(&message->body)) {
    m_rooms.HandleRelease(*release);
  }
}

void ServingAgent::HandleTarget(const Endpoint& sender_address,
                                const InstanceId& sender,
                                const EngineTarget& target) {
  const bool needs_lists =
      m_subscribers.Subscribe(sender, sender_address, target.report_period);
  if (m_upstream != target.upstream) {
    // Entries cannot use lists that were sent to them under another id.
    m_upstream = target.upstream;
    m_subscribers.InvalidateLists();
  }
  // An entry needs a report with lists before it can send calls to the engine.
  if (needs_lists && m_report.has_value()) {
    UpdateListsVersion();
    EncodedReports encoded;
    SendReport(m_subscribers.all()[sender], encoded);
  }
  if (target.models.has_value()) {
    m_target_received_at = m_deps.loop.clock().Now();
    if (m_target != target.models) {
      m_target = target.models;
      RefreshConfigurationIfModelUnknown();
      Reconcile();
    }
  }
}

void ServingAgent::HandlePermitRequest(const Endpoint& sender_address,
                                       const PermitRequest& request) {
  // Without a configuration the cold rate of the engine is unknown.
  const bool granted = request.upstream == m_upstream &&
                       FindService() != nullptr &&
                       m_permits.TryIssue(request.bounds);
  const PermitReply reply{request.request_id, granted,
                          m_permits.TimeUntilNext(request.bounds)};
  m_deps.metrics.Increment(std::string(request.bounds.is_cold
                                           ? "cold_permits_total"
                                           : "limit_permits_total") +
                           "{granted=\"" + (granted ? "yes" : "no") + "\"}");
  m_socket.Send(sender_address,
                EncodeStatus({m_settings.id, m_incarnation, reply}));
}

RoomBounds ServingAgent::FindRoomBounds() const {
  RoomBounds bounds;
  if (!m_configuration.has_value()) {
    return bounds;
  }
  for (const ServingRoute& route : m_configuration->routes) {
    const bool is_served_here =
        std::ranges::find(route.services, m_settings.service,
                          &ServiceShare::service) != route.services.end();
    if (is_served_here && route.max_pause > Duration::zero()) {
      bounds.max_pause = bounds.max_pause == Duration::zero()
                             ? route.max_pause
                             : std::min(bounds.max_pause, route.max_pause);
    }
  }
  if (const EngineProfile* profile = FindProfile()) {
    bounds.places = static_cast<std::size_t>(std::max(0, profile->slots));
  }
  return bounds;
}

void ServingAgent::HandleOperatorRow(const TableRow& row) {
  const OperatorRow kind = m_deps.document_codec.ClassifyOperatorRow(row.key);
  if (!std::holds_alternative<ConfigurationRow>(kind) || row.deleted) {
    return;
  }
  auto decoded = m_deps.document_codec.DecodeConfiguration(row.value);
  if (const auto* failure = std::get_if<DecodeFailure>(&decoded)) {
    LogEvent(LogLevel::kError, "configuration_unreadable")
        .With("error", failure->description);
    return;
  }
  m_configuration = std::move(std::get<FleetConfiguration>(decoded));
  if (const ServingService* service = FindService()) {
    m_permits.SetColdRate({service->cold_requests_per_second});
  }
}

const ServingService* ServingAgent::FindService() const {
  if (!m_configuration.has_value()) {
    return nullptr;
  }
  const auto& services = m_configuration->services;
  const auto service =
      std::ranges::find(services, m_settings.service, &ServingService::name);
  return service == services.end() ? nullptr : &*service;
}

const EngineProfile* ServingAgent::FindProfile() const {
  const ServingService* service = FindService();
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
      m_consecutive_missed_reports = 0;
      HandleReport(*report);
      return;
    }
    m_rooms.RecordMissedReport();
    if (++m_consecutive_missed_reports == kLostAfterMissedReports) {
      LogEvent(LogLevel::kWarning, "engine_lost")
          .With("upstream", m_upstream.value());
    }
  });
}

void ServingAgent::HandleReport(const EngineReport& report) {
  const bool restarted =
      m_report.has_value() && report.started_at_ms != m_report->started_at_ms;
  if (restarted) {
    LogEvent(LogLevel::kInfo, "engine_restarted")
        .With("upstream", m_upstream.value());
    m_order_count.Reset();
    m_unconfirmed_order.reset();
  }
  m_order_count.RecordReport(report.orders_accepted);
  if (m_order_count.ReportsMayLag() && m_report.has_value()) {
    // The report may predate the last order, so the models and adapters are
    // kept as that order has changed them.
    EngineReport merged = report;
    merged.models = m_report->models;
    merged.incoming_adapters = m_report->incoming_adapters;
    merged.busy = true;
    m_report = std::move(merged);
  } else {
    m_report = report;
  }
  m_report_received_at = m_deps.loop.clock().Now();
  if (m_settings.predicted_work) {
    m_work.RecordReport(report);
    m_rooms.RecordReport(report, FindRoomBounds(), restarted);
  }
  Broadcast();
  Reconcile();
}

void ServingAgent::Broadcast() {
  m_subscribers.RemoveExpired();
  UpdateListsVersion();
  EncodedReports encoded;
  for (auto& [id, subscriber] : m_subscribers.all()) {
    SendReport(subscriber, encoded);
  }
}

void ServingAgent::SendReport(ReportSubscribers::Subscriber& subscriber,
                              EncodedReports& encoded) {
  if (!m_subscribers.MarkReportSentIfDue(subscriber, m_lists_version)) {
    return;
  }
  const bool omit_lists =
      !m_subscribers.MarkListsSentIfDue(subscriber, m_lists_version);
  std::string& bytes = omit_lists ? encoded.without_lists : encoded.with_lists;
  if (bytes.empty()) {
    EngineStatus status{m_upstream, *m_report,    m_lists_version,
                        omit_lists, std::nullopt, {}};
    if (m_settings.predicted_work) {
      status.work = m_rooms.TotalWork();
      status.read_prefixes = m_rooms.TakeReadPrefixes();
    }
    bytes = EncodeStatus({m_settings.id, m_incarnation, std::move(status)});
  }
  m_socket.Send(subscriber.address, bytes);
}

void ServingAgent::UpdateListsVersion() {
  EngineStatus lists;
  lists.report.started_at_ms = m_report->started_at_ms;
  lists.report.models = m_report->models;
  lists.report.on_disk = m_report->on_disk;
  lists.report.in_host_memory = m_report->in_host_memory;
  std::string text = EncodeStatus({m_settings.id, m_incarnation, lists});
  if (text != m_encoded_lists) {
    m_encoded_lists = std::move(text);
    ++m_lists_version;
  }
}

}  // namespace bambooquay
