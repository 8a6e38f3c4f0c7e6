// Limits the number of requests that an upstream has in flight: few while it
// is cold, more once its pace shows that it is warm.
#pragma once

#include <cstdint>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Concurrency limits of an upstream, from the configuration.
struct ConcurrencySettings {
  /// Requests in flight that a cold upstream can handle.
  std::uint32_t cold = 1;
  /// Requests in flight that a warm upstream can handle.
  std::uint32_t warm = 1;
  /// Time for each token (or each call of a plain service) when warm.
  Duration expected_pace = std::chrono::milliseconds(30);
};

/// Adapts the limit to the pace of an upstream. The upstream is assumed to be
/// cold at first. Once several consecutive samples were near the expected pace,
/// each such sample raises the limit by one. Several consecutive slow samples,
/// or a failure, reset it to the cold limit.
///
/// @code
/// ConcurrencyLimit limit({.cold = 2, .warm = 16});
/// limit.limit();       // 2
/// limit.RecordFailure();
/// @endcode
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencySettings& settings) noexcept
      : m_settings(settings), m_limit(settings.cold) {}

  /// @returns the number of requests that may be in flight.
  [[nodiscard]] std::uint32_t limit() const noexcept { return m_limit; }
  /// @returns whether the limit is still below the warm limit.
  [[nodiscard]] bool is_cold() const noexcept {
    return m_limit < m_settings.warm;
  }

  /// Records a sample of the pace of finished or streamed work.
  /// @param pace  time for each token, or for the call of a plain service.
  /// @param in_flight  requests in flight during the sample. The limit grows
  ///   only if at least half of it was in use, so that an idle upstream is not
  ///   taken to be warm.
  void RecordPace(Duration pace, std::uint32_t in_flight) noexcept;
  /// Records that the upstream failed or restarted.
  void RecordFailure() noexcept;
  /// Applies changed settings. The limit is clamped to the new range.
  void Configure(const ConcurrencySettings& settings) noexcept;

 private:
  ConcurrencySettings m_settings;
  /// Between m_settings.cold and m_settings.warm.
  std::uint32_t m_limit;
  /// Consecutive samples near the expected pace.
  std::uint32_t m_warm_samples = 0;
  /// Consecutive slow samples.
  std::uint32_t m_cold_samples = 0;
};

}  // namespace bambooquay
