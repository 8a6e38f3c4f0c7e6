// Child processes of a test, started with posix_spawn.
#include "child_processes.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string_view>

extern char** environ;

namespace bambooquay::testing {

ChildProcesses::~ChildProcesses() {
  for (auto& [name, process] : m_processes) {
    if (process.is_running) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
}

void ChildProcesses::Spawn(const std::string& name,
                           const std::vector<std::string>& command,
                           const std::string& output_path) {
  const int output = open(output_path.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (output < 0) {
    throw std::runtime_error("cannot write " + output_path);
  }
  SpawnWithOutput(name, command, output);
  close(output);
}

void ChildProcesses::SpawnWithOutput(const std::string& name,
                                     const std::vector<std::string>& command,
                                     int output) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
  Process& process = m_processes[name];
  const int result = posix_spawn(&process.pid, arguments[0], &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
  process.is_running = true;
}

void ChildProcesses::Signal(const std::string& name, int signal) {
  Process& process = m_processes.at(name);
  kill(process.pid, signal);
  if (signal == SIGKILL) {
    waitpid(process.pid, nullptr, 0);
    process.is_running = false;
  }
}

std::optional<int> ChildProcesses::PollExit(const std::string& name) {
  Process& process = m_processes.at(name);
  int status = 0;
  if (waitpid(process.pid, &status, WNOHANG) != process.pid) {
    return std::nullopt;
  }
  process.is_running = false;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
}

double ChildProcesses::GetCpuSeconds(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(m_processes.at(name).pid) +
                     "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  // Fields of /proc/PID/stat between the program's name and utime.
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0.0;
  double system = 0.0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ChildProcesses::GetResidentMemoryMb(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(m_processes.at(name).pid) +
                     "/statm");
  double pages = 0.0;
  double resident = 0.0;
  file >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double ChildProcesses::GetPeakMemoryMb(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(m_processes.at(name).pid) +
                     "/status");
  constexpr std::string_view kPeak = "VmHWM:";
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kPeak)) {
      return std::stod(line.substr(kPeak.size())) * 1024 / 1e6;
    }
  }
  return 0.0;
}

std::size_t ChildProcesses::CountDescriptors(const std::string& name) const {
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(m_processes.at(name).pid) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace bambooquay::testing
