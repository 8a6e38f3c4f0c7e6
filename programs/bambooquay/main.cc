// bambooquay: the entry process and the operators' commands.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "bambooquay/operators/commands.h"
#include "bambooquay/runtime/crash_report.h"
#include "run_config_check.h"
#include "run_entry.h"
#include "run_serve.h"

int main(int argc, char** argv) {
  bambooquay::InstallCrashReport();
  try {
    std::vector<std::string> arguments(argv + 1, argv + argc);
    bambooquay::ExitCode code = bambooquay::ExitCode::kOk;
    if (!arguments.empty() && arguments.front() == "entry") {
      arguments.erase(arguments.begin());
      code = bambooquay::RunEntry(arguments);
    } else if (!arguments.empty() && arguments.front() == "serve") {
      arguments.erase(arguments.begin());
      code = bambooquay::RunServe(arguments);
    } else if (bambooquay::IsHostedConfigCheck(arguments)) {
      code = bambooquay::RunHostedConfigCheck(arguments);
    } else {
      code = bambooquay::RunCommand(arguments);
    }
    return static_cast<int>(code);
  } catch (const std::exception& error) {
    std::cerr << "bambooquay: " << error.what() << '\n';
    return static_cast<int>(bambooquay::ExitCode::kSoftware);
  }
}
