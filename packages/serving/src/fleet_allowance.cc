// Holds each organisation to its allowance over all entries.
#include "bambooquay/serving/fleet_allowance.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Part of the burst that a new process starts with: its predecessor's
// spending is not known.
constexpr double kInitialBurstShare = 0.3;

}  // namespace

FleetBucket::FleetBucket(const Clock& clock, TokensPerSecond rate,
                         Tokens burst) noexcept
    : m_clock(clock),
      m_rate(rate),
      m_burst(burst),
      m_level{burst.count * kInitialBurstShare},
      m_refilled_at(clock.Now()) {}

void FleetBucket::SetAllowance(TokensPerSecond rate, Tokens burst) noexcept {
  Refill();
  m_rate = rate;
  m_burst = burst;
  m_level = std::min(m_level, m_burst);
}

void FleetBucket::Refill() noexcept {
  const TimePoint now = m_clock.Now();
  const double seconds = ToSeconds(now - m_refilled_at);
  m_refilled_at = now;
  const double whole = m_rate.value * seconds;
  const double part = whole / static_cast<double>(m_members);
  double gained = whole;
  for (auto& [name, peer] : m_peers) {
    if (peer.silent) {
      peer.assumed.count += part;
      gained -= part;
    }
  }
  m_level.count =
      std::min(m_burst.count, m_level.count + std::max(0.0, gained));
}

bool FleetBucket::TrySpend(Tokens amount) noexcept {
  Refill();
  if (m_level < std::min(amount, m_burst)) {
    return false;
  }
  m_level -= amount;
  m_spent += amount;
  return true;
}

Duration FleetBucket::TimeUntil(Tokens amount) noexcept {
  Refill();
  const double missing = std::min(amount, m_burst).count - m_level.count;
  if (missing <= 0.0 || m_rate.value <= 0.0) {
    return Duration::zero();
  }
  return FromSeconds(missing / m_rate.value);
}

void FleetBucket::ObservePeer(const std::string& peer, Tokens total,
                              bool is_older) noexcept {
  Refill();
  const auto [known, is_new] = m_peers.try_emplace(peer);
  Peer& state = known->second;
  if (!is_new || !is_older) {
    m_level -= total - state.total - state.assumed;
    m_level = std::min(m_level, m_burst);
  }
  state.total = total;
  state.assumed = {};
}

void FleetBucket::ForgetPeer(const std::string& peer) noexcept {
  Refill();
  m_peers.erase(peer);
}

void FleetBucket::SetSilent(const std::string& peer, bool silent) noexcept {
  const auto known = m_peers.find(peer);
  if (known == m_peers.end()) {
    if (silent) {
      // Never heard of: all that it spends is taken for granted.
      Refill();
      m_peers[peer].silent = true;
    }
    return;
  }
  if (known->second.silent != silent) {
    Refill();
    known->second.silent = silent;
  }
}

void FleetBucket::SetMemberCount(std::size_t members) noexcept {
  Refill();
  m_members = std::max<std::size_t>(1, members);
}

Tokens FleetBucket::Level() noexcept {
  Refill();
  return m_level;
}

void FleetAllowance::Configure(const OrganisationId& organisation,
                               TokensPerSecond rate, Tokens burst) {
  const auto known = m_buckets.find(organisation);
  if (rate.value <= 0.0) {
    m_buckets.erase(organisation);
  } else if (known == m_buckets.end()) {
    const auto added =
        m_buckets.emplace(organisation, FleetBucket(m_clock, rate, burst));
    added.first->second.SetMemberCount(m_members);
  } else {
    known->second.SetAllowance(rate, burst);
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

Duration FleetAllowance::TimeUntil(const OrganisationId& organisation,
                                   Tokens amount) noexcept {
  const auto bucket = m_buckets.find(organisation);
  return bucket == m_buckets.end() ? Duration::zero()
                                   : bucket->second.TimeUntil(amount);
}

void FleetAllowance::ObservePeer(const std::string& peer,
                                 const OrganisationId& organisation,
                                 Tokens total, bool is_older) {
  const auto bucket = m_buckets.find(organisation);
  if (bucket != m_buckets.end()) {
    bucket->second.ObservePeer(peer, total, is_older);
  }
}

void FleetAllowance::ForgetPeer(const std::string& peer) noexcept {
  std::ranges::for_each(m_buckets,
                        [&](auto& item) { item.second.ForgetPeer(peer); });
}

void FleetAllowance::SetSilent(const std::string& peer, bool silent) noexcept {
  std::ranges::for_each(
      m_buckets, [&](auto& item) { item.second.SetSilent(peer, silent); });
}

void FleetAllowance::SetMemberCount(std::size_t members) noexcept {
  m_members = members;
  std::ranges::for_each(
      m_buckets, [&](auto& item) { item.second.SetMemberCount(members); });
}

std::map<OrganisationId, Tokens> FleetAllowance::Spent() const {
  std::map<OrganisationId, Tokens> spent;
  std::ranges::for_each(m_buckets, [&](const auto& item) {
    spent[item.first] = item.second.spent();
  });
  return spent;
}

}  // namespace bambooquay
