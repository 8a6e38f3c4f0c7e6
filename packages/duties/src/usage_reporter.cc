// Reports the usage of each window to the platform, at the holder of the
// duties.
#include "bambooquay/duties/usage_reporter.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/duties/duty_lease.h"
#include "bambooquay/duties/usage_window.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration kStoreTimeout = milliseconds(800);
constexpr Duration kRetryDelay = milliseconds(400);
// A new holder gets the counts of all entries within a few of their ticks.
constexpr Duration kCollectTime = milliseconds(1000);
// Entries that are silent may come back until this part of the time in which a
// report is due.
constexpr int kWaitDivisor = 2;
// A report is sent for this many times the time in which it is due: a late one
// still serves the bill.
constexpr int kLateReports = 3;

std::string JoinIds(const std::vector<InstanceId>& ids) {
  std::string text;
  for (const InstanceId& id : ids) {
    text += (text.empty() ? "" : ",") + id.value();
  }
  return text;
}

}  // namespace

std::string EncodeUsage(const SettledUsage& usage) {
  Json reports = Json::array();
  for (const SettledReport& settled : usage.reports) {
    Json counts = Json::object();
    for (const auto& [organisation, count] : settled.report.counts) {
      counts[organisation.value()] = count;
    }
    reports.push_back({{"window", ToNumber(settled.report.window)},
                       {"reported", settled.is_reported},
                       {"counts", std::move(counts)}});
  }
  return Json{{"through", ToNumber(usage.through)},
              {"reports", std::move(reports)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<SettledUsage> DecodeUsage(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    SettledUsage usage;
    usage.through = UsageWindow{json.at("through").get<std::uint64_t>()};
    for (const Json& item : json.at("reports")) {
      SettledReport settled;
      settled.report.window =
          UsageWindow{item.at("window").get<std::uint64_t>()};
      settled.is_reported = item.at("reported").get<bool>();
      for (const auto& [organisation, count] : item.at("counts").items()) {
        settled.report.counts[OrganisationId(organisation)] =
            count.get<std::uint64_t>();
      }
      usage.reports.push_back(std::move(settled));
    }
    return usage;
  } catch (const Json::exception& error) {
    LogEvent(LogLevel::kError, "usage_row_unreadable")
        .With("error", error.what());
    return std::nullopt;
  }
}

UsageReporter::UsageReporter(const Clock& clock, const WallClock& wall_clock,
                             FleetTable& table, DutyClient& client,
                             Metrics& metrics,
                             const UsageReporterSettings& settings,
                             SourceList list_sources)
    : m_clock(clock),
      m_wall_clock(wall_clock),
      m_table(table),
      m_client(client),
      m_metrics(metrics),
      m_settings(settings),
      m_list_sources(std::move(list_sources)),
      m_collector(settings.window_length) {}

void UsageReporter::Merge(const InstanceId& entry, std::uint64_t incarnation,
                          const UsageCounts& counts) {
  const std::uint64_t grown = m_collector.Merge(entry, incarnation, counts);
  if (grown > 0 && m_settled.has_value() &&
      counts.window <= m_settled->through) {
    m_metrics.Increment("usage_runs_late_total", static_cast<double>(grown));
    LogEvent(LogLevel::kWarning, "usage_late")
        .With("window", ToNumber(counts.window))
        .With("entry", entry.value())
        .With("runs", grown);
  }
}

void UsageReporter::Resign() {
  m_settled.reset();
  m_fencing_token = 0;
  m_step = Step::kNone;
  m_failing_since.reset();
}

void UsageReporter::Tick(const std::optional<DutyGrant>& grant) {
  const TimePoint now = m_clock.Now();
  m_collector.DropBefore(Before(
      WindowAt(m_wall_clock.Now(), m_settings.window_length), kKeptWindows));
  if (!grant.has_value()) {
    return;
  }
  if (std::exchange(m_fencing_token, grant->fencing_token) !=
      grant->fencing_token) {
    m_settled.reset();
    m_step = Step::kNone;
    m_next_call_at = now;
    m_collects_until = now + kCollectTime;
  }
  const bool waits_for_store = m_step == Step::kLoad || m_step == Step::kSettle;
  if (waits_for_store && now - m_call_begun_at >= kStoreTimeout) {
    m_step = Step::kNone;
  }
  if (m_step != Step::kNone || now < m_next_call_at) {
    return;
  }
  if (!m_settled.has_value()) {
    Load();
  } else if (!SettleNext()) {
    ReportNext(*grant);
  }
}

std::uint64_t UsageReporter::Begin(Step step) {
  m_step = step;
  m_call_begun_at = m_clock.Now();
  return ++m_call_number;
}

bool UsageReporter::Finish(std::uint64_t number) {
  if (number != m_call_number || m_step == Step::kNone) {
    return false;
  }
  m_step = Step::kNone;
  return true;
}

void UsageReporter::Load() {
  const std::uint64_t number = Begin(Step::kLoad);
  m_table.List(kDutyTable, "", [this, number](const TableResult& result) {
    if (!Finish(number)) {
      return;
    }
    if (const auto* page = std::get_if<TablePage>(&result)) {
      HandleRow(*page);
    } else {
      m_next_call_at = m_clock.Now() + kRetryDelay;
    }
  });
}

void UsageReporter::HandleRow(const TablePage& page) {
  const auto row = std::ranges::find(page.rows, kUsageKey, &TableRow::key);
  if (row == page.rows.end()) {
    m_row_version = 0;
    m_settled = SettledUsage{Before(m_settings.first_window, 1), {}};
    return;
  }
  auto usage = DecodeUsage(row->value);
  if (!usage.has_value()) {
    // Without the row, another report could be sent for a window that has one.
    m_next_call_at = m_clock.Now() + m_settings.window_length;
    return;
  }
  m_row_version = row->version;
  m_settled = std::move(usage);
}

bool UsageReporter::SettleNext() {
  const UnixTime length = m_settings.window_length;
  const UnixTime wall_now = m_wall_clock.Now();
  const UsageWindow oldest =
      Before(WindowAt(wall_now, length), kKeptWindows - 1);
  if (Next(m_settled->through) < oldest) {
    // The fleet did not run, or could not settle anything, for a long time.
    LogEvent(LogLevel::kWarning, "usage_windows_skipped")
        .With("from", ToNumber(Next(m_settled->through)))
        .With("to", ToNumber(Before(oldest, 1)));
    m_metrics.Increment("usage_windows_total{result=\"skipped\"}",
                        static_cast<double>(ToNumber(oldest) -
                                            ToNumber(m_settled->through) - 1));
    m_settled->through = Before(oldest, 1);
  }
  const UsageWindow window = Next(m_settled->through);
  const UnixTime end = EndOf(window, length);
  if (wall_now < end || m_clock.Now() < m_collects_until) {
    return false;
  }
  const CollectedUsage usage = m_collector.Collect(window, m_list_sources());
  if (!usage.missing.empty() &&
      wall_now < end + m_settings.lateness / kWaitDivisor) {
    return false;
  }
  SettledUsage settled = *m_settled;
  settled.through = window;
  if (usage.is_known) {
    settled.reports.push_back({{window, usage.counts}, false});
  }
  if (settled.reports.size() > kKeptWindows) {
    settled.reports.erase(settled.reports.begin());
  }
  WriteSettled(settled, usage);
  return true;
}

void UsageReporter::LogIncomplete(UsageWindow window,
                                  const CollectedUsage& usage) {
  if (!usage.is_known) {
    CountWindow("unknown");
    LogEvent(LogLevel::kWarning, "usage_unknown")
        .With("window", ToNumber(window));
    return;
  }
  // Before the first report there were no entries.
  const bool is_cut = usage.lacks_begin && m_settled->reports.size() > 1;
  if (usage.missing.empty() && usage.lost.empty() && !is_cut) {
    return;
  }
  CountWindow("incomplete");
  LogEvent(LogLevel::kWarning, "usage_incomplete")
      .With("window", ToNumber(window))
      .With("missing", JoinIds(usage.missing))
      .With("lost", JoinIds(usage.lost))
      .With("all_restarted", is_cut ? "yes" : "no")
      .With("runs", TotalOf(usage.counts));
}

void UsageReporter::WriteSettled(const SettledUsage& settled,
                                 const CollectedUsage& usage) {
  const std::uint64_t number = Begin(Step::kSettle);
  TableWrite write;
  write.expected.push_back({kDutyTable, kUsageKey, "", m_row_version, false});
  write.puts.push_back({kDutyTable, kUsageKey, EncodeUsage(settled), 0, false});
  m_table.Write(
      write, [this, number, settled, usage](const TableWriteResult& result) {
        if (!Finish(number)) {
          return;
        }
        if (const auto* page = std::get_if<TablePage>(&result)) {
          m_row_version = page->position.version;
          m_settled = settled;
          LogIncomplete(settled.through, usage);
        } else if (const auto* conflict = std::get_if<TableConflict>(&result)) {
          // Written by an earlier holder, or by a call whose response was lost.
          HandleRow(conflict->current);
        } else {
          m_next_call_at = m_clock.Now() + kRetryDelay;
        }
      });
}

void UsageReporter::ReportNext(const DutyGrant& grant) {
  const auto next =
      std::ranges::find(m_settled->reports, false, &SettledReport::is_reported);
  if (next == m_settled->reports.end()) {
    return;
  }
  const UsageWindow window = next->report.window;
  const UnixTime age =
      m_wall_clock.Now() - EndOf(window, m_settings.window_length);
  if (age > m_settings.lateness * kLateReports) {
    LogEvent(LogLevel::kError, "usage_report_missed")
        .With("window", ToNumber(window))
        .With("runs", TotalOf(next->report.counts));
    CountWindow("missed");
    next->is_reported = true;
    return;
  }
  const std::uint64_t number = Begin(Step::kReport);
  m_client.ReportUsage(grant, next->report,
                       [this, number, window](DutyCallResult result) {
                         if (Finish(number)) {
                           HandleReported(window, result);
                         }
                       });
}

void UsageReporter::HandleReported(UsageWindow window, DutyCallResult result) {
  const TimePoint now = m_clock.Now();
  m_metrics.Increment("duty_calls_total{duty=\"usage\",result=\"" +
                      std::string(ToString(result)) + "\"}");
  const bool failed =
      result == DutyCallResult::kNotSent || result == DutyCallResult::kUnknown;
  if (!failed) {
    m_failing_since.reset();
  } else if (!m_failing_since.has_value()) {
    m_failing_since = m_call_begun_at;
  }
  const auto settled = std::ranges::find_if(
      m_settled->reports, [window](const SettledReport& item) {
        return item.report.window == window;
      });
  if (settled == m_settled->reports.end()) {
    return;
  }
  LogEvent event(result == DutyCallResult::kAccepted ? LogLevel::kInfo
                                                     : LogLevel::kWarning,
                 "usage_report");
  event.With("window", ToNumber(window))
      .With("result", ToString(result))
      .With("token", m_fencing_token)
      .With("runs", TotalOf(settled->report.counts))
      .With("age_ms",
            (m_wall_clock.Now() - EndOf(window, m_settings.window_length))
                .count());
  switch (result) {
    case DutyCallResult::kAccepted:
      m_success_at = now;
      settled->is_reported = true;
      CountWindow("reported");
      return;
    case DutyCallResult::kRejected:
      // The same report would be rejected again, and no other may be sent.
      settled->is_reported = true;
      CountWindow("rejected");
      return;
    default:
      m_next_call_at = now + kRetryDelay;
  }
}

void UsageReporter::CountWindow(std::string_view result) {
  m_metrics.Increment("usage_windows_total{result=\"" + std::string(result) +
                      "\"}");
}

Duration UsageReporter::FailingFor() const {
  return m_failing_since.has_value() ? m_clock.Now() - *m_failing_since
                                     : Duration::zero();
}

UsageWindow UsageReporter::settled_through() const noexcept {
  return m_settled.has_value() ? m_settled->through : UsageWindow{};
}

std::optional<Duration> UsageReporter::SuccessAge() const {
  return m_success_at.has_value() ? std::optional(m_clock.Now() - *m_success_at)
                                  : std::nullopt;
}

}  // namespace bambooquay
