// The rate at which engines read prompts of a model, and what it means for the
// share of the engines that the model needs.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"

namespace bambooquay {

/// Estimates the rate at which engines read the prompts of one model, from the
/// times to first events.
///
/// @code
/// ReadingRate rate(clock);
/// rate.Record(9000.0, std::chrono::milliseconds(250));
/// rate.TokensPerMs();  // 36
/// @endcode
class ReadingRate {
 public:
  explicit ReadingRate(const Clock& clock) : m_clock(&clock) {}

  /// Records that an engine has sent the first event of a call after `time`.
  /// Ignored for prompts that are too short to tell.
  /// @param unread_tokens  prompt tokens that the engine had not kept.
  void Record(double unread_tokens, Duration time);
  /// @returns the rate in tokens per millisecond of calls that did not wait for
  ///   the prompts of others; 0 if too little is known.
  [[nodiscard]] double TokensPerMs() const;

 private:
  struct Sample {
    TimePoint at{};
    double tokens_per_ms = 0.0;
  };

  const Clock* m_clock;
  /// The newest samples, the oldest first.
  std::deque<Sample> m_samples;
};

/// What one entry knows of a model's reading rate.
struct ReadingRateReport {
  ModelName model;
  double tokens_per_ms = 0.0;  ///< 0 if the entry does not know it.
  double weight = 0.0;         ///< For example requests per second.
};

/// Work for each prompt token of a model, against a typical model of the same
/// service. Models without an entry count as typical.
using WorkFactors = std::map<ModelName, double>;

/// Load it answers: a model that engines read several times as fast as others
/// has the largest demand in tokens, gets most replicas and leaves them idle,
/// while prompts for the other models queue.
/// @param reports  of all entries, for the models of one service.
[[nodiscard]] WorkFactors FindWorkFactors(
    const std::vector<ReadingRateReport>& reports);

}  // namespace bambooquay
