// Limits the rate of requests that all entries together send to a cold engine.
#pragma once

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// A token bucket that grants permits for single requests to one engine. It is
/// kept by the engine's agent, so that the full rate that a cold engine can
/// take is available to whichever entries have requests for it. Equal shares
/// for all entries would leave most of the rate unused if a model is loaded on
/// few engines and its requests arrive at only some of the entries.
///
/// Invariant: at most `rate` x T + 2 permits are granted in any period T.
///
/// @code
/// ColdPermits permits(clock);
/// permits.SetRate(8.0);
/// if (permits.TryAcquire()) { ... }
/// @endcode
class ColdPermits {
 public:
  explicit ColdPermits(const Clock& clock) noexcept;

  /// @param per_second  the cold rate: requests per second that a cold engine
  ///   can take; 0 means no limit.
  void SetRate(double per_second) noexcept { m_rate = per_second; }
  /// Takes a permit if one is available.
  /// @returns whether one more request may be sent now.
  [[nodiscard]] bool TryAcquire() noexcept;
  /// @returns the time until a permit is available.
  [[nodiscard]] Duration TimeUntilNext() const noexcept;

 private:
  [[nodiscard]] double AvailableAt(TimePoint now) const noexcept;

  const Clock& m_clock;
  double m_rate = 0.0;
  /// Permits available at `m_refilled_at`. Starts at one, not at the maximum,
  /// because a previous process of this agent may just have granted some.
  double m_available = 1.0;
  TimePoint m_refilled_at;
};

}  // namespace bambooquay
