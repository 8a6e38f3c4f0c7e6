// bambooquay-agent: the agent (sidecar) process of one upstream.
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "bambooquay/operators/admin_server.h"
#include "bambooquay/operators/process_start.h"
#include "bambooquay/runtime/crash_report.h"
#include "bambooquay/runtime/log.h"
#include "bambooquay/upstreams/agent.h"
#include "bambooquay/upstreams/agent_registration.h"
#include "fleet_process.h"
#include "run_serve.h"

namespace bambooquay {
namespace {

// Time to send the last responses to the entries before the process exits.
constexpr Duration kResponseFlushTime = std::chrono::milliseconds(500);

/// Owns the agent and its servers, and runs the event loop.
class AgentProcess {
 public:
  explicit AgentProcess(const ProcessSettings& settings)
      : m_fleet(settings),
        m_agent({IncarnationId(MakeRandomId()), settings.upstream,
                 settings.upstream_address},
                {m_fleet.loop, m_fleet.documents, m_fleet.sync, m_fleet.metrics,
                 *m_fleet.tracer}),
        m_registration(m_fleet.loop, *m_fleet.table, m_fleet.repository,
                       m_fleet.documents),
        m_server(m_fleet.runtime, m_agent),
        m_admin(
            m_fleet.loop, m_fleet.metrics,
            [this] { return m_agent.NotReadyReason(); },
            [this] { return m_agent.StatusJson(); }) {}

  ExitCode Run() {
    const ProcessSettings& settings = m_fleet.settings;
    m_fleet.DrainOnSignal([this] {
      m_agent.Drain([this] { m_fleet.StopAfter(kResponseFlushTime); });
    });
    if (!m_server.Listen(settings.peers) || !m_admin.Listen(settings.admin)) {
      LogEvent(LogLevel::kError, "cannot_listen");
      return ExitCode::kUnavailable;
    }
    m_registration.Start(settings.upstream, settings.peers,
                         [this](std::uint64_t fencing_token) {
                           m_agent.SetRegistered(fencing_token);
                         });
    LogEvent(LogLevel::kInfo, "agent_started")
        .With("upstream", settings.upstream.value())
        .With("peers", settings.peers.ToString());
    m_fleet.loop.Run();
    LogEvent(LogLevel::kInfo, "agent_stopped");
    return ExitCode::kOk;
  }

 private:
  FleetProcess m_fleet;
  Agent m_agent;
  AgentRegistration m_registration;
  NodeServer m_server;
  AdminServer m_admin;
};

ExitCode RunAgent(const std::vector<std::string>& arguments) {
  auto result =
      InitializeProcess("bambooquay-agent", arguments, ProcessRole::kAgent);
  if (const auto* code = std::get_if<ExitCode>(&result)) {
    return *code;
  }
  return std::make_unique<AgentProcess>(std::get<ProcessSettings>(result))
      ->Run();
}

}  // namespace
}  // namespace bambooquay

int main(int argc, char** argv) {
  bambooquay::InstallCrashReport();
  try {
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == "serve") {
      arguments.erase(arguments.begin());
      return static_cast<int>(bambooquay::RunServe(arguments));
    }
    return static_cast<int>(bambooquay::RunAgent(arguments));
  } catch (const std::exception& error) {
    std::cerr << "bambooquay-agent: " << error.what() << '\n';
    return static_cast<int>(bambooquay::ExitCode::kSoftware);
  }
}
