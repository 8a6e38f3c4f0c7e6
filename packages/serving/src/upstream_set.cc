// What an entry believes of the upstreams that it knows.
#include "bambooquay/serving/upstream_set.h"

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

// A report older than this tells nothing of the load.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
// Weight of the last attempt in the failure share.
constexpr double kFailureWeight = 0.15;
// How long an upstream is avoided after it could not be reached, doubled with
// each further failure.
constexpr Duration kFirstAvoidTime = std::chrono::milliseconds(200);
constexpr Duration kLongestAvoidTime = std::chrono::seconds(2);
constexpr Duration kShedAvoidTime = std::chrono::milliseconds(50);
// Failures in a row after which an upstream that answers is avoided.
constexpr int kFailuresToAvoid = 3;
// How long "the model is not here" is believed over an older report.
constexpr Duration kMissingTime = std::chrono::milliseconds(700);
// A record's remaining time is rounded and travels to get here.
constexpr Duration kColdMargin = std::chrono::milliseconds(300);

}  // namespace

UpstreamSet::UpstreamSet(const Clock& clock, RandomSource& random,
                         DataCentreId own_data_centre,
                         std::function<bool(const Endpoint&)> is_connected)
    : m_clock(clock),
      m_random(random),
      m_own(std::move(own_data_centre)),
      m_is_connected(std::move(is_connected)) {}

void UpstreamSet::Put(const UpstreamRecord& record) {
  const TimePoint now = m_clock.Now();
  auto [known, is_new] = m_upstreams.try_emplace(record.id);
  Upstream& upstream = known->second;
  const bool restarted = !is_new && record.born_ms != upstream.record.born_ms;
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
  upstream.gone_at.reset();
  Supersede(upstream);
}

void UpstreamSet::Supersede(const Upstream& newest) {
  const UpstreamRecord& record = newest.record;
  std::ranges::for_each(m_upstreams, [&](auto& item) {
    const UpstreamRecord& other = item.second.record;
    if (other.id != record.id && other.address == record.address) {
      Upstream& older =
          other.born_ms < record.born_ms ? item.second : m_upstreams[record.id];
      older.superseded = true;
    }
  });
}

void UpstreamSet::Remove(const UpstreamId& id, Duration grace) {
  const auto known = m_upstreams.find(id);
  if (known == m_upstreams.end()) {
    return;
  }
  if (grace > Duration::zero() && !known->second.record.draining) {
    known->second.gone_at = m_clock.Now() + grace;
    return;
  }
  known->second.listed = false;
  if (known->second.in_flight == 0) {
    m_upstreams.erase(known);
  }
}

void UpstreamSet::Tick() {
  const TimePoint now = m_clock.Now();
  std::ranges::for_each(m_upstreams, [&](auto& item) {
    Upstream& upstream = item.second;
    if (upstream.gone_at.has_value() && *upstream.gone_at <= now) {
      upstream.listed = false;
    }
  });
  std::erase_if(m_upstreams, [](const auto& item) {
    return !item.second.listed && item.second.in_flight == 0;
  });
}

