// What the entry process and the agent process on a hosted platform have in
// common.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bambooquay/core/random.h"
#include "bambooquay/operators/admin_server.h"
#include "bambooquay/operators/process_start.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/serving/serving_settings.h"
#include "platform/documents.h"
#include "platform/store_calls.h"

namespace bambooquay {

/// Who a process is on the command line and in the log.
struct ProcessIdentity {
  std::string program;  ///< `bambooquay serve`; names faults of the settings.
  std::string name;     ///< `entry`; starts the names of its log events.
  ServingRole role = ServingRole::kEntry;
};

/// A process from its start to the end of its loop: signals, settings read
/// again, the admin address. Planned stops are the derived class's.
class HostedProcess {
 public:
  HostedProcess(ProcessIdentity identity, const ServingSettings& settings,
                std::vector<std::string> arguments);
  HostedProcess(const HostedProcess&) = delete;
  HostedProcess& operator=(const HostedProcess&) = delete;
  virtual ~HostedProcess() = default;

  /// Runs until the process is to end.
  /// @returns the code to exit with.
  [[nodiscard]] ExitCode Run();

 protected:
  /// @returns whether it listens where the settings say.
  [[nodiscard]] virtual bool Start() = 0;
  /// Ends the loop, at once or after what is under way.
  virtual void Stop() = 0;
  /// Applies settings that were read again.
  virtual void Reload(const ServingSettings& settings) = 0;
  [[nodiscard]] virtual std::string NotReadyReason() const = 0;
  [[nodiscard]] virtual std::string StatusJson() const = 0;
  /// @returns what is logged of the start besides the process: key and value.
  [[nodiscard]] virtual std::pair<std::string, std::string> StartFacts()
      const = 0;

  // In the order of construction: the derived class's parts use them.
  ServingSettings m_settings;
  EventLoop m_loop;
  Metrics m_metrics;
  SystemRandom m_random;
  hosting::Documents m_documents;
  hosting::StoreCalls m_table;

 private:
  /// Faults leave the settings in force.
  void ReadSettingsAgain();

  ProcessIdentity m_identity;
  std::vector<std::string> m_arguments;
  AdminServer m_admin;
};

/// Reads the settings and runs a process.
/// @tparam Process  made from an identity, settings and arguments.
/// @returns the code to exit with.
template <typename Process>
[[nodiscard]] ExitCode RunHostedProcess(
    const ProcessIdentity& identity,
    const std::vector<std::string>& arguments) {
  auto started = StartProcessWith(identity.program, arguments, identity.role,
                                  &ParseServingSettings);
  if (const auto* code = std::get_if<ExitCode>(&started)) {
    return *code;
  }
  return std::make_unique<Process>(identity, std::get<ServingSettings>(started),
                                   arguments)
      ->Run();
}

}  // namespace bambooquay
