// Reports the usage of each window to the platform, at the holder of the
// duties.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/wall_clock.h"
#include "bambooquay/duties/duty_client.h"
#include "bambooquay/duties/usage_collector.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

/// Key of the row with the settled reports, in the table of the duties.
inline constexpr const char* kUsageKey = "usage";

/// A report that is settled: nobody sends other counts for its window.
struct SettledReport {
  UsageReport report;
  bool is_reported = false;  ///< The platform has accepted it.

  friend bool operator==(const SettledReport&, const SettledReport&) = default;
};

/// The row with the settled reports.
struct SettledUsage {
  /// Newest window that is settled; its usage may also have been unknown.
  UsageWindow through{};
  /// The latest ones, in the order of the windows.
  std::vector<SettledReport> reports;

  friend bool operator==(const SettledUsage&, const SettledUsage&) = default;
};

[[nodiscard]] std::string EncodeUsage(const SettledUsage& usage);
/// @returns nothing if `text` is no such row.
[[nodiscard]] std::optional<SettledUsage> DecodeUsage(std::string_view text);

struct UsageReporterSettings {
  UnixTime window_length{};
  UnixTime lateness{};  ///< After the end of a window, when its report is due.
  /// The first window to report, if none was settled before.
  UsageWindow first_window{};
};

/// Settles the counts of each window in the store, and then sends them to the
/// platform until it accepts them. The row is written by compare-and-set, so
/// that a window has one report, whoever sends it.
class UsageReporter {
 public:
  using SourceList = std::function<std::vector<UsageSource>()>;

  /// @param list_sources  returns the present runs of all entries.
  UsageReporter(const Clock& clock, const WallClock& wall_clock,
                FleetTable& table, DutyClient& client, Metrics& metrics,
                const UsageReporterSettings& settings, SourceList list_sources);

  /// Records the counts of an entry.
  void Merge(const InstanceId& entry, std::uint64_t incarnation,
             const UsageCounts& counts);
  /// To be called while this entry does not hold the lease: another one may
  /// settle reports. The counts are kept.
  void Resign();
  /// Takes the next step.
  /// @param grant  of the lease, for one call; nothing if there is none.
  void Tick(const std::optional<DutyGrant>& grant);

  /// @returns whether a call to the platform is in progress.
  [[nodiscard]] bool is_calling() const noexcept {
    return m_step == Step::kReport;
  }
  /// @returns the time for which calls to the platform have failed; zero if the
  ///   last one got a response.
  [[nodiscard]] Duration FailingFor() const;
  /// @returns the newest settled window; 0 if it is not known.
  [[nodiscard]] UsageWindow settled_through() const noexcept;
  /// @returns the time since the platform last accepted a report from this
  ///   entry.
  [[nodiscard]] std::optional<Duration> SuccessAge() const;

 private:
  enum class Step : std::uint8_t { kNone, kLoad, kSettle, kReport };

  void Load();
  void HandleRow(const TablePage& page);
  /// Settles the next window if it is due.
  /// @returns whether it has started to.
  bool SettleNext();
  void WriteSettled(const SettledUsage& settled, const CollectedUsage& usage);
  /// Sends the oldest settled report that the platform has not accepted.
  void ReportNext(const DutyGrant& grant);
  void HandleReported(UsageWindow window, DutyCallResult result);
  std::uint64_t Begin(Step step);
  /// @returns whether the call is the one in progress, which has then ended.
  bool Finish(std::uint64_t number);
  void CountWindow(std::string_view result);
  /// Says what is not known of a window that was settled.
  void LogIncomplete(UsageWindow window, const CollectedUsage& usage);

  const Clock& m_clock;
  const WallClock& m_wall_clock;
  FleetTable& m_table;
  DutyClient& m_client;
  Metrics& m_metrics;
  UsageReporterSettings m_settings;
  SourceList m_list_sources;
  UsageCollector m_collector;
  std::uint64_t m_fencing_token = 0;  ///< Of the grant for the row below.
  /// The row as it is in the store, with what the platform has accepted since;
  /// nothing until it was read.
  std::optional<SettledUsage> m_settled;
  std::uint64_t m_row_version = 0;
  TimePoint m_collects_until{};  ///< Nothing is settled before this time.
  Step m_step = Step::kNone;
  std::uint64_t m_call_number = 0;
  TimePoint m_call_begun_at{};
  TimePoint m_next_call_at{};
  std::optional<TimePoint> m_failing_since;
  std::optional<TimePoint> m_success_at;
};

}  // namespace bambooquay
