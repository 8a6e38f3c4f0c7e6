// Conversion of durations to `timeval`.
#pragma once

#include <sys/time.h>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// @returns `duration`, truncated to microseconds.
[[nodiscard]] inline timeval ToTimeval(Duration duration) noexcept {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  return {
      seconds.count(),
      std::chrono::duration_cast<std::chrono::microseconds>(duration - seconds)
          .count()};
}

}  // namespace bambooquay
