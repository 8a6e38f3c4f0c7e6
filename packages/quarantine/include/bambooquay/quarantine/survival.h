// How far calls were when they broke, and what a call that got further shows.
#pragma once

#include <optional>
#include <vector>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Time from the first event of a call to its newest one, or until it broke;
/// nothing if it has had no event.
using CallProgress = std::optional<Duration>;

constexpr CallProgress kNoEvent = std::nullopt;
/// The progress of a call whose response is complete.
constexpr Duration kCompleteCall = std::chrono::hours(1);

/// A call that has sent an event, or its whole response.
struct Survival {
  TimePoint begun_at{};
  /// From its first event on.
  Duration lasted{};
};

/// @returns whether a call that has come this far when it breaks may be the
///   cause of a crash. Calls that break later are those beside the cause.
[[nodiscard]] bool IsSuspect(const CallProgress& progress) noexcept;
/// @returns how long a call must last to outlive one that broke this long after
///   its first event.
[[nodiscard]] Duration TimeToOutlive(Duration broken) noexcept;
/// @returns whether a call has survived what broke another one, by how far they
///   came.
[[nodiscard]] bool Outlives(Duration lasted,
                            const CallProgress& broken) noexcept;
/// @returns the less advanced one of two calls, the one that is more suspect.
[[nodiscard]] CallProgress LessAdvanced(const CallProgress& a,
                                        const CallProgress& b) noexcept;
[[nodiscard]] CallProgress MoreAdvanced(const CallProgress& a,
                                        const CallProgress& b) noexcept;

/// The survivals that say most: of each two, one began later and the other one
/// lasted longer.
class Survivals {
 public:
  void Add(const Survival& added);
  /// @returns whether a call that began at `time` or later outlives `broken`.
  [[nodiscard]] bool AnySince(TimePoint time,
                              const CallProgress& broken) const noexcept;
  /// By beginning, the newest one last. A handful at most.
  [[nodiscard]] const std::vector<Survival>& all() const noexcept {
    return m_survivals;
  }

 private:
  std::vector<Survival> m_survivals;
};

}  // namespace bambooquay
