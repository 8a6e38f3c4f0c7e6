// The parts that the entry and agent processes on a hosted platform share.
#include "hosted_process.h"

#include <csignal>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {

HostedProcess::HostedProcess(ProcessIdentity identity,
                             const ServingSettings& settings,
                             std::vector<std::string> arguments)
    : m_settings(settings),
      m_table(m_loop, settings.store),
      m_identity(std::move(identity)),
      m_arguments(std::move(arguments)),
      m_admin(
          m_loop, m_metrics, [this] { return NotReadyReason(); },
          [this] { return StatusJson(); }) {}

ExitCode HostedProcess::Run() {
  // Before the process listens, as a signal without a handler ends it.
  for (const int signal : {SIGTERM, SIGINT}) {
    m_loop.OnSignal(signal, [this] { Stop(); });
  }
  m_loop.OnSignal(SIGHUP, [this] { ReloadSettings(); });
  if (!Start() || !m_admin.Listen(m_settings.admin)) {
    LogEvent(LogLevel::kError, "cannot_listen");
    return ExitCode::kUnavailable;
  }
  const auto [key, value] = StartLogField();
  LogEvent(LogLevel::kInfo, m_identity.name + "_started").With(key, value);
  m_loop.Run();
  LogEvent(LogLevel::kInfo, m_identity.name + "_stopped");
  return ExitCode::kOk;
}

void HostedProcess::ReloadSettings() {
  const auto settings = ReloadSettingsWith(
      m_identity.program, m_arguments, m_identity.role, &ParseServingSettings);
  if (settings.has_value()) {
    Reload(*settings);
  }
}

}  // namespace bambooquay
