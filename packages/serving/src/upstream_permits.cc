// Permits and shares for upstreams whose rate is limited: they are cold or name
// a call limit.
#include <algorithm>
#include <boost/container_hash/hash.hpp>

#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {
namespace {

// Time after which an unused permit expires. A permit is meant for a request
// that is waiting for it, and must not be used much later.
constexpr Duration kPermitLifetime = std::chrono::milliseconds(50);
// Bounds on the time for which no permit is requested after a denial. The lower
// bound is for agents that do not know their engine's cold rate yet and deny
// without a time, as asking at once would be useless. The upper bound is there
// because a permit may be available sooner than the denial says, if other
// entries do not use theirs.
constexpr Duration kMinDenialTime = std::chrono::milliseconds(20);
constexpr Duration kMaxDenialTime = std::chrono::milliseconds(500);

/// @returns the rank of an entry among those that may send to an upstream; the
///   same in every process.
std::size_t RankOf(const UpstreamId& upstream, const InstanceId& entry) {
  std::size_t hash = 0;
  boost::hash_combine(hash, upstream.value());
  boost::hash_combine(hash, entry.value());
  return hash;
}

}  // namespace

std::optional<UpstreamId> UpstreamSet::PickForColdPermit(
    const PickQuery& query) {
  const TimePoint now = m_clock.Now();
  std::vector<Candidate> candidates = FindCandidates(query);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const Upstream& upstream = *candidate.upstream;
    return !IsColdLimited(upstream) || !HasFreshReport(upstream) ||
           upstream.permit_denied_until > now;
  });
  const auto best = std::ranges::min_element(candidates, {}, &Candidate::cost);
  return best == candidates.end()
             ? std::nullopt
             : std::optional<UpstreamId>(best->upstream->record.id);
}

std::optional<Duration> UpstreamSet::TimeUntilWarm(const PickQuery& query) {
  std::optional<Duration> shortest;
  for (const Candidate& candidate : FindCandidates(query)) {
    if (IsColdLimited(*candidate.upstream)) {
      const Duration remaining = candidate.upstream->cold_until - m_clock.Now();
      shortest = std::min(shortest.value_or(remaining), remaining);
    }
  }
  return shortest;
}

PermitBounds UpstreamSet::BoundsOf(const UpstreamId& id) const {
  const Upstream* upstream = Find(id);
  if (upstream == nullptr) {
    return {};
  }
  PermitBounds bounds{IsColdLimited(*upstream), CallLimitOf(*upstream)};
  if (bounds.is_cold && !upstream->has_engine) {
    // Entries that issue permits do not know the cold rate.
    const CallsPerSecond cold_rate{m_cold_rates.at(upstream->record.service)};
    bounds = {false,
              std::min(bounds.call_limit.value_or(cold_rate), cold_rate)};
  }
  return bounds;
}

void UpstreamSet::AddPermit(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    found->second.permit_expiries.push_back(m_clock.Now() + kPermitLifetime);
  }
}

void UpstreamSet::RecordPermitDenial(const UpstreamId& id, Duration wait) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    Upstream& upstream = found->second;
    upstream.permit_denied_until =
        m_clock.Now() + std::clamp(wait, kMinDenialTime, kMaxDenialTime);
    upstream.permit_expected_at = m_clock.Now() + wait;
  }
}

bool UpstreamSet::IsLimitedByPermits(const Upstream& upstream) const {
  return CallLimitOf(upstream).has_value() &&
         (!upstream.has_engine || HasFreshReport(upstream));
}

bool UpstreamSet::IsPermitDenied(const Upstream& upstream) const {
  const TimePoint now = m_clock.Now();
  return upstream.permit_denied_until > now &&
         std::ranges::none_of(
             upstream.permit_expiries,
             [now](TimePoint expiry) { return expiry > now; }) &&
         IsLimitedByPermits(upstream);
}

bool UpstreamSet::IsColdLimited(const Upstream& upstream) const {
  const auto rate = m_cold_rates.find(upstream.record.service);
  return upstream.cold_until > m_clock.Now() && rate != m_cold_rates.end() &&
         rate->second > 0.0;
}

bool UpstreamSet::TryUsePermit(Upstream& upstream) const {
  std::erase_if(
      upstream.permit_expiries,
      [now = m_clock.Now()](TimePoint expiry) { return expiry <= now; });
  if (upstream.permit_expiries.empty()) {
    return false;
  }
  upstream.permit_expiries.pop_back();
  return true;
}

bool UpstreamSet::TryAdmit(Upstream& upstream) {
  const bool is_cold = IsColdLimited(upstream);
  const auto limit = CallLimitOf(upstream);
  if ((!is_cold && !limit.has_value()) || TryUsePermit(upstream)) {
    return true;
  }
  if (upstream.has_engine ? HasFreshReport(upstream) : limit.has_value()) {
    return false;
  }
  CallsPerSecond rate =
      is_cold ? CallsPerSecond{m_cold_rates.at(upstream.record.service)}
              : *limit;
  if (limit.has_value()) {
    rate = std::min(rate, *limit);
  }
  return TryUseShare(
      upstream, rate,
      upstream.has_engine ? kShareWithUnreachableAgent : kShareWithoutAgent);
}

bool UpstreamSet::TryUseShare(Upstream& upstream, CallsPerSecond rate,
                              const UnpermittedShare& share) const {
  const auto senders =
      CountUnpermittedSenders(upstream.record.id, share.max_senders);
  if (!senders.has_value()) {
    return false;
  }
  const TimePoint now = m_clock.Now();
  const double entry_rate =
      rate.value * share.rate_share / static_cast<double>(*senders);
  const double seconds = ToSeconds(now - upstream.unpermitted_refilled_at);
  upstream.unpermitted_refilled_at = now;
  upstream.unpermitted_level = std::min(
      1.0, upstream.unpermitted_level + entry_rate * std::min(seconds, 10.0));
  if (upstream.unpermitted_level < 1.0) {
    return false;
  }
  upstream.unpermitted_level -= 1.0;
  return true;
}

std::optional<std::size_t> UpstreamSet::CountUnpermittedSenders(
    const UpstreamId& id, std::size_t max_senders) const {
  if (m_entries.size() <= max_senders) {
    return std::max<std::size_t>(1, m_entries.size());
  }
  const std::size_t own_rank = RankOf(id, m_self);
  const auto lower_ranks = std::ranges::count_if(
      m_entries,
      [&](const InstanceId& entry) { return RankOf(id, entry) < own_rank; });
  return static_cast<std::size_t>(lower_ranks) < max_senders
             ? std::optional<std::size_t>(max_senders)
             : std::nullopt;
}

}  // namespace bambooquay
