// Holds each organisation to its allowance over all entries. Every entry
// admits against its own estimate of one fleet-wide token bucket and tells the
// others how much it has spent.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

/// Estimate of one organisation's bucket. Spending that is not yet known here
/// may overdraw it; the debt is repaid before anything else is admitted, so a
/// window exceeds the allowance by at most what is spent within one exchange
/// of totals.
///
/// While a peer is silent it is taken to spend its equal part of the rate, and
/// it limits itself to that part in turn.
class FleetBucket {
 public:
  FleetBucket(const Clock& clock, TokensPerSecond rate, Tokens burst) noexcept;

  void SetAllowance(TokensPerSecond rate, Tokens burst) noexcept;
  /// Spends `amount` if the estimate allows it. An amount over the burst is
  /// admitted when the bucket is full.
  [[nodiscard]] bool TrySpend(Tokens amount) noexcept;
  /// @returns the time until `amount` could be admitted.
  [[nodiscard]] Duration TimeUntil(Tokens amount) noexcept;
  /// Takes note of what a peer has spent in all since its start.
  /// @param peer  one life of a peer process.
  /// @param total  never decreases within one life.
  /// @param is_older  the peer started before this process: what it had spent
  ///   when it was first heard of does not count here.
  void ObservePeer(const std::string& peer, Tokens total,
                   bool is_older) noexcept;
  void ForgetPeer(const std::string& peer) noexcept;
  /// Sets which of the known peers are silent and how many entries there are.
  void SetSilent(const std::string& peer, bool silent) noexcept;
  void SetMemberCount(std::size_t members) noexcept;
  /// @returns what this entry has spent since its start.
  [[nodiscard]] Tokens spent() const noexcept { return m_spent; }
  [[nodiscard]] Tokens Level() noexcept;

 private:
  struct Peer {
    Tokens total;
    /// Spending that was taken for granted while the peer was silent.
    Tokens assumed;
    bool silent = false;
  };

  void Refill() noexcept;

  const Clock& m_clock;
  TokensPerSecond m_rate;
  Tokens m_burst;
  /// At most m_burst; negative while overdrawn.
  Tokens m_level;
  Tokens m_spent;
  TimePoint m_refilled_at;
  std::size_t m_members = 1;
  std::map<std::string, Peer> m_peers;
};

/// The buckets of all organisations.
///
/// @code
/// FleetAllowance allowance(clock);
/// allowance.Configure(OrganisationId{"fisheries"}, {.value = 100}, {500});
/// if (!allowance.TrySpend(OrganisationId{"fisheries"}, {200})) { ... }
/// @endcode
class FleetAllowance {
 public:
  explicit FleetAllowance(const Clock& clock) : m_clock(clock) {}

  /// A rate of 0 removes the limit.
  void Configure(const OrganisationId& organisation, TokensPerSecond rate,
                 Tokens burst);
  [[nodiscard]] bool TrySpend(const OrganisationId& organisation,
                              Tokens amount) noexcept;
  /// @returns the estimate of the organisation's bucket; 0 without a limit.
  [[nodiscard]] Tokens Level(const OrganisationId& organisation) noexcept;
  [[nodiscard]] Duration TimeUntil(const OrganisationId& organisation,
                                   Tokens amount) noexcept;
  void ObservePeer(const std::string& peer, const OrganisationId& organisation,
                   Tokens total, bool is_older);
  void ForgetPeer(const std::string& peer) noexcept;
  void SetSilent(const std::string& peer, bool silent) noexcept;
  /// @param members  entries that may be spending, this one included.
  void SetMemberCount(std::size_t members) noexcept;
  /// @returns this entry's spending since its start, by organisation.
  [[nodiscard]] std::map<OrganisationId, Tokens> Spent() const;

 private:
  const Clock& m_clock;
  std::size_t m_members = 1;
  std::unordered_map<OrganisationId, FleetBucket> m_buckets;
};

}  // namespace bambooquay
