// Processes that a test starts, and ends by the ids that it was given.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bambooquay::testing {

/// Child processes by name; the destructor kills what still runs.
class ChildProcesses {
 public:
  ChildProcesses() = default;
  ChildProcesses(const ChildProcesses&) = delete;
  ChildProcesses& operator=(const ChildProcesses&) = delete;
  ~ChildProcesses();

  /// Starts `command` with its output appended to the file `log`.
  void Spawn(const std::string& name, const std::vector<std::string>& command,
             const std::string& log);
  /// Starts `command` with its output going to the descriptor `output`.
  void SpawnWithOutput(const std::string& name,
                       const std::vector<std::string>& command, int output);
  /// Sends a signal; after SIGKILL the process is gone when this returns.
  void Signal(const std::string& name, int number);
  /// @returns the exit code once the process has ended, -2 after a signal.
  [[nodiscard]] std::optional<int> PollExit(const std::string& name);
  /// @returns user and system time used so far.
  [[nodiscard]] double CpuSecondsOf(const std::string& name) const;
  [[nodiscard]] double MemoryMbOf(const std::string& name) const;

 private:
  struct Process {
    pid_t pid = 0;
    bool running = false;
  };

  std::map<std::string, Process> m_processes;
};

}  // namespace bambooquay::testing
