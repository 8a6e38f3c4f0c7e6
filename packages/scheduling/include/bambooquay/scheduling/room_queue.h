// Decides which calls go to a model engine now, which wait for room on it, and
// which are denied room.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_work.h"
#include "bambooquay/core/ids.h"

namespace bambooquay {

/// A call that needs room on the engine.
struct RoomCall {
  RequestId id;
  OrganisationId organisation;
  int priority = 0;            ///< 0 is the most urgent.
  double unread_tokens = 0.0;  ///< Prompt tokens that the engine has to read.
  double memory_tokens = 0.0;  ///< Tokens that it keeps while the call runs.
  Duration target_wait{};      ///< Time left until its first event is late.
  Duration max_wait{};         ///< How long it can wait for room.
};

/// What bounds the room on an engine.
struct EngineRoom {
  EngineWork work;
  /// Longest pause that the streams on the engine may have; zero for no bound.
  Duration max_pause{};
  /// Time between two events while the engine reads without a rest; zero if it
  /// is not known.
  Duration reading_interval{};
  int queued = 0;  ///< Calls in the engine's own queue.
  /// Places for calls that have not begun yet, if the number is known.
  std::optional<std::size_t> free_places;
  /// Memory for further calls, in tokens, if the engine reports it.
  std::optional<double> free_tokens;
};

enum class RoomVerdict : std::uint8_t {
  kGranted,  ///< The call may be sent now.
  kQueued,   ///< It waits; another decision follows.
  kDenied,   ///< There will be no room in time.
};

struct RoomDecision {
  RequestId call;
  RoomVerdict verdict = RoomVerdict::kQueued;
  Duration wait{};  ///< Time until room is expected, if not granted.
};

/// The room on one engine, kept by the agent beside it, which alone learns of
/// the calls of all entries.
///
/// Load it answers: under a burst an engine reads long prompts without a gap.
/// Its streams pause for longer than their callers bear, its own queue keeps
/// calls that can't be in time before those that can, and then rejects them.
///
/// Order of those that wait: the most urgent first; then those that can still
/// be in time before those that are late already; then the one that has to
/// begin first. An organisation that the engine has read more for than for the
/// others counts as having to begin later by that time. Each eighth room goes
/// to the call that has waited longest, so nobody starves.
///
/// Invariants: the tokens of calls that have room and have sent no event stay
/// within what the engine reads in the longest pause, unless only one call has
/// room. On an engine whose events are further apart than that while it reads,
/// this holds for all that it reads until it rests. A call that a decision
/// denies isn't known any more.
///
/// @code
/// RoomQueue queue(clock);
/// queue.SetEngine({.work = estimator.Current(), .max_pause = pause});
/// for (const RoomDecision& decision : queue.Ask(call)) { Reply(decision); }
/// queue.Release(call.id);
/// for (const RoomDecision& decision : queue.Decide()) { Reply(decision); }
/// @endcode
class RoomQueue {
 public:
  explicit RoomQueue(const Clock& clock) : m_clock(clock) {}

  void SetEngine(const EngineRoom& engine) { m_engine = engine; }
  /// Discards the calls that have room, as the engine's new run has none of
  /// them.
  void RecordRestart();
  /// Asks for room for a call.
  /// @returns a decision on it, and those on other calls that follow.
  [[nodiscard]] std::vector<RoomDecision> Ask(const RoomCall& call);
  /// Records that a call is sent to the engine without asking.
  void Announce(const RoomCall& call);
  /// Records that a call has sent its first event, has ended, or does not wait
  /// any longer. Decide() shows who may go then.
  void Release(const RequestId& call);
  /// @returns decisions on calls that wait and have room now, or won't have it
  ///   in time.
  [[nodiscard]] std::vector<RoomDecision> Decide();

  /// @returns the unread prompt tokens of the calls that wait.
  [[nodiscard]] double WaitingTokens() const;
  [[nodiscard]] std::size_t waiting_count() const noexcept {
    return m_waiting.size();
  }
  /// @returns the number of calls that have room and have sent no event.
  [[nodiscard]] std::size_t room_count() const noexcept {
    return m_rooms.size();
  }

 private:
  struct Room {
    double unread_tokens = 0.0;
    double memory_tokens = 0.0;
    TimePoint granted_at{};
    TimePoint expires_at{};
  };
  struct WaitingCall {
    RoomCall call;
    std::uint64_t arrival = 0;
    TimePoint asked_at{};
  };
  /// Time that the engine has read for an organisation. Older time counts less.
  struct Usage {
    Duration time{};
    TimePoint updated_at{};
  };
  struct Position;

  [[nodiscard]] bool KnowsRate() const noexcept {
    return m_engine.work.prompt_tokens_per_ms > 0.0;
  }
  [[nodiscard]] Duration ReadingTime(double tokens) const;
  /// @returns how long the engine may read without delaying an event too much.
  [[nodiscard]] Duration ReadingBound() const;
  [[nodiscard]] bool Fits(const RoomCall& call) const;
  [[nodiscard]] Position PositionOf(const WaitingCall& waiting) const;
  [[nodiscard]] Duration RecentUsage(const OrganisationId& organisation) const;
  /// Sorts the calls that wait by the order in which they get room.
  void Sort();
  void Grant(const RoomCall& call);
  void RemoveExpired();
  /// Moves the calls that have room now from those that wait.
  void GrantAll(std::vector<RoomDecision>& decisions);
  /// Removes the calls that won't have room in time.
  void DenyLate(std::vector<RoomDecision>& decisions);
  /// @param tokens_ahead  unread tokens of the calls that go before this one.
  [[nodiscard]] Duration PredictWait(const RoomCall& call,
                                     double tokens_ahead) const;

  const Clock& m_clock;
  EngineRoom m_engine;
  std::unordered_map<RequestId, Room> m_rooms;
  std::vector<WaitingCall> m_waiting;
  std::unordered_map<OrganisationId, Usage> m_usage;
  /// When the engine will have read what has room.
  TimePoint m_busy_until{};
  /// Tokens of the calls that have got room since the engine rested.
  double m_tokens_since_rest = 0.0;
  std::uint64_t m_arrivals = 0;
  int m_grants_in_order = 0;
};

}  // namespace bambooquay
