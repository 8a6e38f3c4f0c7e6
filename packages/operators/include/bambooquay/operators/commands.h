// The operators' commands for the configuration, keys, drains and status.
#pragma once

#include <string>
#include <vector>

namespace bambooquay {

/// Exit codes, with the values of sysexits.h.
enum class ExitCode : int {
  kOk = 0,
  kUsage = 64,
  kDataError = 65,
  kNoInput = 66,
  kUnavailable = 69,
  kSoftware = 70,
  kConflict = 75,  ///< EX_TEMPFAIL: another operator was first; retry.
  kBadSettings = 78,
};

/// Runs `bambooquay <verb> ...` and prints the result.
/// @param arguments  the command line without the name of the program.
[[nodiscard]] ExitCode RunCommand(const std::vector<std::string>& arguments);

}  // namespace bambooquay
