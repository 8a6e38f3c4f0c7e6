// A monotonic clock that also counts the time for which the machine was
// suspended.
#include "bambooquay/runtime/boot_clock.h"

#include <time.h>

namespace bambooquay {

TimePoint BootClock::Now() const noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace bambooquay
