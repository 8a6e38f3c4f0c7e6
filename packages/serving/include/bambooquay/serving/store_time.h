// The present time on the store's clock, between its responses.
#pragma once

#include <chrono>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Estimates the time on the store's clock from that in its last response.
class StoreTime {
 public:
  explicit StoreTime(const Clock& clock) noexcept : m_clock(clock) {}

  /// Records the time in a response that has just been received.
  void Set(std::chrono::milliseconds time) {
    m_time = time;
    m_received_at = m_clock.Now();
  }
  [[nodiscard]] std::chrono::milliseconds Now() const {
    return m_time + std::chrono::duration_cast<std::chrono::milliseconds>(
                        m_clock.Now() - m_received_at);
  }

 private:
  const Clock& m_clock;
  std::chrono::milliseconds m_time{};
  TimePoint m_received_at{};
};

}  // namespace bambooquay
