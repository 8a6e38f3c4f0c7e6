// Limits each organisation to its allowance across all entries.
#include "bambooquay/serving/fleet_allowance.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Share of the burst that is in the bucket when a process starts. The bucket
// does not start full, as the spending of the process's predecessor is not
// known.
constexpr double kInitialBurstShare = 0.3;

}  // namespace

FleetTokenBucket::FleetTokenBucket(const Clock& clock, TokensPerSecond rate,
                                   Tokens burst) noexcept
    : m_clock(clock),
      m_rate(rate),
      m_burst(burst),
      m_level{burst.count * kInitialBurstShare},
      m_refilled_at(clock.Now()) {}

void FleetTokenBucket::SetAllowance(TokensPerSecond rate,
                                    Tokens burst) noexcept {
  Refill();
  m_rate = rate;
  m_burst = burst;
  m_level = std::min(m_level, m_burst);
}

void FleetTokenBucket::Refill() noexcept {
  const TimePoint now = m_clock.Now();
  const double seconds = ToSeconds(now - m_refilled_at);
  m_refilled_at = now;
  const double fleet_refill = m_rate.value * seconds;
  const double entry_share = fleet_refill / static_cast<double>(m_member_count);
  double refill = fleet_refill;
  for (auto& [name, peer] : m_peers) {
    if (peer.silent) {
      peer.assumed_spent.count += entry_share;
      refill -= entry_share;
    }
  }
  m_level.count =
      std::min(m_burst.count, m_level.count + std::max(0.0, refill));
}

bool FleetTokenBucket::TrySpend(Tokens amount) noexcept {
  Refill();
  if (m_level < std::min(amount, m_burst)) {
    return false;
  }
  m_level -= amount;
  m_spent += amount;
  return true;
}

Duration FleetTokenBucket::TimeUntilAvailable(Tokens amount) noexcept {
  Refill();
  const double shortfall = std::min(amount, m_burst).count - m_level.count;
  if (shortfall <= 0.0 || m_rate.value <= 0.0) {
    return Duration::zero();
  }
  return FromSeconds(shortfall / m_rate.value);
}

void FleetTokenBucket::RecordPeerTotal(const std::string& peer, Tokens total,
                                       bool started_earlier) noexcept {
  Refill();
  const auto [found, is_new] = m_peers.try_emplace(peer);
  Peer& state = found->second;
  if (!is_new || !started_earlier) {
    m_level -= total - state.total - state.assumed_spent;
    m_level = std::min(m_level, m_burst);
  }
  state.total = total;
  state.assumed_spent = {};
}

void FleetTokenBucket::RemovePeer(const std::string& peer) noexcept {
  Refill();
  m_peers.erase(peer);
}

void FleetTokenBucket::SetPeerSilent(const std::string& peer,
                                     bool silent) noexcept {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    if (silent) {
      // No total of this peer is known yet; all its spending is assumed.
      Refill();
      m_peers[peer].silent = true;
    }
    return;
  }
  if (found->second.silent != silent) {
    Refill();
    found->second.silent = silent;
  }
}

void FleetTokenBucket::SetMemberCount(std::size_t member_count) noexcept {
  Refill();
  m_member_count = std::max<std::size_t>(1, member_count);
}

Tokens FleetTokenBucket::Level() noexcept {
  Refill();
  return m_level;
}

void FleetAllowance::Configure(const OrganisationId& organisation,
                               TokensPerSecond rate, Tokens burst) {
  const auto found = m_buckets.find(organisation);
  if (rate.value <= 0.0) {
    m_buckets.erase(organisation);
  } else if (found == m_buckets.end()) {
    const auto added =
        m_buckets.emplace(organisation, FleetTokenBucket(m_clock, rate, burst));
    added.first->second.SetMemberCount(m_member_count);
  } else {
    found->second.SetAllowance(rate, burst);
  }
}

bool FleetAllowance::TrySpend(const OrganisationId& organisation,
                              Tokens amount) noexcept {
  const auto bucket = m_buckets.find(organisation);
  return bucket == m_buckets.end() || bucket->second.TrySpend(amount);
}

Tokens FleetAllowance::Level(const OrganisationId& organisation) noexcept {
  const auto bucket = m_buckets.find(organisation);
  return bucket == m_buckets.end() ? Tokens{} : bucket->second.Level();
}

Duration FleetAllowance::TimeUntilAvailable(const OrganisationId& organisation,
                                            Tokens amount) noexcept {
  const auto bucket = m_buckets.find(organisation);
  return bucket == m_buckets.end() ? Duration::zero()
                                   : bucket->second.TimeUntilAvailable(amount);
}

void FleetAllowance::RecordPeerTotal(const std::string& peer,
                                     const OrganisationId& organisation,
                                     Tokens total, bool started_earlier) {
  const auto bucket = m_buckets.find(organisation);
  if (bucket != m_buckets.end()) {
    bucket->second.RecordPeerTotal(peer, total, started_earlier);
  }
}

void FleetAllowance::RemovePeer(const std::string& peer) noexcept {
  std::ranges::for_each(m_buckets,
                        [&](auto& item) { item.second.RemovePeer(peer); });
}

void FleetAllowance::SetPeerSilent(const std::string& peer,
                                   bool silent) noexcept {
  std::ranges::for_each(
      m_buckets, [&](auto& item) { item.second.SetPeerSilent(peer, silent); });
}

void FleetAllowance::SetMemberCount(std::size_t member_count) noexcept {
  m_member_count = member_count;
  std::ranges::for_each(
      m_buckets, [&](auto& item) { item.second.SetMemberCount(member_count); });
}

std::map<OrganisationId, Tokens> FleetAllowance::SpentByOrganisation() const {
  std::map<OrganisationId, Tokens> spent;
  std::ranges::for_each(m_buckets, [&](const auto& item) {
    spent[item.first] = item.second.spent();
  });
  return spent;
}

}  // namespace bambooquay
