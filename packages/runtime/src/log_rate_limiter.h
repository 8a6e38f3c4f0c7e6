// Limits the rate of log lines for each event name.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// A token bucket for each event name; its burst is the lines of one second.
class LogRateLimiter {
 public:
  struct Decision {
    bool allowed = true;
    /// Lines of this event suppressed since its last allowed line.
    std::uint64_t suppressed = 0;
  };

  /// @param lines_per_second  rate for each event name; 0 means no limit.
  explicit LogRateLimiter(double lines_per_second) noexcept
      : m_rate(lines_per_second) {}

  void SetRate(double lines_per_second) noexcept { m_rate = lines_per_second; }

  /// Decides whether a line of `event` may be written at `now`.
  [[nodiscard]] Decision TryAcquire(const std::string& event, TimePoint now) {
    if (m_rate <= 0.0) {
      return {};
    }
    const auto [found, is_new] = m_buckets.try_emplace(event);
    Bucket& state = found->second;
    const double gained =
        is_new ? m_rate : m_rate * ToSeconds(now - state.filled_at);
    state.tokens = std::min(m_rate, state.tokens + gained);
    state.filled_at = now;
    if (state.tokens < 1.0) {
      ++state.suppressed;
      ++m_suppressed;
      return {false, 0};
    }
    state.tokens -= 1.0;
    return {true, std::exchange(state.suppressed, 0)};
  }

  /// @returns the number of lines suppressed so far, over all events.
  [[nodiscard]] std::uint64_t suppressed() const noexcept {
    return m_suppressed;
  }

 private:
  struct Bucket {
    double tokens = 0.0;
    TimePoint filled_at{};
    std::uint64_t suppressed = 0;
  };

  double m_rate;
  std::map<std::string, Bucket> m_buckets;
  std::uint64_t m_suppressed = 0;
};

}  // namespace bambooquay
