// The state of the upstreams that an entry knows.
#include "bambooquay/serving/upstream_set.h"

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

// A report older than this says nothing about the current load.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
// Time without reports and responses after which an upstream gives no sign of
// life. Covers several reports of an engine in use.
constexpr Duration kSignOfLifeTime = std::chrono::seconds(1);
// Weight of the last attempt in the failure share.
constexpr double kFailureWeight = 0.15;
// How long an upstream is avoided or distrusted after a failure. Doubled with
// each further failure in a row.
constexpr Duration kFirstAvoidTime = std::chrono::milliseconds(200);
constexpr Duration kMaxAvoidTime = std::chrono::seconds(2);
// How long an upstream is avoided after it has rejected a call under load.
constexpr Duration kShedAvoidTime = std::chrono::milliseconds(50);
// Failures in a row after which an upstream that can be reached is avoided or
// distrusted.
constexpr int kFailuresToAvoid = 3;
// How long a response that a model is missing overrides the reports, as these
// may be older.
constexpr Duration kMissingTime = std::chrono::milliseconds(700);
// Margin on a record's remaining cold time, for its rounding and transmission.
constexpr Duration kColdMargin = std::chrono::milliseconds(300);

}  // namespace

UpstreamSet::UpstreamSet(const Clock& clock, RandomSource& random,
                         DataCentreId own_data_centre,
                         std::function<bool(const Endpoint&)> is_connected)
    : m_clock(clock),
      m_input_clock(&clock),
      m_random(random),
      m_own_data_centre(std::move(own_data_centre)),
      m_is_connected(std::move(is_connected)),
      m_data_centre_policy(clock, random),
      m_notices(clock) {}

void UpstreamSet::Put(const UpstreamRecord& record) {
  const TimePoint now = m_clock.Now();
  auto [found, is_new] = m_upstreams.try_emplace(record.id);
  Upstream& upstream = found->second;
  const bool restarted =
      !is_new && record.started_at_ms != upstream.record.started_at_ms;
  if (restarted) {
    const int in_flight = upstream.in_flight;
    upstream = Upstream{};
    upstream.in_flight = in_flight;
  }
  if (record.cold_remaining > Duration::zero()) {
    upstream.cold_until = std::max(upstream.cold_until,
                                   now + record.cold_remaining + kColdMargin);
  }
  upstream.record = record;
  upstream.has_engine = m_engine_services.contains(record.service);
  upstream.listed = true;
  upstream.removal_at.reset();
  // Runs of an upstream that names no start can't be told apart.
  if (record.draining && record.started_at_ms != 0) {
    m_notices.RecordLeaving(RunOf(upstream));
  }
  MarkSuperseded(upstream);
}

void UpstreamSet::MarkSuperseded(const Upstream& updated) {
  const UpstreamRecord& record = updated.record;
  std::ranges::for_each(m_upstreams, [&](auto& item) {
    const UpstreamRecord& other = item.second.record;
    if (other.id != record.id && other.address == record.address) {
      Upstream& older = other.started_at_ms < record.started_at_ms
                            ? item.second
                            : m_upstreams[record.id];
      older.superseded = true;
    }
  });
}

void UpstreamSet::Remove(const UpstreamId& id, Duration grace) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) {
    return;
  }
  if (grace > Duration::zero() && !found->second.record.draining) {
    found->second.removal_at = m_clock.Now() + grace;
    return;
  }
  found->second.listed = false;
  if (found->second.in_flight == 0) {
    m_upstreams.erase(found);
  }
}

void UpstreamSet::Tick() {
  const TimePoint now = m_clock.Now();
  std::ranges::for_each(m_upstreams, [&](auto& item) {
    Upstream& upstream = item.second;
    if (upstream.removal_at.has_value() && *upstream.removal_at <= now) {
      upstream.listed = false;
    }
  });
  std::erase_if(m_upstreams, [](const auto& item) {
    return !item.second.listed && item.second.in_flight == 0;
  });
  UpdateUsualWork();
  m_notices.RemoveExpired([this](const UpstreamRun& run) {
    const Upstream* upstream = Find(run.id);
    return upstream != nullptr && RunOf(*upstream) == run;
  });
}

