// A monotonic clock that also counts the time for which the machine was
// suspended.
#pragma once

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Reads CLOCK_BOOTTIME. A steady clock may stand still while the machine is
/// suspended, so that a process would take outdated state for recent.
class BootClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override;
};

}  // namespace bambooquay
