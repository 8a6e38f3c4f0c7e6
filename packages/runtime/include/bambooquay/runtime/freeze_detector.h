// Detects that the process or its machine did not run for a while.
#pragma once

#include <optional>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Detects freezes by comparing the time between two periodic checks with the
/// period. Uses CLOCK_BOOTTIME, which includes the time during which the
/// machine was suspended; a steady clock may not include it.
///
/// @code
/// FreezeDetector freezes(std::chrono::milliseconds(100));
/// // every 100 ms:
/// if (const auto frozen = freezes.Check()) { ... }
/// @endcode
class FreezeDetector {
 public:
  /// @param period  interval at which the owner calls Check().
  explicit FreezeDetector(Duration period) noexcept;

  /// @returns by how much this check is late, or nullopt if the delay can be
  ///   due to ordinary scheduling.
  [[nodiscard]] std::optional<Duration> Check() noexcept;

 private:
  Duration m_period;
  TimePoint m_last_check;  ///< On the boot clock.
};

}  // namespace bambooquay
