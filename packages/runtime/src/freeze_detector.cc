// Detects that the process or its machine did not run for a while.
#include "bambooquay/runtime/freeze_detector.h"

#include <time.h>

namespace bambooquay {
namespace {

// Shorter delays occur in ordinary scheduling.
constexpr Duration kMinFreeze = std::chrono::milliseconds(700);

Duration BootTime() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace

FreezeDetector::FreezeDetector(Duration period) noexcept
    : m_period(period), m_last_check(BootTime()) {}

std::optional<Duration> FreezeDetector::Check() noexcept {
  const Duration now = BootTime();
  const Duration delay = now - m_last_check - m_period;
  m_last_check = now;
  return delay > kMinFreeze ? std::optional(delay) : std::nullopt;
}

}  // namespace bambooquay
