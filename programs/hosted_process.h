// The parts that the entry and agent processes on a hosted platform share.
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
#include "platform/store_client.h"

namespace bambooquay {

/// The names of a process on the command line and in the log.
struct ProcessIdentity {
  std::string program;  ///< E.g. `bambooquay serve`; part of settings errors.
  std::string name;     ///< E.g. `entry`; prefix of its log events' names.
  ServingRole role = ServingRole::kEntry;
};

/// Base class of the hosted entry and agent processes: runs the event loop,
/// handles signals, reloads the settings on SIGHUP and serves the admin
/// address. The derived class implements starting, stopping and reloading.
class HostedProcess {
 public:
  HostedProcess(ProcessIdentity identity, const ServingSettings& settings,
                std::vector<std::string> arguments);
  HostedProcess(const HostedProcess&) = delete;
  HostedProcess& operator=(const HostedProcess&) = delete;
  virtual ~HostedProcess() = default;

  /// Runs the event loop until the process has stopped.
  /// @returns the exit code.
  [[nodiscard]] ExitCode Run();

 protected:
  /// Starts serving.
  /// @returns whether all addresses in the settings could be bound.
  [[nodiscard]] virtual bool Start() = 0;
  /// Stops the loop, immediately or after requests in progress are finished.
  virtual void Stop() = 0;
  /// Applies reloaded settings.
  virtual void Reload(const ServingSettings& settings) = 0;
  [[nodiscard]] virtual std::string NotReadyReason() const = 0;
  [[nodiscard]] virtual std::string StatusJson() const = 0;
  /// @returns the key and value to log with the event of the start.
  [[nodiscard]] virtual std::pair<std::string, std::string> StartLogField()
      const = 0;

  // Declared in the order of construction. The derived class's members use
  // them.
  ServingSettings m_settings;
  EventLoop m_loop;
  Metrics m_metrics;
  SystemRandom m_random;
  hosting::JsonDocumentCodec m_document_codec;
  hosting::HttpStoreClient m_table;

 private:
  /// Reads the settings file again and applies it unless it has errors.
  void ReloadSettings();

  ProcessIdentity m_identity;
  std::vector<std::string> m_arguments;
  AdminServer m_admin;
};

/// Reads the settings and runs a process.
/// @tparam Process  a HostedProcess that is constructed from an identity,
///   settings and arguments.
/// @returns the exit code.
template <typename Process>
[[nodiscard]] ExitCode RunHostedProcess(
    const ProcessIdentity& identity,
    const std::vector<std::string>& arguments) {
  auto result = InitializeProcessWith(identity.program, arguments,
                                      identity.role, &ParseServingSettings);
  if (const auto* code = std::get_if<ExitCode>(&result)) {
    return *code;
  }
  return std::make_unique<Process>(identity, std::get<ServingSettings>(result),
                                   arguments)
      ->Run();
}

}  // namespace bambooquay
