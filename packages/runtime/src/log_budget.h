// Limits the rate of log lines for each event name.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// A token bucket for each event name. A burst may have as many lines as the
/// rate allows in one second.
class LogRateLimiter {
 public:
  struct Decision {
    bool allowed = true;
    /// Number of lines of this event suppressed since its last allowed line.
    std::uint64_t suppressed = 0;
  };

  /// @param lines_per_second  rate for each event name; 0 means no limit.
  explicit LogRateLimiter(double lines_per_second) noexcept
      : m_lines_per_second(lines_per_second) {}

  void SetRate(double lines_per_second) noexcept {
    m_lines_per_second = lines_per_second;
  }

  /// Decides whether a line of `event` may be written at `now`.
  [[nodiscard]] Decision TryAcquire(const std::string& event, TimePoint now) {
    if (m_lines_per_second <= 0.0) {
      return {};
    }
    const auto [found, is_new] = m_buckets.try_emplace(event);
    Bucket& bucket = found->second;
    const double added_tokens =
        is_new ? m_lines_per_second
               : m_lines_per_second * ToSeconds(now - bucket.refilled_at);
    bucket.tokens = std::min(m_lines_per_second, bucket.tokens + added_tokens);
    bucket.refilled_at = now;
    if (bucket.tokens < 1.0) {
      ++bucket.suppressed;
      ++m_suppressed;
      return {false, 0};
    }
    bucket.tokens -= 1.0;
    return {true, std::exchange(bucket.suppressed, 0)};
  }

  /// @returns the number of lines suppressed so far, over all events.
  [[nodiscard]] std::uint64_t suppressed() const noexcept {
    return m_suppressed;
  }

 private:
  struct Bucket {
    double tokens = 0.0;
    TimePoint refilled_at{};
    std::uint64_t suppressed = 0;
  };

  double m_lines_per_second;
  std::map<std::string, Bucket> m_buckets;
  std::uint64_t m_suppressed = 0;
};

}  // namespace bambooquay
