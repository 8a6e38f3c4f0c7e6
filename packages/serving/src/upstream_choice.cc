// The choice of an upstream for a call.
#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>
#include <limits>

#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {
namespace {

// Prompt tokens that an engine processes in a millisecond. Used to weigh cached
// tokens against load; only its order of magnitude matters.
constexpr double kPromptTokensPerMs = 40.0;
// Delay that one more running request adds to the first event of another.
constexpr double kMsPerRunningRequest = 4.0;
// Cost of an upstream with a failure share of 1, in milliseconds.
constexpr double kFailureMs = 2000.0;
// Cost of an upstream that is distrusted or gives no sign of life: more than
// any other cost, so that it is the last choice. Load it answers: under a burst
// all engines with a model are slow, and refusing its calls would leave their
// places unused.
constexpr double kDistrustedMs = 10'000.0;
// Cost of sending to another data centre: latency, and transfer of the body.
constexpr double kOtherDataCentreMs = 1.0;
constexpr double kOtherDataCentreMsPerKb = 0.5;
// Cost of the data centres that a call was decided not to go to: less than that
// of a distrusted upstream, more than others.
constexpr double kOtherSideMs = 5'000.0;
// Cost of a new connection: its round trips, and the upstream's work for it.
constexpr double kNewConnectionMs = 4.0;
// Cost of a permit: a message to the process that issues it, and the reply.
constexpr double kPermitMs = 2.0;
// Delay of the load of an adapter while the engine carries out another order.
constexpr double kBusyEngineMs = 1000.0;
// Other entries that are assumed to choose the same engine between two of its
// reports. In a large fleet each entry sends so few calls that their choices
// hardly meet.
constexpr std::size_t kMaxEntriesChoosingAlike = 5;
// The same where agents estimate the work: those that choose the same engine
// are soon told by its agent that it has no room.
constexpr double kEntriesSendingAlike = 1.0;
// An adapter is loaded on one more engine if calls are served sooner there by
// more than this. Covers the load, the memory it takes from other adapters, and
// the prompts that have to be processed again. Load it answers: one engine
// holds the adapters of a model in demand, and the calls for them queue there
// while the model's other replicas are idle.
constexpr double kSpreadAdapterMs = 40.0;
// Cost reduction for the engine that rendezvous hashing prefers for a prompt,
// as a share of the time to process the shared parts.
constexpr double kPromptAffinityShare = 0.5;
// An upstream is full at this many requests per slot, including queued ones.
constexpr double kFullRequestsPerSlot = 1.5;
// Time constant with which the cost of failures decays after the last failure,
// so that an upstream that got no calls since then is tried again.
constexpr Duration kFailureDecayTime = std::chrono::seconds(3);
/// @returns a hash for rendezvous hashing; the same in every process.
std::size_t CombineHash(std::size_t seed, const std::string& text) {
  boost::hash_combine(seed, text);
  return seed;
}

double CrossingMs(const PickQuery& query) {
  return kOtherDataCentreMs + static_cast<double>(query.body_bytes) / 1024.0 *
                                  kOtherDataCentreMsPerKb;
}

}  // namespace

bool UpstreamSet::IsEligible(const Upstream& upstream,
                             const PickQuery& query) const {
  const UpstreamRecord& record = upstream.record;
  return record.service == query.service &&
         (!query.software_version.has_value() ||
          RunsVersion(upstream, *query.software_version)) &&
         IsUsable(upstream);
}

bool UpstreamSet::RunsVersion(const Upstream& upstream,
                              const SoftwareVersion& version) {
  const UpstreamRecord& record = upstream.record;
  // The report of a new run may come before its row, which names its version.
  const bool has_restarted =
      upstream.report.has_value() && record.started_at_ms != 0 &&
      upstream.report->started_at_ms > record.started_at_ms;
  return !has_restarted && record.software_version == version;
}

bool UpstreamSet::IsKnownMissing(const Upstream& upstream,
                                 const std::string& key) const {
  const auto found = upstream.missing_until.find(key);
  return found != upstream.missing_until.end() && found->second > m_clock.Now();
}

bool UpstreamSet::HasModel(const Upstream& upstream,
                           const ModelName& model) const {
  const auto& models = Models(upstream);
  return std::ranges::find(models, model, &LoadedModel::name) != models.end() &&
         !IsKnownMissing(upstream, model.value());
}

