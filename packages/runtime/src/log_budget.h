// Bounds the number of log lines of each kind of event.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// A token bucket for each kind of event that holds one second's lines.
class LogBudget {
 public:
  struct Verdict {
    bool allowed = true;
    /// Lines of this event left out since the last one that was allowed.
    std::uint64_t left_out = 0;
  };

  /// @param lines_per_second  of each kind of event; 0 means no limit.
  explicit LogBudget(double lines_per_second) noexcept
      : m_rate(lines_per_second) {}

  void SetRate(double lines_per_second) noexcept { m_rate = lines_per_second; }

  [[nodiscard]] Verdict Take(const std::string& event, TimePoint now) {
    if (m_rate <= 0.0) {
      return {};
    }
    const auto [found, is_new] = m_events.try_emplace(event);
    Event& state = found->second;
    const double gained =
        is_new ? m_rate : m_rate * ToSeconds(now - state.filled_at);
    state.level = std::min(m_rate, state.level + gained);
    state.filled_at = now;
    if (state.level < 1.0) {
      ++state.left_out;
      ++m_left_out;
      return {false, 0};
    }
    state.level -= 1.0;
    return {true, std::exchange(state.left_out, 0)};
  }

  /// @returns all lines left out so far.
  [[nodiscard]] std::uint64_t left_out() const noexcept { return m_left_out; }

 private:
  struct Event {
    double level = 0.0;
    TimePoint filled_at{};
    std::uint64_t left_out = 0;
  };

  double m_rate;
  std::map<std::string, Event> m_events;
  std::uint64_t m_left_out = 0;
};

}  // namespace bambooquay
