// Starts child processes for tests, signals them and reads their resource use.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bambooquay::testing {

/// Child processes by name. The destructor kills those that still run. Signals
/// go only to process ids that this object started.
class ChildProcesses {
 public:
  ChildProcesses() = default;
  ChildProcesses(const ChildProcesses&) = delete;
  ChildProcesses& operator=(const ChildProcesses&) = delete;
  ~ChildProcesses();

  /// Starts `command` and appends its standard output and error to a file.
  /// @param log  path of the file; created if it does not exist.
  /// @throws std::runtime_error if the file cannot be opened or the program
  ///   cannot be started.
  void Spawn(const std::string& name, const std::vector<std::string>& command,
             const std::string& output_path);
  /// Starts `command` with its standard output and error redirected to the
  /// file descriptor `output`, which stays open in the caller.
  /// @throws std::runtime_error if the program cannot be started.
  void SpawnWithOutput(const std::string& name,
                       const std::vector<std::string>& command, int output);
  /// Sends a signal. For SIGKILL, waits until the process has ended.
  void Signal(const std::string& name, int signal);
  /// @returns std::nullopt while the process runs, then its exit code, or -2
  ///   if a signal ended it.
  [[nodiscard]] std::optional<int> PollExit(const std::string& name);
  /// @returns the user and system time that the process has used, in seconds.
  [[nodiscard]] double GetCpuSeconds(const std::string& name) const;
  /// @returns the resident memory of the process, in MB (10^6 bytes).
  [[nodiscard]] double GetResidentMemoryMb(const std::string& name) const;
  /// @returns the most resident memory that the process has had, in MB; 0 if it
  ///   has ended.
  [[nodiscard]] double GetPeakMemoryMb(const std::string& name) const;
  /// @returns the number of the process's open file descriptors.
  [[nodiscard]] std::size_t CountDescriptors(const std::string& name) const;

 private:
  struct Process {
    pid_t pid = 0;
    bool is_running = false;
  };

  std::map<std::string, Process> m_processes;
};

}  // namespace bambooquay::testing