bool UpstreamSet::HasAdapter(const Upstream& upstream, const ModelName& model,
                             const AdapterName& adapter) const {
  const std::string key = AdapterKey(model, adapter);
  if (upstream.newly_loaded_adapters.contains(key)) {
    return true;
  }
  const auto& models = Models(upstream);
  const auto loaded = std::ranges::find(models, model, &LoadedModel::name);
  return loaded != models.end() &&
         std::ranges::find(loaded->adapters, adapter) !=
             loaded->adapters.end() &&
         !IsKnownMissing(upstream, key);
}

double UpstreamSet::EstimateLoad(const Upstream& upstream) const {
  const auto sent_calls = static_cast<double>(upstream.in_flight);
  if (!HasFreshReport(upstream)) {
    return sent_calls *
           static_cast<double>(std::max<std::size_t>(1, m_entries.size()));
  }
  return std::max(sent_calls, static_cast<double>(upstream.report->running +
                                                  upstream.report->waiting +
                                                  upstream.sent_since_report));
}

double UpstreamSet::EstimateUnreportedLoad(const Upstream& upstream) const {
  if (!HasFreshReport(upstream) || m_entries.empty()) {
    return 0.0;
  }
  const std::size_t others =
      std::min(m_entries.size() - 1, kMaxEntriesChoosingAlike);
  return static_cast<double>(upstream.sent_since_report) *
         static_cast<double>(others);
}

UpstreamSet::Candidate UpstreamSet::Weigh(Upstream& upstream,
                                          const PickQuery& query) const {
  const auto predicted =
      query.model.empty() ? std::nullopt : Predict(upstream, query);
  return {&upstream, Cost(upstream, query, predicted), predicted};
}

double UpstreamSet::Cost(const Upstream& upstream, const PickQuery& query,
                         const std::optional<PredictedCost>& predicted) const {
  const Duration since_failure = m_clock.Now() - upstream.last_failure_at;
  const double decay =
      std::exp(-ToSeconds(since_failure) / ToSeconds(kFailureDecayTime));
  double cost = upstream.failure_share * decay * kFailureMs;
  if (upstream.distrust_until > m_clock.Now() ||
      FindSignOfLife(upstream) == SignOfLife::kNone) {
    cost += kDistrustedMs;
  }
  if (IsElsewhere(upstream)) {
    cost += CrossingMs(query);
  }
  if (!m_is_connected(upstream.record.address)) {
    cost += kNewConnectionMs;
  }
  if (IsLimitedByPermits(upstream)) {
    cost += kPermitMs;
  }
  const double load = EstimateLoad(upstream);
  if (query.model.empty()) {
    const double slots = std::max(1, upstream.record.slots);
    // 100 ms at one call per slot.
    return cost + load / slots * 100.0;
  }
  const Duration until_room = upstream.room_expected_at - m_clock.Now();
  cost += std::max(0.0, ToSeconds(until_room) * 1000.0);
  return cost + (predicted.has_value() ? predicted->ms
                                       : UnpredictedDelay(upstream, query));
}

double UpstreamSet::UnpredictedDelay(const Upstream& upstream,
                                     const PickQuery& query) const {
  const double calls =
      EstimateLoad(upstream) + EstimateUnreportedLoad(upstream);
  const double tokens =
      query.prompt.empty()
          ? 0.0
          : query.prompt_tokens -
                upstream.prompt_cache.CachedTokens(query.prompt);
  return calls * kMsPerRunningRequest + tokens / kPromptTokensPerMs;
}

std::optional<EngineWork> UpstreamSet::WorkOf(const Upstream& upstream) const {
  const auto usual = m_usual_work.find(upstream.record.service);
  if (!HasFreshReport(upstream) || usual == m_usual_work.end()) {
    return std::nullopt;
  }
  return upstream.work.Current(
      m_clock.Now(), usual->second,
      m_entries.size() > 1 ? kEntriesSendingAlike : 0.0);
}