void UpstreamSet::SetReport(const UpstreamId& id, const EngineReport& report) {
  const auto known = m_upstreams.find(id);
  if (known == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = known->second;
  if (report.born_ms != 0 && upstream.record.born_ms != 0 &&
      report.born_ms < upstream.record.born_ms) {
    return;
  }
  upstream.report = report;
  upstream.reported_at = m_clock.Now();
  upstream.sent_since_report = 0;
  upstream.fresh_adapters.clear();
}

void UpstreamSet::SetBriefReport(const UpstreamId& id,
                                 const EngineReport& report) {
  const auto known = m_upstreams.find(id);
  if (known == m_upstreams.end() || !known->second.report.has_value() ||
      known->second.report->born_ms != report.born_ms) {
    return;
  }
  Upstream& upstream = known->second;
  EngineReport merged = report;
  merged.models = std::move(upstream.report->models);
  merged.on_disk = std::move(upstream.report->on_disk);
  merged.in_host_memory = std::move(upstream.report->in_host_memory);
  upstream.report = std::move(merged);
  upstream.reported_at = m_clock.Now();
  upstream.sent_since_report = 0;
}

void UpstreamSet::SetDataCentreOut(const DataCentreId& data_centre, bool out) {
  if (out) {
    m_centres_out.insert(data_centre);
  } else {
    m_centres_out.erase(data_centre);
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

void UpstreamSet::MarkLeaving(const UpstreamId& id) {
  const auto known = m_upstreams.find(id);
  if (known != m_upstreams.end()) {
    known->second.leaving = true;
  }
}

void UpstreamSet::MarkMissing(const UpstreamId& id, const ModelName& model,
                              const AdapterName& adapter) {
  const auto known = m_upstreams.find(id);
  if (known != m_upstreams.end()) {
    const std::string key = AdapterKey(model, adapter);
    known->second.missing[key] = m_clock.Now() + kMissingTime;
    known->second.fresh_adapters.erase(key);
  }
}

void UpstreamSet::MarkAdapterLoaded(const UpstreamId& id,
                                    const ModelName& model,
                                    const AdapterName& adapter) {
  const auto known = m_upstreams.find(id);
  if (known != m_upstreams.end()) {
    const std::string key = AdapterKey(model, adapter);
    known->second.fresh_adapters.insert(key);
    known->second.missing.erase(key);
  }
}

const Upstream* UpstreamSet::Find(const UpstreamId& id) const {
  const auto known = m_upstreams.find(id);
  return known == m_upstreams.end() ? nullptr : &known->second;
}

bool UpstreamSet::Usable(const Upstream& upstream) const {
  const bool report_drains =
      upstream.report.has_value() && upstream.report->draining;
  return upstream.listed && !upstream.superseded && !upstream.leaving &&
         !upstream.record.draining && !report_drains &&
         !IsDataCentreOut(upstream.record.data_centre);
}

bool UpstreamSet::HasFreshReport(const Upstream& upstream) const {
  return upstream.report.has_value() &&
         m_clock.Now() - upstream.reported_at < kReportLifetime;
}

std::optional<Duration> UpstreamSet::ReportAge(const Upstream& upstream) const {
  return upstream.report.has_value()
             ? std::optional(m_clock.Now() - upstream.reported_at)
             : std::nullopt;
}

const std::vector<ResidentModel>& UpstreamSet::Models(
    const Upstream& upstream) const {
  return HasFreshReport(upstream) ? upstream.report->models
                                  : upstream.record.models;
}

void UpstreamSet::Began(const UpstreamId& id, const PickQuery& query) {
  const auto known = m_upstreams.find(id);
  if (known == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = known->second;
  ++upstream.in_flight;
  ++upstream.sent_since_report;
  upstream.cache.Note(query.prompt);
}

void UpstreamSet::Ended(const UpstreamId& id, const PickQuery& query,
                        AttemptEnd end) {
  const auto known = m_upstreams.find(id);
  if (known == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = known->second;
  const TimePoint now = m_clock.Now();
  upstream.in_flight = std::max(0, upstream.in_flight - 1);
  const auto avoid = [&](Duration first) {
    const Duration time =
        std::min(first * (1 << std::min(upstream.failures_in_row, 6)),
                 kLongestAvoidTime);
    upstream.avoid_until = std::max(upstream.avoid_until, now + time);
  };
  const auto failed = [&] {
    upstream.failure_share += (1.0 - upstream.failure_share) * kFailureWeight;
    upstream.last_failure_at = now;
    ++upstream.failures_in_row;
  };
  switch (end) {
    case AttemptEnd::kServed:
      upstream.failure_share *= 1.0 - kFailureWeight;
      upstream.failures_in_row = 0;
      break;
    case AttemptEnd::kShed:
      upstream.avoid_until =
          std::max(upstream.avoid_until, now + kShedAvoidTime);
      break;
    case AttemptEnd::kNotThere:
      MarkMissing(id, query.model, query.adapter);
      break;
    case AttemptEnd::kUnreachable:
      avoid(kFirstAvoidTime);
      failed();
      break;
    case AttemptEnd::kBroken:
    case AttemptEnd::kFailed:
    case AttemptEnd::kTimedOut:
      failed();
      if (upstream.failures_in_row >= kFailuresToAvoid) {
        avoid(kFirstAvoidTime);
      }
      break;
    case AttemptEnd::kCancelled:
      break;
  }
  if (!upstream.listed && upstream.in_flight == 0) {
    m_upstreams.erase(known);
  }
}

}  // namespace bambooquay
