// Reports where a process crashed. Only async-signal-safe functions are used
// once a signal has arrived.
#include "bambooquay/runtime/crash_report.h"

#include <execinfo.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <string_view>

namespace bambooquay {
namespace {

constexpr int kMaxFrames = 48;
constexpr std::size_t kStackBytes = 64 * 1024;
constexpr std::array kFatalSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

void Report(int signal_number) {
  constexpr std::string_view kLine = "event=process_crashed signal=";
  const std::array<char, 3> number = {
      static_cast<char>('0' + signal_number / 10),
      static_cast<char>('0' + signal_number % 10), '\n'};
  // Nothing can be done if the line can't be written.
  static_cast<void>(!write(STDERR_FILENO, kLine.data(), kLine.size()));
  static_cast<void>(!write(STDERR_FILENO, number.data(), number.size()));
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
  // SA_RESETHAND has restored the default action.
  static_cast<void>(raise(signal_number));
}

}  // namespace

void InstallCrashReport() {
  // A stack of its own, so that a stack overflow can be reported too.
  static std::array<char, kStackBytes> stack;
  stack_t alternate{};
  alternate.ss_sp = stack.data();
  alternate.ss_size = stack.size();
  sigaltstack(&alternate, nullptr);
  // The first call loads a library, which must not happen within a signal.
  std::array<void*, 1> frame{};
  static_cast<void>(backtrace(frame.data(), 1));
  std::ranges::for_each(kFatalSignals, [](int signal_number) {
    struct sigaction action {};
    action.sa_handler = &Report;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
    sigaction(signal_number, &action, nullptr);
  });
}

}  // namespace bambooquay
