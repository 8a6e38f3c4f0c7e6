// Notices that the process or its machine stood still.
#include "bambooquay/runtime/freeze_detector.h"

#include <time.h>

namespace bambooquay {
namespace {

// Delays below this are ordinary scheduling.
constexpr Duration kNoticeable = std::chrono::milliseconds(700);

Duration BootTime() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace

FreezeDetector::FreezeDetector(Duration period) noexcept
    : m_period(period), m_checked_at(BootTime()) {}

std::optional<Duration> FreezeDetector::Check() noexcept {
  const Duration now = BootTime();
  const Duration frozen = now - m_checked_at - m_period;
  m_checked_at = now;
  return frozen > kNoticeable ? std::optional(frozen) : std::nullopt;
}

}  // namespace bambooquay
