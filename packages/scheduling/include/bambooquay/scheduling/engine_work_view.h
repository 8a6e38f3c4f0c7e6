// What an entry knows of the work of one engine, between two of its reports.
#pragma once

#include <optional>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_work.h"

namespace bambooquay {

/// The last estimate of an engine's agent, carried on to the present: less what
/// the engine has read since, and more what this entry has sent since.
class EngineWorkView {
 public:
  void Record(const EngineWork& work, TimePoint now);
  /// Records a call that this entry sends to the engine.
  /// @param unread_tokens  prompt tokens that the engine has to read.
  void RecordSent(double unread_tokens);

  /// @param usual  of an engine whose agent has not measured it yet; usually
  ///   the median of its service.
  /// @param alike  other entries that are assumed to have sent as much as this
  ///   one since the last estimate.
  /// @returns nothing without an estimate, and if no rate is known.
  [[nodiscard]] std::optional<EngineWork> Current(TimePoint now,
                                                  const EngineWork& usual,
                                                  double alike) const;
  /// @returns the last estimate, as it was received.
  [[nodiscard]] const std::optional<EngineWork>& last() const noexcept {
    return m_last;
  }

 private:
  std::optional<EngineWork> m_last;
  TimePoint m_recorded_at{};
  double m_sent_tokens = 0.0;  ///< Since the last estimate.
};

}  // namespace bambooquay
