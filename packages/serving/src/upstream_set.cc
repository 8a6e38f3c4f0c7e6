// The upstreams that an entry knows and the choice of one for a call.
#include "bambooquay/serving/upstream_set.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>
#include <limits>

namespace bambooquay {
namespace {

// Prompt tokens that an engine reads in a millisecond, for weighing what is
// kept against load; only its order of magnitude matters.
constexpr double kPromptTokensPerMs = 40.0;
// Delay that one more running request adds to the first event of another.
constexpr double kMsPerRunning = 4.0;
// Cost of a failing upstream, in milliseconds at a failure share of 1.
constexpr double kFailureMs = 2000.0;
// Cost of leaving the own data centre: the way there, and the bytes between.
constexpr double kOtherDataCentreMs = 1.0;
constexpr double kOtherDataCentreMsPerKb = 0.5;
// Cost of a new connection: its round trips, and the upstream's work.
constexpr double kNewConnectionMs = 4.0;
// Delay of an adapter's load while the engine carries out another order.
constexpr double kBusyMs = 1000.0;
// Bonus of the engine that rendezvous hashing prefers for a prompt, in part of
// the time to read the shared parts.
constexpr double kPreferredShare = 0.5;
// Queue length, in requests for each slot, over which an upstream is full.
constexpr double kFullLoad = 1.5;
// A report older than this tells nothing of the load.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
// Weight of the last attempt in the failure share.
constexpr double kFailureWeight = 0.15;
// Failures fade with this time constant where nothing is tried.
constexpr Duration kFailureFade = std::chrono::seconds(3);
// How long an upstream is avoided after it could not be reached, doubled with
// each further failure.
constexpr Duration kFirstAvoidTime = std::chrono::milliseconds(200);
constexpr Duration kLongestAvoidTime = std::chrono::seconds(2);
constexpr Duration kShedAvoidTime = std::chrono::milliseconds(50);
// Failures in a row after which an upstream that answers is avoided.
constexpr int kFailuresToAvoid = 3;
// How long "the model is not here" is believed over an older report.
constexpr Duration kMissingTime = std::chrono::milliseconds(700);
// Cold upstreams get this part of what they bear, so that entries that
// disagree on their number keep the bound together.
constexpr double kColdShare = 0.9;
// Entries that may send to one cold upstream. Each may have one request ready
// at any moment, so that more of them could exceed the bound together.
constexpr std::size_t kMaxColdSenders = 5;
// A record's remaining time is rounded and travels to get here.
constexpr Duration kColdMargin = std::chrono::milliseconds(300);

/// @returns a rank for rendezvous hashing: the same in every process.
std::size_t CombineHash(std::size_t seed, const std::string& text) {
  boost::hash_combine(seed, text);
  return seed;
}

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

void UpstreamSet::SetEvacuated(const DataCentreId& data_centre,
                               bool evacuated) {
  if (evacuated) {
    m_evacuated.insert(data_centre);
  } else {
    m_evacuated.erase(data_centre);
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
         !IsEvacuated(upstream.record.data_centre);
}

bool UpstreamSet::HasFreshReport(const Upstream& upstream) const {
  return upstream.report.has_value() &&
         m_clock.Now() - upstream.reported_at < kReportLifetime;
}

Duration UpstreamSet::ReportAge(const Upstream& upstream) const {
  return upstream.report.has_value() ? m_clock.Now() - upstream.reported_at
                                     : Duration::max();
}

const std::vector<ResidentModel>& UpstreamSet::Models(
    const Upstream& upstream) const {
  return HasFreshReport(upstream) ? upstream.report->models
                                  : upstream.record.models;
}

bool UpstreamSet::KnownMissing(const Upstream& upstream,
                               const std::string& what) const {
  const auto found = upstream.missing.find(what);
  return found != upstream.missing.end() && found->second > m_clock.Now();
}

bool UpstreamSet::Holds(const Upstream& upstream,
                        const ModelName& model) const {
  const auto& models = Models(upstream);
  return std::ranges::find(models, model, &ResidentModel::name) !=
             models.end() &&
         !KnownMissing(upstream, model.value());
}

bool UpstreamSet::HoldsAdapter(const Upstream& upstream, const ModelName& model,
                               const AdapterName& adapter) const {
  const std::string key = AdapterKey(model, adapter);
  if (upstream.fresh_adapters.contains(key)) {
    return true;
  }
  const auto& models = Models(upstream);
  const auto held = std::ranges::find(models, model, &ResidentModel::name);
  return held != models.end() &&
         std::ranges::find(held->adapters, adapter) != held->adapters.end() &&
         !KnownMissing(upstream, key);
}

double UpstreamSet::Load(const Upstream& upstream) const {
  const auto own = static_cast<double>(upstream.in_flight);
  if (!HasFreshReport(upstream)) {
    return own *
           static_cast<double>(std::max<std::size_t>(1, m_entries.size()));
  }
  return std::max(own, static_cast<double>(upstream.report->running +
                                           upstream.report->waiting +
                                           upstream.sent_since_report));
}

double UpstreamSet::Cost(const Upstream& upstream,
                         const PickQuery& query) const {
  const Duration since_failure = m_clock.Now() - upstream.last_failure_at;
  const double fade =
      std::exp(-ToSeconds(since_failure) / ToSeconds(kFailureFade));
  double cost = upstream.failure_share * fade * kFailureMs;
  if (upstream.record.data_centre != m_own) {
    cost += kOtherDataCentreMs + static_cast<double>(query.body_bytes) /
                                     1024.0 * kOtherDataCentreMsPerKb;
  }
  if (!m_is_connected(upstream.record.address)) {
    cost += kNewConnectionMs;
  }
  const double load = Load(upstream);
  if (query.model.empty()) {
    const double slots = std::max(1, upstream.record.slots);
    return cost + load / slots * 100.0;
  }
  cost += load * kMsPerRunning;
  if (!query.prompt.empty()) {
    cost += (query.prompt_tokens - upstream.cache.KeptTokens(query.prompt)) /
            kPromptTokensPerMs;
  }
  return cost;
}

std::vector<UpstreamSet::Candidate> UpstreamSet::FindCandidates(
    const PickQuery& query) {
  const TimePoint now = m_clock.Now();
  PickCounts counts;
  std::vector<Candidate> candidates;
  for (auto& [id, upstream] : m_upstreams) {
    if (upstream.record.service != query.service || !Usable(upstream)) {
      continue;
    }
    ++counts.usable;
    if (!query.model.empty() && !Holds(upstream, query.model)) {
      continue;
    }
    ++counts.holding;
    if (!query.adapter.empty() &&
        !HoldsAdapter(upstream, query.model, query.adapter)) {
      continue;
    }
    ++counts.with_adapter;
    if (query.excluded.contains(id) || upstream.avoid_until > now) {
      ++counts.avoided;
      continue;
    }
    const double slots = std::max(1, upstream.record.slots);
    if (Load(upstream) >= slots * kFullLoad) {
      ++counts.full;
      continue;
    }
    candidates.push_back({&upstream, Cost(upstream, query)});
  }
  m_last_counts = counts;
  return candidates;
}

// Prompts with shared parts have a preferred engine that all entries agree on
// without talking to each other.
void UpstreamSet::PreferByPrompt(std::vector<Candidate>& candidates,
                                 const PickQuery& query) const {
  if (query.prompt.size() < 2) {
    return;
  }
  const std::uint64_t shared = query.prompt[query.prompt.size() - 2].hash;
  const auto weight = [&](const Candidate& candidate) {
    return CombineHash(shared, candidate.upstream->record.id.value());
  };
  const auto preferred = std::ranges::max_element(candidates, {}, weight);
  if (preferred != candidates.end()) {
    const double own = query.prompt.back().tokens;
    preferred->cost -=
        (query.prompt_tokens - own) / kPromptTokensPerMs * kPreferredShare;
  }
}

std::variant<UpstreamId, PickFailure> UpstreamSet::Pick(
    const PickQuery& query) {
  std::vector<Candidate> candidates = FindCandidates(query);
  if (m_last_counts.usable == 0) {
    return PickFailure::kNoUpstream;
  }
  if (m_last_counts.holding == 0) {
    return PickFailure::kModelMissing;
  }
  if (m_last_counts.with_adapter == 0) {
    return PickFailure::kAdapterMissing;
  }
  PreferByPrompt(candidates, query);
  // Equal costs are common when idle; the order is then random.
  std::ranges::for_each(candidates, [this](Candidate& candidate) {
    candidate.cost += static_cast<double>(m_random.Below(1000)) / 1000.0;
  });
  std::ranges::sort(candidates, {}, &Candidate::cost);
  const auto chosen =
      std::ranges::find_if(candidates, [this](const Candidate& candidate) {
        return TakeColdPermit(*candidate.upstream);
      });
  if (chosen == candidates.end()) {
    m_last_counts.cold = static_cast<int>(candidates.size());
    return PickFailure::kFull;
  }
  return chosen->upstream->record.id;
}

std::optional<UpstreamId> UpstreamSet::PickForAdapter(const PickQuery& query) {
  const Upstream* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  const std::string key = AdapterKey(query.model, query.adapter);
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.record.service != query.service || !Usable(upstream) ||
        query.excluded.contains(id) || upstream.avoid_until > m_clock.Now() ||
        !Holds(upstream, query.model)) {
      continue;
    }
    // Rendezvous order keeps an adapter on few engines.
    const std::size_t rank = CombineHash(CombineHash(0, key), id.value());
    const bool busy = HasFreshReport(upstream) && upstream.report->busy;
    const double cost = Cost(upstream, query) +
                        static_cast<double>(rank % 1000) / 10.0 +
                        (busy ? kBusyMs : 0.0);
    if (cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  return best == nullptr ? std::nullopt
                         : std::optional<UpstreamId>(best->record.id);
}

bool UpstreamSet::TakeColdPermit(Upstream& upstream) {
  const TimePoint now = m_clock.Now();
  if (upstream.cold_until <= now) {
    return true;
  }
  const auto rate = m_cold_rates.find(upstream.record.service);
  if (rate == m_cold_rates.end() || rate->second <= 0.0) {
    return true;
  }
  const auto senders = ColdSenders(upstream.record.id);
  if (!senders.has_value()) {
    return false;
  }
  const double own_rate =
      rate->second * kColdShare / static_cast<double>(*senders);
  const double seconds = ToSeconds(now - upstream.cold_refilled_at);
  upstream.cold_refilled_at = now;
  upstream.cold_level =
      std::min(1.0, upstream.cold_level + own_rate * std::min(seconds, 10.0));
  if (upstream.cold_level < 1.0) {
    return false;
  }
  upstream.cold_level -= 1.0;
  return true;
}

std::optional<std::size_t> UpstreamSet::ColdSenders(
    const UpstreamId& id) const {
  if (m_entries.size() <= kMaxColdSenders) {
    return std::max<std::size_t>(1, m_entries.size());
  }
  const auto rank_of = [&](const InstanceId& entry) {
    return CombineHash(CombineHash(0, id.value()), entry.value());
  };
  const std::size_t own = rank_of(m_self);
  const auto ahead = std::ranges::count_if(
      m_entries, [&](const InstanceId& entry) { return rank_of(entry) < own; });
  return static_cast<std::size_t>(ahead) < kMaxColdSenders
             ? std::optional<std::size_t>(kMaxColdSenders)
             : std::nullopt;
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
