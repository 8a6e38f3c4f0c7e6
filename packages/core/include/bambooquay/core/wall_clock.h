// True time. Code takes the clock as a parameter, so that tests can control it.
#pragma once

#include <chrono>

namespace bambooquay {

/// A point of true time, since the start of 1970.
using UnixTime = std::chrono::milliseconds;

/// A clock of true time. Clocks of different machines differ a little, and a
/// clock may be set back.
class WallClock {
 public:
  WallClock() = default;
  WallClock(const WallClock&) = delete;
  WallClock& operator=(const WallClock&) = delete;
  virtual ~WallClock() = default;

  [[nodiscard]] virtual UnixTime Now() const noexcept = 0;
};

/// The system's clock.
class SystemWallClock final : public WallClock {
 public:
  [[nodiscard]] UnixTime Now() const noexcept override {
    return std::chrono::duration_cast<UnixTime>(
        std::chrono::system_clock::now().time_since_epoch());
  }
};

/// A clock that is set by tests.
class ManualWallClock final : public WallClock {
 public:
  [[nodiscard]] UnixTime Now() const noexcept override { return m_now; }
  void Set(UnixTime now) noexcept { m_now = now; }
  void Advance(UnixTime step) noexcept { m_now += step; }

 private:
  UnixTime m_now = std::chrono::hours(480000);
};

}  // namespace bambooquay
