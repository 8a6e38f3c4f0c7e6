// Measures how far apart the events of an engine's streams are while it reads
// prompts.
#pragma once

#include <unordered_map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_report.h"
#include "bambooquay/core/ids.h"

namespace bambooquay {

/// Load it answers: prompts are read between the tokens of streams. One engine
/// keeps its streams within the pause that they may have, however many prompts
/// wait; another, with a larger model or more streams, needs a rest between two
/// prompts for that.
class ReadingPause {
 public:
  /// Compares a report with the one before it.
  /// @param has_read  whether the engine has had prompts to read all the time
  ///   since the last report.
  void RecordReport(const EngineReport& report, bool has_read, TimePoint now);
  /// @returns the time between two events while the engine reads without a
  ///   rest; zero if it is not known.
  [[nodiscard]] Duration ReadingInterval() const noexcept {
    return m_reading_interval;
  }

 private:
  std::unordered_map<RequestId, int> m_events;  ///< In the last report.
  TimePoint m_reported_at{};
  Duration m_reading_interval{};
};

}  // namespace bambooquay
