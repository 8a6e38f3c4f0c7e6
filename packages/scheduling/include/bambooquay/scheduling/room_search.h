// The search of one call for room on one of several engines.
#pragma once

#include <optional>
#include <set>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"

namespace bambooquay {

/// The times of a call that bound its search. Each counts from the moment at
/// which it asks.
struct RoomTimes {
  Duration target_wait{};   ///< Until its first event is late.
  Duration time_limit{};    ///< Until it is ended.
  Duration reading_time{};  ///< That an engine needs for its prompt.
  Duration run_time{};      ///< From its first event to its end.
};

/// Which engine a call asks for room, and how long it can wait there. First it
/// asks for room in which it would be in time, at a few engines one after the
/// other; then it waits at the engine that expects room first, as long as it
/// can still end before its time limit.
///
/// @code
/// RoomSearch search;
/// const Duration max_wait = search.MaxWait(times);
/// search.RecordDenial(upstream, wait);
/// if (!search.MayAskAnother()) { upstream = *search.TakeBest(); }
/// @endcode
class RoomSearch {
 public:
  /// @returns how long the call can wait at the engine that it asks now; zero
  ///   if it is too late to begin it anywhere.
  [[nodiscard]] Duration MaxWait(const RoomTimes& times) const noexcept;
  /// @param wait  time until room is expected there.
  void RecordDenial(const UpstreamId& upstream, Duration wait);
  /// @returns whether a further engine is worth asking.
  [[nodiscard]] bool MayAskAnother() const noexcept;
  /// @returns the engine that expects room first; nothing if it was taken
  ///   already. The call then waits there as long as it can.
  [[nodiscard]] std::optional<UpstreamId> TakeBest();
  /// @returns the shortest time until room is expected.
  [[nodiscard]] Duration ShortestWait() const noexcept {
    return m_shortest_wait;
  }
  /// @returns the engines that have denied room.
  [[nodiscard]] const std::set<UpstreamId>& denied() const noexcept {
    return m_denied;
  }
  /// Starts over, for another attempt.
  void Reset() { *this = {}; }

 private:
  std::set<UpstreamId> m_denied;
  std::optional<UpstreamId> m_best;
  Duration m_shortest_wait{};
  bool m_waits_at_best = false;
};

}  // namespace bambooquay
