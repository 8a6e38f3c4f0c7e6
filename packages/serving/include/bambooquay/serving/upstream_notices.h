// What upstreams say in their responses about the calls that they take.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/units.h"
#include "bambooquay/core/upstream_run.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/call_codec.h"

namespace bambooquay {

/// Keeps for each run of an upstream what its newest response said, and what
/// other entries have heard from it. It holds until a newer response says
/// otherwise or the run ends, however long the upstream sends nothing.
///
/// Invariant: a statement never replaces a newer one.
///
/// @code
/// UpstreamNotices notices(clock);
/// notices.RecordCallLimit(run, info.call_limit);
/// if (const auto limit = notices.CallLimit(run)) { ... }
/// @endcode
class UpstreamNotices {
 public:
  explicit UpstreamNotices(const Clock& clock) noexcept : m_clock(clock) {}

  /// Records that a response or the store's list says that the upstream is
  /// leaving. It gets no calls until it starts anew, whatever the list says
  /// later: a store that has returned from an older copy lists it as ready.
  void RecordLeaving(const UpstreamRun& run);
  [[nodiscard]] bool IsLeaving(const UpstreamRun& run) const;
  /// Records that the upstream wants no calls from this entry for `time`. A
  /// later response does not shorten it.
  void RecordTurnedAway(const UpstreamRun& run, Duration time);
  /// @returns how much longer the upstream wants no calls from this entry.
  [[nodiscard]] Duration TurnedAwayFor(const UpstreamRun& run) const;
  /// Records what a response that has just arrived says about a call limit.
  void RecordCallLimit(const UpstreamRun& run, const CallLimitNotice& notice);
  /// @returns the calls per second that the upstream takes from all entries
  ///   together, more than zero; nothing if it names no limit.
  [[nodiscard]] std::optional<CallsPerSecond> CallLimit(
      const UpstreamRun& run) const;
  /// @returns the limits that responses to this entry have named, changed or
  ///   ended lately, the newest ones if there are many.
  [[nodiscard]] std::vector<CallLimitReport> MakeReports() const;
  /// Adds what another entry has reported.
  void Merge(const std::vector<CallLimitReport>& reports);
  /// Forgets the runs that have not been listed for a while.
  /// @param is_listed  returns whether a run is listed now.
  void RemoveExpired(const std::function<bool(const UpstreamRun&)>& is_listed);

 private:
  struct Notices {
    std::optional<CallsPerSecond> call_limit;
    TimePoint call_limit_stated_at{};
    /// When a response to this entry changed the limit; nothing if another
    /// entry was the first to hear of it.
    std::optional<TimePoint> call_limit_changed_at;
    bool is_leaving = false;
    TimePoint turned_away_until{};
    TimePoint last_listed_at{};
  };

  /// @returns the notices of a run, which are added if there are none.
  Notices& Add(const UpstreamRun& run);
  /// @returns whether the limit has changed.
  bool SetCallLimit(const UpstreamRun& run, std::optional<CallsPerSecond> limit,
                    TimePoint stated_at, std::string_view source);

  const Clock& m_clock;
  std::map<UpstreamRun, Notices> m_notices;
};

}  // namespace bambooquay
