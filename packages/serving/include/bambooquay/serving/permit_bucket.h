// Limits the rate of requests that all entries together send to one upstream.
#pragma once

#include "bambooquay/core/clock.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

/// A token bucket that grants permits for single requests to one upstream. One
/// process keeps it for all entries, so that the full rate is available to
/// whichever entries have requests. Equal shares for all entries would leave
/// most of the rate unused if requests arrive at only some of them.
///
/// Invariant: at most `rate` x T + `max_unused` permits are granted in any
/// period T.
///
/// @code
/// PermitBucket permits(clock);
/// permits.SetRate({8.0});
/// if (permits.IsAvailable()) {
///   permits.Take();
/// }
/// @endcode
class PermitBucket {
 public:
  /// Number of unused permits that a bucket holds at most, unless SetRate()
  /// says otherwise.
  static constexpr double kDefaultMaxUnused = 2.0;

  explicit PermitBucket(const Clock& clock) noexcept;

  /// @param rate  permits per second; 0 means no limit.
  void SetRate(CallsPerSecond rate,
               double max_unused = kDefaultMaxUnused) noexcept;
  [[nodiscard]] bool IsAvailable() const noexcept;
  /// Takes a permit, which must be available.
  void Take() noexcept;
  /// @returns the time until a permit is available.
  [[nodiscard]] Duration TimeUntilNext() const noexcept;

 private:
  [[nodiscard]] double AvailableAt(TimePoint now) const noexcept;
  void Refill() noexcept;

  const Clock& m_clock;
  CallsPerSecond m_rate;
  double m_max_unused = kDefaultMaxUnused;
  /// Permits available at `m_refilled_at`. Starts at one, not at the maximum,
  /// because a previous process may just have granted some.
  double m_available = 1.0;
  TimePoint m_refilled_at;
};

}  // namespace bambooquay
