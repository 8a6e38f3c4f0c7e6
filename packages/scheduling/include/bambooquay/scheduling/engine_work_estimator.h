// Estimates what an engine works on and how fast it is, from its own reports
// and from the calls that entries announce.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_report.h"
#include "bambooquay/core/engine_work.h"
#include "bambooquay/core/ids.h"

namespace bambooquay {

/// The work of one engine. Prompts are assumed to be read in the order in which
/// their calls were announced.
///
/// Invariant: a call is unread from its announcement until its entry or a
/// report says that it has begun, its entry releases it, or it expires.
///
/// @code
/// EngineWorkEstimator estimator(clock);
/// estimator.Announce(RequestId("1"), 2890.0);
/// estimator.RecordReport(report);
/// const EngineWork work = estimator.Current();
/// @endcode
class EngineWorkEstimator {
 public:
  explicit EngineWorkEstimator(const Clock& clock) : m_clock(clock) {}

  /// Records that a call is on its way to the engine. Ignored if it was
  /// announced before and has not ended.
  /// @param unread_tokens  prompt tokens that the engine has to read.
  void Announce(const RequestId& call, double unread_tokens);
  /// Records that the call has sent its first event: its prompt has been read.
  void RecordFirstEvent(const RequestId& call);
  /// Records that the call has ended or will not come.
  void Release(const RequestId& call);
  /// A report of another run of the engine discards what is known of the calls.
  void RecordReport(const EngineReport& report);

  [[nodiscard]] EngineWork Current() const;
  /// @returns the time since the last report, if there is one.
  [[nodiscard]] std::optional<Duration> Age() const;
  /// @returns from 0 to 1 how much of the rate is measured.
  [[nodiscard]] double Confidence() const;

 private:
  struct UnreadCall {
    RequestId id;
    double tokens = 0.0;  ///< To be read.
    TimePoint announced_at{};
  };
  /// Sums over the time in which the engine read prompts. Older ones count
  /// less.
  struct Reading {
    double tokens = 0.0;
    double ms = 0.0;
  };

  /// Records the unread calls that the report shows as begun.
  void RecordRuns(const EngineReport& report);
  void RecordBegin(const UnreadCall& call, TimePoint begun_at);
  /// Measures the event interval if no prompt was read since the last report.
  void RecordEvents(const EngineReport& report);
  void RemoveExpired(const EngineReport& report);
  [[nodiscard]] double Rate() const;
  /// @returns the tokens of calls that were not announced.
  [[nodiscard]] double UnannouncedTokens() const;
  /// @returns when the engine began to read the first unread prompt.
  [[nodiscard]] TimePoint HeadBegan() const;

  const Clock& m_clock;
  std::deque<UnreadCall> m_unread;  ///< In the order of announcement.
  std::optional<EngineReport> m_report;
  TimePoint m_reported_at{};
  /// Events of each run in the last report.
  std::unordered_map<RequestId, int> m_events;
  /// When the last run began.
  TimePoint m_last_begun_at{};
  /// Whether a prompt was unread at any time since the last report.
  bool m_has_read = false;
  int m_reports_without_unread = 0;
  Reading m_reading;
  double m_best_rate = 0.0;
  Duration m_event_interval{};
};

}  // namespace bambooquay
