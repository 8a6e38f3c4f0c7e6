// Notices that the process or its machine stood still.
#pragma once

#include <optional>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Compares the time that passed, suspensions included, with the period in
/// which it is asked. A steady clock may leave suspensions out.
///
/// @code
/// FreezeDetector freezes(std::chrono::milliseconds(100));
/// // every 100 ms:
/// if (const auto frozen = freezes.Check()) { ... }
/// @endcode
class FreezeDetector {
 public:
  explicit FreezeDetector(Duration period) noexcept;

  /// @returns for how long nothing ran, if that was noticeable.
  [[nodiscard]] std::optional<Duration> Check() noexcept;

 private:
  Duration m_period;
  Duration m_checked_at;
};

}  // namespace bambooquay
