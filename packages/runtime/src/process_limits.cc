// The memory and file descriptors that this process may use.
#include "bambooquay/runtime/process_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace bambooquay {
namespace {

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

std::size_t ReadLimit(__rlimit_resource resource) {
  rlimit limit{};
  return getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY
             ? static_cast<std::size_t>(limit.rlim_cur)
             : kNoLimit;
}

std::size_t ReadMachineMemory() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  std::size_t kilobytes = 0;
  file >> name >> kilobytes;
  return name == "MemTotal:" && kilobytes > 0 ? kilobytes * 1024 : kNoLimit;
}

}  // namespace

ProcessLimits DetectProcessLimits() {
  return {std::min({ReadMachineMemory(), ReadLimit(RLIMIT_DATA),
                    ReadLimit(RLIMIT_AS)}),
          ReadLimit(RLIMIT_NOFILE)};
}

}  // namespace bambooquay
