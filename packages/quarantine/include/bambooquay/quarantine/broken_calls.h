// Calls whose connection broke, until it is known whether their upstream ended.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/upstream_run.h"
#include "bambooquay/quarantine/survival.h"

namespace bambooquay {

/// A call whose connection broke before its response was complete.
struct BrokenCall {
  std::vector<PromptPartId> parts;  ///< Shared parts of its prompt.
  UpstreamRun run;
  /// When the upstream began to respond, or got the call if it did not.
  TimePoint begun_at{};
  TimePoint broke_at{};
  CallProgress progress = kNoEvent;
  /// Whether its upstream could not be reached since.
  bool is_unreachable = false;
};

/// A run of an upstream on which a call broke that is not suspected.
struct BrokenRun {
  UpstreamRun run;
  TimePoint broke_at{};
  /// Whether its upstream could not be reached since.
  bool is_unreachable = false;
};

/// Tells crashes of upstreams from connections that broke for another reason,
/// such as a reset or a close of a kept connection: only a crash ends the run
/// of its upstream. The sign of that may come late, as the listing follows some
/// time after the start of the next run.
///
/// @code
/// BrokenCalls calls(clock);
/// calls.Record(call);
/// for (const BrokenCall& call : calls.TakeCrashed(find_present_run)) { ... }
/// @endcode
class BrokenCalls {
 public:
  /// @returns the present run of an upstream; nothing if it has ended and no
  ///   other one is known.
  using RunFinder =
      std::function<std::optional<UpstreamRun>(const UpstreamId& id)>;

  explicit BrokenCalls(const Clock& clock) noexcept : m_clock(clock) {}

  /// Records a call. Of one that is not suspected, as it has no shared part or
  /// broke too late, only its run is remembered.
  void Record(BrokenCall call);
  /// @returns the calls whose run has ended since, by its row or because it
  ///   cannot be reached, and forgets them. A call that began after another one
  ///   broke may have met the next run, if the upstream is listed with one: it
  ///   is returned, and remembered as one of that run, too.
  [[nodiscard]] std::vector<BrokenCall> TakeCrashed(
      const RunFinder& find_present_run);
  /// @returns the runs of calls that are not suspected which have ended since,
  ///   and forgets them.
  [[nodiscard]] std::vector<BrokenRun> TakeEndedRuns(
      const RunFinder& find_present_run);
  /// Records that a call which was sent at `sent_at` gets more of its response:
  /// the run has outlived the calls that broke meanwhile.
  void RecordProgress(const UpstreamRun& run, TimePoint sent_at);
  /// Records that no connection to an upstream could be made.
  void RecordUnreachable(const UpstreamRun& run);
  /// @returns the runs on which calls broke, and of which it is not known yet
  ///   whether they have ended. Some may occur several times.
  [[nodiscard]] std::vector<BrokenRun> FindOpenRuns() const;
  /// @returns whether no suspected call waits for the fate of its run.
  [[nodiscard]] bool empty() const noexcept { return m_calls.empty(); }

 private:
  const Clock& m_clock;
  /// In the order in which they broke.
  std::vector<BrokenCall> m_calls;
  /// By the first break on each; a run is in it once.
  std::vector<BrokenRun> m_runs;
};

}  // namespace bambooquay
