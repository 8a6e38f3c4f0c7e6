// The memory and file descriptors that this process may use.
#pragma once

#include <cstddef>

namespace bambooquay {

struct ProcessLimits {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

/// @returns the limits that the system sets: the machine's memory, from
///   /proc/meminfo, or the process's own limit if that is lower.
[[nodiscard]] ProcessLimits DetectProcessLimits();

}  // namespace bambooquay