void UpstreamSet::SetReport(const UpstreamId& id, const EngineReport& report) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  if (report.started_at_ms != 0 && upstream.record.started_at_ms != 0 &&
      report.started_at_ms < upstream.record.started_at_ms) {
    return;
  }
  upstream.report = report;
  upstream.reported_at = m_clock.Now();
  upstream.sent_since_report = 0;
  upstream.newly_loaded_adapters.clear();
}

void UpstreamSet::MergeReport(const UpstreamId& id,
                              const EngineReport& report) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end() || !found->second.report.has_value() ||
      found->second.report->started_at_ms != report.started_at_ms) {
    return;
  }
  Upstream& upstream = found->second;
  EngineReport merged = report;
  merged.models = std::move(upstream.report->models);
  merged.on_disk = std::move(upstream.report->on_disk);
  merged.in_host_memory = std::move(upstream.report->in_host_memory);
  upstream.report = std::move(merged);
  upstream.reported_at = m_clock.Now();
  upstream.sent_since_report = 0;
}

void UpstreamSet::SetWork(const UpstreamId& id,
                          const std::optional<EngineWork>& work,
                          const PromptPrefixes& read) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end() && work.has_value()) {
    found->second.work.Record(*work, m_clock.Now());
    found->second.prompt_cache.SetMemory(work->memory_tokens);
    found->second.prompt_cache.RecordPrompt(read);
  }
}

void UpstreamSet::UpdateUsualWork() {
  std::unordered_map<ServiceName, std::vector<EngineWork>> known;
  std::ranges::for_each(m_upstreams, [&](const auto& item) {
    const auto& work = item.second.work.last();
    if (work.has_value() && work->prompt_tokens_per_ms > 0.0) {
      known[item.second.record.service].push_back(*work);
    }
  });
  std::ranges::for_each(known, [this](auto& item) {
    auto& [service, works] = item;
    const auto median =
        works.begin() + static_cast<std::ptrdiff_t>(works.size() / 2);
    std::ranges::nth_element(works, median, {},
                             &EngineWork::prompt_tokens_per_ms);
    m_usual_work[service] = *median;
  });
}

void UpstreamSet::SetDataCentreDisabled(const DataCentreId& data_centre,
                                        bool disabled) {
  if (disabled) {
    m_disabled_data_centres.insert(data_centre);
  } else {
    m_disabled_data_centres.erase(data_centre);
  }
}

void UpstreamSet::SetEntries(const InstanceId& self,
                             std::vector<InstanceId> entries) {
  m_self = self;
  m_entries = std::move(entries);
}

void UpstreamSet::SetColdRate(const ServiceName& service,
                              double requests_per_second) {
  m_cold_rates[service] = requests_per_second;
}

void UpstreamSet::SetEngineServices(std::set<ServiceName> services) {
  m_engine_services = std::move(services);
  std::ranges::for_each(m_upstreams, [this](auto& item) {
    item.second.has_engine =
        m_engine_services.contains(item.second.record.service);
  });
}

std::optional<UpstreamRun> UpstreamSet::FindRun(const UpstreamId& id) const {
  const Upstream* upstream = Find(id);
  if (upstream == nullptr || !upstream->listed || upstream->superseded ||
      upstream->replaced) {
    return std::nullopt;
  }
  // The report of a new run may come before its row.
  const std::int64_t reported_start =
      upstream->report.has_value() ? upstream->report->started_at_ms : 0;
  return UpstreamRun{id,
                     std::max(reported_start, upstream->record.started_at_ms)};
}

void UpstreamSet::MarkReplaced(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    found->second.replaced = true;
  }
}

void UpstreamSet::MarkMissing(const UpstreamId& id, const ModelName& model,
                              const AdapterName& adapter) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    const std::string key = AdapterKey(model, adapter);
    found->second.missing_until[key] = m_clock.Now() + kMissingTime;
    found->second.newly_loaded_adapters.erase(key);
  }
}

void UpstreamSet::MarkAdapterLoaded(const UpstreamId& id,
                                    const ModelName& model,
                                    const AdapterName& adapter) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    const std::string key = AdapterKey(model, adapter);
    found->second.newly_loaded_adapters.insert(key);
    found->second.missing_until.erase(key);
  }
}

