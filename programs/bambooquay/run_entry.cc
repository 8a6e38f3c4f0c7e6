// `bambooquay entry`: the long-running entry process.
#include "run_entry.h"

#include <memory>
#include <utility>

#include "bambooquay/callers/entry.h"
#include "bambooquay/operators/admin_server.h"
#include "bambooquay/operators/process_start.h"
#include "bambooquay/runtime/log.h"
#include "fleet_process.h"

namespace bambooquay {
namespace {

// Time for the load balancer to notice that the entry no longer accepts
// connections.
constexpr Duration kReadinessDelay = std::chrono::seconds(1);
// Interval at which a draining entry checks whether all responses are written.
constexpr Duration kResponseCheckPeriod = std::chrono::milliseconds(20);
// Time to send the last responses to callers before the process exits.
constexpr Duration kResponseFlushTime = std::chrono::milliseconds(200);

/// Owns the entry and its servers, and runs the event loop.
class EntryProcess {
 public:
  explicit EntryProcess(const ProcessSettings& settings)
      : m_fleet(settings),
        m_entry(
            {settings.id, IncarnationId(MakeRandomId()), settings.data_centre},
            {m_fleet.loop, m_fleet.documents, m_fleet.sync, m_fleet.membership,
             m_fleet.pool, m_fleet.repository, *m_fleet.table, m_fleet.metrics,
             m_fleet.random, *m_fleet.tracer}),
        m_server(m_fleet.runtime, m_entry),
        m_admin(
            m_fleet.loop, m_fleet.metrics,
            [this] { return m_entry.NotReadyReason(); },
            [this] { return m_entry.StatusJson(); }),
        m_caller_server(m_fleet.loop, settings.caller_limits,
                        [this](std::shared_ptr<HttpExchange> exchange) {
                          m_entry.HandleRequest(std::move(exchange));
                        }) {}

  ExitCode Run() {
    const ProcessSettings& settings = m_fleet.settings;
    m_fleet.DrainOnSignal([this] { Drain(); });
    if (!m_server.Listen(settings.peers) || !m_admin.Listen(settings.admin) ||
        !m_caller_server.Listen(settings.callers)) {
      LogEvent(LogLevel::kError, "cannot_listen");
      return ExitCode::kUnavailable;
    }
    LogEvent(LogLevel::kInfo, "entry_started")
        .With("callers", settings.callers.ToString())
        .With("peers", settings.peers.ToString());
    m_fleet.loop.Run();
    LogEvent(LogLevel::kInfo, "entry_stopped");
    return ExitCode::kOk;
  }

 private:
  void Drain() {
    m_caller_server.CloseAfterResponses();
    m_caller_server.StopListening();
    m_drain_timer = m_fleet.loop.After(kReadinessDelay, [this] {
      m_entry.Drain([this] { StopOnceWritten(); });
    });
  }

  void StopOnceWritten() {
    m_caller_server.CloseIdleConnections(Duration::zero());
    if (m_caller_server.busy_connection_count() > 0) {
      m_drain_timer = m_fleet.loop.After(kResponseCheckPeriod,
                                         [this] { StopOnceWritten(); });
      return;
    }
    m_fleet.StopAfter(kResponseFlushTime);
  }

  FleetProcess m_fleet;
  Entry m_entry;
  NodeServer m_server;
  AdminServer m_admin;
  HttpServer m_caller_server;
  std::unique_ptr<Timer> m_drain_timer;
};

}  // namespace

ExitCode RunEntry(const std::vector<std::string>& arguments) {
  auto result =
      InitializeProcess("bambooquay entry", arguments, ProcessRole::kEntry);
  if (const auto* code = std::get_if<ExitCode>(&result)) {
    return *code;
  }
  return std::make_unique<EntryProcess>(std::get<ProcessSettings>(result))
      ->Run();
}

}  // namespace bambooquay
