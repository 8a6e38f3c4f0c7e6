// A small deployment of real processes on loopback addresses, with a simulated
// platform and simulated upstreams, for tests that kill or freeze processes and
// inject faults. Signals go only to processes that the deployment started.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"
#include "child_processes.h"
#include "received_response.h"

namespace bambooquay::testing {

/// Starts the processes of a deployment, sends them requests and faults, and
/// kills them all on destruction.
class Deployment {
 public:
  /// Size and settings of the deployment. Upstreams and agents share one
  /// index: the engines come first, then the plain services.
  struct Options {
    int entries = 3;
    int engines = 3;
    int plain_services = 1;
    /// Extra command-line options for every simulated engine.
    std::vector<std::string> engine_options = {};
    // Values written to the configuration file: the allowance of each
    // organisation (`rate` in tokens per second, `burst` in tokens) and the
    // limits of each upstream.
    std::string rate = "100000";
    std::string burst = "200000";
    std::string warm_concurrency = "8";
    std::string cold_concurrency = "2";
    std::string expected_pace_ms = "10";
  };

  /// Starts everything and waits until all processes are ready.
  /// @throws std::runtime_error if they are not ready in time; the log files
  ///   are kept in that case.
  explicit Deployment(const Options& options);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  /// Deletes the log files unless BAMBOOQUAY_KEEP_LOGS is set.
  ~Deployment();

  EventLoop& loop() noexcept { return m_loop; }
  /// @returns an API key of the organisation `clerks`.
  [[nodiscard]] const std::string& key() const noexcept { return m_key; }

  // Start one process, which the functions below know by the name "entry-0",
  // "agent-0" or "engine-0" (the plain services are named "engine-" as well).
  void StartEntry(int index);
  void StartAgent(int index);
  void StartUpstream(int index, const std::vector<std::string>& options);
  void Signal(const std::string& name, int signal) {
    m_processes.Signal(name, signal);
  }
  /// Waits for a process to end.
  /// @returns its exit code, -2 if a signal ended it, -1 if `limit` passed
  ///   before.
  int WaitForExit(const std::string& name, Duration limit);
  /// Sets the state of an agent's instance to `leaving` in the platform's
  /// instance list, after which entries send it no new requests.
  void MarkInstanceLeaving(int agent);

  /// Runs the `bambooquay` program and waits for it to end.
  /// @param output  receives its standard output and error.
  /// @returns its exit code.
  int RunCommand(const std::vector<std::string>& arguments,
                 std::string& output);
  int RunCommand(const std::vector<std::string>& arguments);
  /// Runs `bambooquay config apply` on a configuration file with this text.
  /// @returns the exit code.
  int ApplyConfiguration(const std::string& text,
                         const std::vector<std::string>& options = {});
  /// @returns the text of the configuration that is applied at the start.
  [[nodiscard]] std::string DefaultConfiguration() const;

  // Send one request to an entry and wait until the call has ended. Without an
  // Authorization header, key() is used.
  ReceivedResponse SendRequest(int entry, const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               HttpHeaders headers = {});
  ReceivedResponse SendCompletion(int entry, const std::string& prompt,
                                  int max_tokens, bool is_streaming);
  // Start a request without waiting for the response.
  std::shared_ptr<PendingResponse> StartRequest(int entry,
                                                const std::string& method,
                                                const std::string& target,
                                                const std::string& body,
                                                HttpHeaders headers = {});
  std::shared_ptr<PendingResponse> StartCompletion(int entry,
                                                   const std::string& prompt,
                                                   int max_tokens,
                                                   bool is_streaming);

  // Send POST /faults to the simulated platform or to a simulated upstream.
  void SetPlatformFaults(const nlohmann::json& faults);
  void SetUpstreamFaults(int index, const nlohmann::json& faults);
  /// @returns the JSON of GET /state of a simulated upstream, or `false` if
  ///   there is no response.
  nlohmann::json GetUpstreamState(int index);
  /// @returns the JSON of GET /status of the process `name`, or `false` if
  ///   there is no response.
  nlohmann::json GetStatus(const std::string& name);
  /// @returns the spans that the platform's collector has received.
  nlohmann::json GetSpans();
  /// @returns how often the plain services executed a request with `body`.
  int CountExecutions(const std::string& body);

  /// Runs the event loop until `predicate` is true.
  /// @returns false if `limit` passed before.
  bool WaitUntil(const std::function<bool()>& predicate,
                 Duration limit = std::chrono::seconds(30));
  /// Runs the event loop for `duration`.
  void RunFor(Duration duration);

  [[nodiscard]] Endpoint EntryAddress(int index) const;
  [[nodiscard]] Endpoint AgentAddress(int index) const;
  [[nodiscard]] Endpoint UpstreamAddress(int index) const;

  // For benchmarks.
  [[nodiscard]] const ChildProcesses& processes() const noexcept {
    return m_processes;
  }
  /// @returns a counter of the simulated platform (`reads`, `writes`,
  ///   `loads`), or 0 if it is missing.
  [[nodiscard]] double GetPlatformCounter(const std::string& name);

 private:
  void StartPlatform();
  bool IsReady();
  void Spawn(const std::string& name, const std::vector<std::string>& command);
  /// Puts an instance into the platform's instance list.
  void Register(const std::string& id, const std::string& role, int peer_port,
                int admin_port, const std::string& data_centre,
                const std::string& upstream, const std::string& state = "live");
  /// Writes the settings file of a process.
  /// @param listen  further lines of the section [listen].
  /// @param rest  further sections.
  /// @returns the path of the file.
  std::string WriteSettings(const std::string& id,
                            const std::string& data_centre, int peer_port,
                            int admin_port, const std::string& listen,
                            const std::string& rest);
  HttpResult Fetch(const Endpoint& endpoint, const HttpRequest& request);
  nlohmann::json GetJson(const Endpoint& endpoint, const std::string& target);
  void PostJson(const Endpoint& endpoint, const std::string& target,
                const nlohmann::json& body);
  [[nodiscard]] int Port(int offset) const { return m_base_port + offset; }
  [[nodiscard]] std::string UpstreamName(int index) const;

  Options m_options;
  EventLoop m_loop;
  std::string m_directory;
  int m_base_port;
  std::string m_key;
  ChildProcesses m_processes;
};

}  // namespace bambooquay::testing
