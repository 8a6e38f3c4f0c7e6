// Paces the requests that a cold engine gets from all entries together.
#pragma once

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Hands out permits for single requests to one engine. The agent beside the
/// engine keeps it, so that the whole of what a cold engine bears goes to
/// whichever entries have requests for it; equal parts for all entries leave
/// most of it unused where a model has few engines and calls come in anywhere.
///
/// Invariant: in any time T at most `rate` x T + 2 permits are given.
///
/// @code
/// ColdPermits permits(clock);
/// permits.SetRate(8.0);
/// if (permits.TryTake()) { ... }
/// @endcode
class ColdPermits {
 public:
  explicit ColdPermits(const Clock& clock) noexcept;

  /// @param per_second  requests that a cold engine bears; 0 means no limit.
  void SetRate(double per_second) noexcept { m_rate = per_second; }
  /// @returns whether one more request may be sent now.
  [[nodiscard]] bool TryTake() noexcept;
  /// @returns the time until a permit is there.
  [[nodiscard]] Duration TimeUntilNext() const noexcept;

 private:
  [[nodiscard]] double LevelAt(TimePoint now) const noexcept;

  const Clock& m_clock;
  double m_rate = 0.0;
  /// Permits at `m_filled_at`. It starts with one only: a predecessor of this
  /// process may just have given some.
  double m_level = 1.0;
  TimePoint m_filled_at;
};

}  // namespace bambooquay
