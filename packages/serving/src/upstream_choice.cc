// The choice of an upstream for a call.
#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>
#include <limits>

#include "bambooquay/serving/upstream_set.h"

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
// Failures fade with this time constant where nothing is tried.
constexpr Duration kFailureFade = std::chrono::seconds(3);
/// What entries send to a cold upstream without asking anybody.
struct ColdShare {
  /// Part of what the upstream bears, over all entries.
  double part;
  /// Entries that may send. Each may have one request ready at any moment, so
  /// that more of them could exceed the bound together.
  std::size_t senders;
};

// Less than the whole, so that entries that disagree on their number keep the
// bound together.
constexpr ColdShare kShareWithoutAgent{0.9, 5};
// Where the agent cannot be reached: what is left beside its permits.
constexpr ColdShare kShareBesideAgent{0.2, 2};
// A permit is for a request that waits; it must not be used much later.
constexpr Duration kGrantLifetime = std::chrono::milliseconds(50);
// An agent that does not know yet what its engine bears denies without a time;
// asking it all the time is no use. Permits that were denied may be there
// sooner than told, as others do not use theirs.
constexpr Duration kShortestDenial = std::chrono::milliseconds(20);
constexpr Duration kLongestDenial = std::chrono::milliseconds(500);

/// @returns a rank for rendezvous hashing: the same in every process.
std::size_t CombineHash(std::size_t seed, const std::string& text) {
  boost::hash_combine(seed, text);
  return seed;
}

}  // namespace

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
    counts.cold += IsColdLimited(upstream) ? 1 : 0;
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

std::optional<UpstreamId> UpstreamSet::PickForPermit(const PickQuery& query) {
  const TimePoint now = m_clock.Now();
  std::vector<Candidate> candidates = FindCandidates(query);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const Upstream& upstream = *candidate.upstream;
    return !IsColdLimited(upstream) || !HasFreshReport(upstream) ||
           upstream.cold_denied_until > now;
  });
  const auto best = std::ranges::min_element(candidates, {}, &Candidate::cost);
  return best == candidates.end()
             ? std::nullopt
             : std::optional<UpstreamId>(best->upstream->record.id);
}

std::optional<Duration> UpstreamSet::TimeUntilWarm(const PickQuery& query) {
  std::optional<Duration> least;
  for (const Candidate& candidate : FindCandidates(query)) {
    if (IsColdLimited(*candidate.upstream)) {
      const Duration left = candidate.upstream->cold_until - m_clock.Now();
      least = std::min(least.value_or(left), left);
    }
  }
  return least;
}

void UpstreamSet::GrantCold(const UpstreamId& id) {
  const auto known = m_upstreams.find(id);
  if (known != m_upstreams.end()) {
    known->second.cold_grants.push_back(m_clock.Now() + kGrantLifetime);
  }
}

void UpstreamSet::DenyCold(const UpstreamId& id, Duration wait) {
  const auto known = m_upstreams.find(id);
  if (known != m_upstreams.end()) {
    known->second.cold_denied_until =
        m_clock.Now() + std::clamp(wait, kShortestDenial, kLongestDenial);
  }
}

bool UpstreamSet::IsColdLimited(const Upstream& upstream) const {
  const auto rate = m_cold_rates.find(upstream.record.service);
  return upstream.cold_until > m_clock.Now() && rate != m_cold_rates.end() &&
         rate->second > 0.0;
}

bool UpstreamSet::TakeGrant(Upstream& upstream) const {
  std::erase_if(upstream.cold_grants, [now = m_clock.Now()](TimePoint expiry) {
    return expiry <= now;
  });
  if (upstream.cold_grants.empty()) {
    return false;
  }
  upstream.cold_grants.pop_back();
  return true;
}

bool UpstreamSet::TakeColdPermit(Upstream& upstream) {
  if (!IsColdLimited(upstream) || TakeGrant(upstream)) {
    return true;
  }
  if (upstream.has_engine && HasFreshReport(upstream)) {
    return false;
  }
  const ColdShare& share =
      upstream.has_engine ? kShareBesideAgent : kShareWithoutAgent;
  const auto senders = ColdSenders(upstream.record.id, share.senders);
  if (!senders.has_value()) {
    return false;
  }
  const TimePoint now = m_clock.Now();
  const double own_rate = m_cold_rates.at(upstream.record.service) *
                          share.part / static_cast<double>(*senders);
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

std::optional<std::size_t> UpstreamSet::ColdSenders(const UpstreamId& id,
                                                    std::size_t most) const {
  if (m_entries.size() <= most) {
    return std::max<std::size_t>(1, m_entries.size());
  }
  const auto rank_of = [&](const InstanceId& entry) {
    return CombineHash(CombineHash(0, id.value()), entry.value());
  };
  const std::size_t own = rank_of(m_self);
  const auto ahead = std::ranges::count_if(
      m_entries, [&](const InstanceId& entry) { return rank_of(entry) < own; });
  return static_cast<std::size_t>(ahead) < most
             ? std::optional<std::size_t>(most)
             : std::nullopt;
}

}  // namespace bambooquay
