// The windows of true time by which usage is reported.
#pragma once

#include <algorithm>
#include <cstdint>

#include "bambooquay/core/wall_clock.h"
#include "bambooquay/peers/status_messages.h"

namespace bambooquay {

/// Windows kept in memory and in the store, the latest ones: a report that is
/// older has been due for long.
inline constexpr std::uint64_t kKeptWindows = 8;

[[nodiscard]] constexpr std::uint64_t ToNumber(UsageWindow window) noexcept {
  return static_cast<std::uint64_t>(window);
}

[[nodiscard]] constexpr UsageWindow Next(UsageWindow window) noexcept {
  return UsageWindow{ToNumber(window) + 1};
}

/// @returns the window that began `count` windows earlier.
[[nodiscard]] constexpr UsageWindow Before(UsageWindow window,
                                           std::uint64_t count) noexcept {
  return UsageWindow{ToNumber(window) - std::min(count, ToNumber(window))};
}

[[nodiscard]] constexpr UsageWindow WindowAt(UnixTime time,
                                             UnixTime length) noexcept {
  return UsageWindow{static_cast<std::uint64_t>(time / length)};
}

[[nodiscard]] constexpr UnixTime BeginOf(UsageWindow window,
                                         UnixTime length) noexcept {
  return length * static_cast<UnixTime::rep>(ToNumber(window));
}

[[nodiscard]] constexpr UnixTime EndOf(UsageWindow window,
                                       UnixTime length) noexcept {
  return BeginOf(Next(window), length);
}

/// @returns the sum of all organisations.
[[nodiscard]] std::uint64_t TotalOf(const RunCounts& counts);

}  // namespace bambooquay
