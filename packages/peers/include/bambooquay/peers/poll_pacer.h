// Limits how often the processes of a fleet, taken together, poll a shared
// service.
#pragma once

#include <algorithm>
#include <cstddef>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Upper limit for the polls of all processes of the fleet together.
inline constexpr double kFleetPollsPerSecond = 300.0;

/// Decides when one process may poll: at most once per minimum period, and less
/// often in a fleet so large that its polls would exceed
/// `kFleetPollsPerSecond`.
class PollPacer {
 public:
  explicit PollPacer(Duration min_period) noexcept : m_min_period(min_period) {}

  /// Starts the next period if a poll is due.
  /// @param process_count  size of the fleet; the period grows with it.
  /// @returns whether a poll is due.
  [[nodiscard]] bool TryStartPoll(TimePoint now,
                                  std::size_t process_count) noexcept {
    if (now < m_next_poll_at) {
      return false;
    }
    m_next_poll_at =
        now +
        std::max(m_min_period, FromSeconds(static_cast<double>(process_count) /
                                           kFleetPollsPerSecond));
    return true;
  }

 private:
  Duration m_min_period;
  TimePoint m_next_poll_at{};
};

}  // namespace bambooquay
