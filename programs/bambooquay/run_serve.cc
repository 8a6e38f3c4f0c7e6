// `bambooquay serve`: the entry process on a hosted platform.
#include "run_serve.h"

#include <csignal>
#include <memory>
#include <utility>

#include "bambooquay/operators/admin_server.h"
#include "bambooquay/operators/process_start.h"
#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/serving_entry.h"
#include "platform/call_headers.h"
#include "platform/documents.h"
#include "platform/store_calls.h"

namespace bambooquay {
namespace {

constexpr const char* kProgram = "bambooquay serve";

class ServeProcess {
 public:
  ServeProcess(const ServingSettings& settings,
               std::vector<std::string> arguments)
      : m_settings(settings),
        m_arguments(std::move(arguments)),
        m_table(m_loop, settings.store),
        m_entry(settings,
                {m_loop, m_calls, m_documents, m_table, m_metrics, m_random}),
        m_admin(
            m_loop, m_metrics, [this] { return m_entry.NotReadyReason(); },
            [this] { return m_entry.StatusJson(); }) {}

  ExitCode Run() {
    if (!m_entry.Start() || !m_admin.Listen(m_settings.admin)) {
      LogEvent(LogLevel::kError, "cannot_listen");
      return ExitCode::kUnavailable;
    }
    for (const int signal : {SIGTERM, SIGINT}) {
      m_loop.OnSignal(signal,
                      [this] { m_entry.Drain([this] { m_loop.Stop(); }); });
    }
    m_loop.OnSignal(SIGHUP, [this] { Reload(); });
    LogEvent(LogLevel::kInfo, "entry_started")
        .With("callers", m_settings.callers.ToString());
    m_loop.Run();
    LogEvent(LogLevel::kInfo, "entry_stopped");
    return ExitCode::kOk;
  }

 private:
  // Faults leave the settings in force.
  void Reload() {
    const auto settings = ReloadSettingsWith(
        kProgram, m_arguments, ServingRole::kEntry, &ParseServingSettings);
    if (settings.has_value()) {
      m_entry.Reload(*settings);
    }
  }

  ServingSettings m_settings;
  std::vector<std::string> m_arguments;
  EventLoop m_loop;
  Metrics m_metrics;
  SystemRandom m_random;
  hosting::CallHeaders m_calls;
  hosting::Documents m_documents;
  hosting::StoreCalls m_table;
  ServingEntry m_entry;
  AdminServer m_admin;
};

}  // namespace

ExitCode RunServe(const std::vector<std::string>& arguments) {
  auto started = StartProcessWith(kProgram, arguments, ServingRole::kEntry,
                                  &ParseServingSettings);
  if (const auto* code = std::get_if<ExitCode>(&started)) {
    return *code;
  }
  return std::make_unique<ServeProcess>(std::get<ServingSettings>(started),
                                        arguments)
      ->Run();
}

}  // namespace bambooquay
