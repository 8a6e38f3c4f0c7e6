// Clock interface. Code takes the clock as a parameter, so that tests can
// control the time.
#pragma once

#include <chrono>

namespace bambooquay {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A monotonic clock.
class Clock {
 public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /// @returns the current monotonic time.
  [[nodiscard]] virtual TimePoint Now() const noexcept = 0;
};

/// The system's monotonic clock.
class SteadyClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override {
    return std::chrono::steady_clock::now();
  }
};

/// A clock that advances only on request; used by tests and benchmarks.
///
/// @code
/// ManualClock clock;
/// clock.Advance(std::chrono::seconds(2));
/// @endcode
class ManualClock final : public Clock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override { return m_now; }
  void Advance(Duration step) noexcept { m_now += step; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

/// @returns `duration` in seconds as a floating-point number.
[[nodiscard]] inline double ToSeconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

/// @returns `seconds` as a duration, truncated to whole nanoseconds.
[[nodiscard]] inline Duration FromSeconds(double seconds) noexcept {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace bambooquay