std::optional<PredictedCost> UpstreamSet::Predict(
    const Upstream& upstream, const PickQuery& query) const {
  const auto work = WorkOf(upstream);
  if (!work.has_value()) {
    return std::nullopt;
  }
  const double kept = upstream.prompt_cache.CachedTokens(query.prompt);
  CallNeeds needs = query.needs;
  needs.usual_tokens_per_ms =
      m_usual_work.at(upstream.record.service).prompt_tokens_per_ms;
  return PredictCost(*work, {query.prompt_tokens - kept, query.events}, needs);
}

std::vector<UpstreamSet::Candidate> UpstreamSet::FindCandidates(
    const PickQuery& query) {
  const TimePoint now = m_clock.Now();
  PickCounts counts;
  std::vector<Candidate> candidates;
  for (auto& [id, upstream] : m_upstreams) {
    if (!IsEligible(upstream, query)) {
      continue;
    }
    ++counts.usable;
    if (!query.model.empty() && !HasModel(upstream, query.model)) {
      continue;
    }
    ++counts.with_model;
    if (!query.adapter.empty() &&
        !HasAdapter(upstream, query.model, query.adapter)) {
      continue;
    }
    ++counts.with_adapter;
    const bool is_silent = AwaitsSignOfLife(upstream);
    counts.silent += is_silent ? 1 : 0;
    if (query.excluded.contains(id) || upstream.avoid_until > now ||
        IsTurnedAway(upstream) || is_silent) {
      ++counts.avoided;
      continue;
    }
    const double slots = std::max(1, upstream.record.slots);
    if (EstimateLoad(upstream) >= slots * kFullRequestsPerSlot) {
      ++counts.full;
      continue;
    }
    if (IsPermitDenied(upstream)) {
      ++counts.limited;
      continue;
    }
    counts.cold += IsColdLimited(upstream) ? 1 : 0;
    candidates.push_back(Weigh(upstream, query));
  }
  m_last_counts = counts;
  return candidates;
}

void UpstreamSet::ApplyPromptAffinity(std::vector<Candidate>& candidates,
                                      const PickQuery& query) const {
  if (query.prompt.size() < 2) {
    return;
  }
  const std::uint64_t shared_hash = query.prompt[query.prompt.size() - 2].hash;
  const auto weight = [&](const Candidate& candidate) {
    return CombineHash(shared_hash, candidate.upstream->record.id.value());
  };
  const auto preferred = std::ranges::max_element(candidates, {}, weight);
  if (preferred != candidates.end()) {
    const double last_part_tokens = query.prompt.back().tokens;
    preferred->cost -= (query.prompt_tokens - last_part_tokens) /
                       kPromptTokensPerMs * kPromptAffinityShare;
  }
}

void UpstreamSet::ChooseSide(std::vector<Candidate>& candidates,
                             const PickQuery& query) {
  const auto is_home = [this](const Candidate& candidate) {
    return !IsElsewhere(*candidate.upstream);
  };
  const auto away =
      std::partition(candidates.begin(), candidates.end(), is_home);
  if (away == candidates.begin() || away == candidates.end()) {
    return;
  }
  const auto costs_less = [](const Candidate& a, const Candidate& b) {
    return a.cost < b.cost;
  };
  const auto home = std::min_element(candidates.begin(), away, costs_less);
  const auto best_away = std::min_element(away, candidates.end(), costs_less);
  if (!home->predicted.has_value() || !best_away->predicted.has_value()) {
    return;
  }
  const auto offer = [](const Candidate& candidate) {
    const PredictedTimes& times = candidate.predicted->times;
    return SideOffer{times.first_event, times.longest_pause, candidate.cost};
  };
  const CrossingCall call{query.needs.first_event, query.needs.max_pause,
                          FromSeconds(CrossingMs(query) / 1000.0)};
  const bool leaves =
      m_data_centre_policy.ShouldLeave(AdapterKey(query.model, query.adapter),
                                       call, offer(*home), offer(*best_away));
  std::ranges::for_each(candidates, [&](Candidate& candidate) {
    candidate.cost += is_home(candidate) == leaves ? kOtherSideMs : 0.0;
  });
}