const Upstream* UpstreamSet::Find(const UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

bool UpstreamSet::IsUsable(const Upstream& upstream) const {
  const bool reported_draining =
      upstream.report.has_value() && upstream.report->draining;
  return upstream.listed && !upstream.superseded && !upstream.replaced &&
         !upstream.record.draining && !reported_draining &&
         !m_notices.IsLeaving(RunOf(upstream)) &&
         !IsDataCentreDisabled(upstream.record.data_centre);
}

bool UpstreamSet::HasFreshReport(const Upstream& upstream) const {
  return upstream.report.has_value() &&
         SilentSince(upstream.reported_at) < kReportLifetime;
}

std::optional<Duration> UpstreamSet::ReportAge(const Upstream& upstream) const {
  return upstream.report.has_value()
             ? std::optional(m_clock.Now() - upstream.reported_at)
             : std::nullopt;
}

SignOfLife UpstreamSet::FindSignOfLife(const Upstream& upstream) const {
  if (!upstream.has_engine || !upstream.report.has_value()) {
    return SignOfLife::kUnknown;
  }
  return SilentSince(std::max(upstream.reported_at,
                              upstream.last_progress_at)) < kSignOfLifeTime
             ? SignOfLife::kRecent
             : SignOfLife::kNone;
}

std::optional<Duration> UpstreamSet::SilentFor(const Upstream& upstream) const {
  return upstream.in_flight > 0
             ? std::optional(
                   m_clock.Now() -
                   std::max(upstream.in_use_since, upstream.last_progress_at))
             : std::nullopt;
}

const std::vector<LoadedModel>& UpstreamSet::Models(
    const Upstream& upstream) const {
  return HasFreshReport(upstream) ? upstream.report->models
                                  : upstream.record.models;
}

void UpstreamSet::RecordAttemptStart(const UpstreamId& id,
                                     const PickQuery& query) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  const TimePoint now = m_clock.Now();
  if (upstream.in_flight++ == 0) {
    upstream.in_use_since = now;
  }
  ++upstream.sent_since_report;
  upstream.last_attempt_at = now;
  upstream.work.RecordSent(query.prompt_tokens -
                           upstream.prompt_cache.CachedTokens(query.prompt));
  upstream.prompt_cache.RecordPrompt(query.prompt);
}

void UpstreamSet::RecordProgress(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    found->second.last_progress_at = m_clock.Now();
  }
}

void UpstreamSet::RecordAttemptResult(const UpstreamId& id,
                                      const PickQuery& query,
                                      AttemptResult result) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  const TimePoint now = m_clock.Now();
  upstream.in_flight = std::max(0, upstream.in_flight - 1);
  const auto extend = [&](TimePoint& until) {
    const Duration time =
        std::min(kFirstAvoidTime * (1 << std::min(upstream.failures_in_row, 6)),
                 kMaxAvoidTime);
    until = std::max(until, now + time);
  };
  const auto record_failure = [&] {
    upstream.failure_share += (1.0 - upstream.failure_share) * kFailureWeight;
    upstream.last_failure_at = now;
    ++upstream.failures_in_row;
  };
  switch (result) {
    case AttemptResult::kServed:
      upstream.failure_share *= 1.0 - kFailureWeight;
      upstream.failures_in_row = 0;
      break;
    case AttemptResult::kShed:
      upstream.avoid_until =
          std::max(upstream.avoid_until, now + kShedAvoidTime);
      break;
    case AttemptResult::kMisdirected:
      MarkMissing(id, query.model, query.adapter);
      break;
    case AttemptResult::kUnreachable:
      extend(upstream.avoid_until);
      record_failure();
      break;
    case AttemptResult::kBroken:
    case AttemptResult::kFailed:
    case AttemptResult::kTimedOut:
      record_failure();
      if (const SignOfLife sign = FindSignOfLife(upstream);
          sign == SignOfLife::kNone ||
          upstream.failures_in_row >= kFailuresToAvoid) {
        const bool is_alive =
            result == AttemptResult::kFailed || sign == SignOfLife::kRecent;
        extend(is_alive ? upstream.distrust_until : upstream.avoid_until);
      }
      break;
    case AttemptResult::kCancelled:
      break;
  }
  if (!upstream.listed && upstream.in_flight == 0) {
    m_upstreams.erase(found);
  }
}

}  // namespace bambooquay
