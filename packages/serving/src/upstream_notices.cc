// What upstreams say in their responses about the calls that they take.
#include "bambooquay/serving/upstream_notices.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

// Lower bound on a call limit. A few calls are needed to learn that the limit
// has ended.
constexpr CallsPerSecond kMinCallLimit{0.25};
// A change is reported for this long, so that an entry that misses some
// datagrams still learns of it.
constexpr Duration kReportTime = std::chrono::seconds(2);
// Number of limits in one status, which is one datagram.
constexpr std::size_t kMaxReports = 32;
// Rows that expired while the store was away come back within seconds; a run
// that is not listed for this long has ended.
constexpr Duration kForgetAfter = std::chrono::minutes(10);

}  // namespace

UpstreamNotices::Notices& UpstreamNotices::Add(const UpstreamRun& run) {
  const auto [found, is_new] = m_notices.try_emplace(run);
  if (is_new) {
    found->second.last_listed_at = m_clock.Now();
  }
  return found->second;
}

void UpstreamNotices::RecordLeaving(const UpstreamRun& run) {
  if (!std::exchange(Add(run).is_leaving, true)) {
    LogEvent(LogLevel::kInfo, "upstream_leaving")
        .With("upstream", run.id.value());
  }
}

bool UpstreamNotices::IsLeaving(const UpstreamRun& run) const {
  const auto found = m_notices.find(run);
  return found != m_notices.end() && found->second.is_leaving;
}

void UpstreamNotices::RecordTurnedAway(const UpstreamRun& run, Duration time) {
  TimePoint& until = Add(run).turned_away_until;
  until = std::max(until, m_clock.Now() + time);
  LogEvent(LogLevel::kInfo, "turned_away")
      .With("upstream", run.id.value())
      .With("time_ms", time / std::chrono::milliseconds(1));
}

Duration UpstreamNotices::TurnedAwayFor(const UpstreamRun& run) const {
  const auto found = m_notices.find(run);
  return found == m_notices.end()
             ? Duration::zero()
             : std::max(Duration::zero(),
                        found->second.turned_away_until - m_clock.Now());
}

bool UpstreamNotices::SetCallLimit(const UpstreamRun& run,
                                   std::optional<CallsPerSecond> limit,
                                   TimePoint stated_at,
                                   std::string_view source) {
  if (limit.has_value()) {
    limit = std::max(*limit, kMinCallLimit);
  } else if (!m_notices.contains(run)) {
    return false;
  }
  Notices& notices = Add(run);
  if (stated_at < notices.call_limit_stated_at) {
    return false;
  }
  notices.call_limit_stated_at = stated_at;
  if (notices.call_limit == limit) {
    return false;
  }
  notices.call_limit = limit;
  notices.call_limit_changed_at.reset();
  LogEvent(LogLevel::kInfo, "call_limit")
      .With("upstream", run.id.value())
      .With("per_second", limit.has_value() ? limit->value : -1.0)
      .With("from", source);
  return true;
}

void UpstreamNotices::RecordCallLimit(const UpstreamRun& run,
                                      const CallLimitNotice& notice) {
  if (std::holds_alternative<UnreadableCallLimit>(notice)) {
    LogEvent(LogLevel::kWarning, "call_limit_unreadable")
        .With("upstream", run.id.value());
    return;
  }
  const auto* limit = std::get_if<CallsPerSecond>(&notice);
  const TimePoint now = m_clock.Now();
  if (SetCallLimit(run, limit == nullptr ? std::nullopt : std::optional(*limit),
                   now, "response")) {
    m_notices.at(run).call_limit_changed_at = now;
  }
}

std::optional<CallsPerSecond> UpstreamNotices::CallLimit(
    const UpstreamRun& run) const {
  const auto found = m_notices.find(run);
  return found == m_notices.end() ? std::nullopt : found->second.call_limit;
}

std::vector<CallLimitReport> UpstreamNotices::MakeReports() const {
  const TimePoint now = m_clock.Now();
  std::vector<CallLimitReport> reports;
  for (const auto& [run, notices] : m_notices) {
    if (notices.call_limit_changed_at.has_value() &&
        now - *notices.call_limit_changed_at < kReportTime) {
      reports.push_back(
          {run, notices.call_limit, now - notices.call_limit_stated_at});
    }
  }
  if (reports.size() > kMaxReports) {
    std::ranges::sort(reports, {}, &CallLimitReport::age);
    reports.resize(kMaxReports);
  }
  return reports;
}

void UpstreamNotices::Merge(const std::vector<CallLimitReport>& reports) {
  const TimePoint now = m_clock.Now();
  std::ranges::for_each(reports, [&](const CallLimitReport& report) {
    SetCallLimit(report.run, report.limit, now - report.age, "entry");
  });
}

void UpstreamNotices::RemoveExpired(
    const std::function<bool(const UpstreamRun&)>& is_listed) {
  const TimePoint now = m_clock.Now();
  std::ranges::for_each(m_notices, [&](auto& item) {
    if (is_listed(item.first)) {
      item.second.last_listed_at = now;
    }
  });
  std::erase_if(m_notices, [now](const auto& item) {
    return now - item.second.last_listed_at > kForgetAfter;
  });
}

}  // namespace bambooquay