PickResult UpstreamSet::Pick(const PickQuery& query) {
  std::vector<Candidate> candidates = FindCandidates(query);
  if (m_last_counts.usable == 0) {
    return PickFailure::kNoUpstream;
  }
  if (m_last_counts.with_model == 0) {
    return PickFailure::kModelMissing;
  }
  if (m_last_counts.with_adapter == 0) {
    return PickFailure::kAdapterMissing;
  }
  const auto permitted =
      std::ranges::find_if(candidates, [&](const Candidate& candidate) {
        return candidate.upstream->record.id == query.permitted &&
               TryAdmit(*candidate.upstream);
      });
  if (permitted != candidates.end()) {
    return permitted->upstream->record.id;
  }
  if (IsAdapterCrowded(query, candidates)) {
    return PickFailure::kAdapterCrowded;
  }
  ApplyPromptAffinity(candidates, query);
  ChooseSide(candidates, query);
  // Costs are often equal when upstreams are idle; adds up to 1 ms to choose
  // randomly among such upstreams.
  std::ranges::for_each(candidates, [this](Candidate& candidate) {
    candidate.cost += static_cast<double>(m_random.UniformBelow(1000)) / 1000.0;
  });
  std::ranges::sort(candidates, {}, &Candidate::cost);
  bool is_admitted = false;
  const auto chosen =
      std::ranges::find_if(candidates, [&](const Candidate& candidate) {
        is_admitted = TryAdmit(*candidate.upstream);
        return is_admitted || (query.may_request_permit &&
                               IsLimitedByPermits(*candidate.upstream));
      });
  if (chosen == candidates.end()) {
    return PickFailure::kFull;
  }
  const UpstreamId& id = chosen->upstream->record.id;
  return is_admitted ? PickResult(id) : PermitNeeded{id};
}

std::optional<UpstreamSet::AdapterHost> UpstreamSet::FindAdapterHost(
    const PickQuery& query) const {
  std::optional<AdapterHost> best;
  const std::string key = AdapterKey(query.model, query.adapter);
  for (const auto& [id, upstream] : m_upstreams) {
    if (!IsEligible(upstream, query) || query.excluded.contains(id) ||
        upstream.avoid_until > m_clock.Now() ||
        FindSignOfLife(upstream) == SignOfLife::kNone ||
        IsTurnedAway(upstream) || IsPermitDenied(upstream) ||
        !HasModel(upstream, query.model) ||
        HasAdapter(upstream, query.model, query.adapter)) {
      continue;
    }
    // Rendezvous hashing keeps an adapter on few engines: adds up to 100 ms.
    const std::size_t rank = CombineHash(CombineHash(0, key), id.value());
    const bool busy = HasFreshReport(upstream) && upstream.report->busy;
    const double cost = Cost(upstream, query, Predict(upstream, query)) +
                        static_cast<double>(rank % 1000) / 10.0 +
                        (busy ? kBusyEngineMs : 0.0);
    if (!best.has_value() || cost < best->cost) {
      best = {id, cost};
    }
  }
  return best;
}

std::optional<UpstreamId> UpstreamSet::PickForAdapter(const PickQuery& query) {
  const auto host = FindAdapterHost(query);
  return host.has_value() ? std::optional(host->id) : std::nullopt;
}

bool UpstreamSet::IsAdapterCrowded(
    const PickQuery& query, const std::vector<Candidate>& candidates) const {
  if (!query.may_load_adapter || query.adapter.empty()) {
    return false;
  }
  const auto best = std::ranges::min_element(candidates, {}, &Candidate::cost);
  const auto host = FindAdapterHost(query);
  return host.has_value() && (best == candidates.end() ||
                              host->cost + kSpreadAdapterMs < best->cost);
}

bool UpstreamSet::CanServe(const Upstream& upstream,
                           const PickQuery& query) const {
  return IsEligible(upstream, query) &&
         !query.excluded.contains(upstream.record.id) &&
         (query.model.empty() || HasModel(upstream, query.model)) &&
         (query.adapter.empty() ||
          HasAdapter(upstream, query.model, query.adapter));
}

std::optional<Duration> UpstreamSet::TimeUntilOffer(
    const PickQuery& query) const {
  std::optional<Duration> shortest;
  for (const auto& [id, upstream] : m_upstreams) {
    if (CanServe(upstream, query)) {
      const Duration until_permit =
          IsPermitDenied(upstream)
              ? std::max(Duration::zero(),
                         upstream.permit_expected_at - m_clock.Now())
              : Duration::zero();
      const Duration wait =
          std::max(until_permit, m_notices.TurnedAwayFor(RunOf(upstream)));
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest;
}

}  // namespace bambooquay
