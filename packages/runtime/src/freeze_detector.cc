// Detects that the process or its machine did not run for a while.
#include "bambooquay/runtime/freeze_detector.h"

#include "bambooquay/runtime/boot_clock.h"

namespace bambooquay {
namespace {

// Shorter delays occur in ordinary scheduling.
constexpr Duration kMinFreeze = std::chrono::milliseconds(700);

}  // namespace

FreezeDetector::FreezeDetector(Duration period) noexcept
    : m_period(period), m_last_check(BootClock().Now()) {}

std::optional<Duration> FreezeDetector::Check() noexcept {
  const TimePoint now = BootClock().Now();
  const Duration delay = now - m_last_check - m_period;
  m_last_check = now;
  return delay > kMinFreeze ? std::optional(delay) : std::nullopt;
}

}  // namespace bambooquay
