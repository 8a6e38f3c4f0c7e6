// Limits each organisation to its allowance across all entries. Every entry
// admits calls against its own estimate of one fleet-wide token bucket, and
// tells the other entries how much it has spent.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

/// One entry's estimate of an organisation's fleet-wide token bucket. Spending
/// of peers that this entry does not know of yet may overdraw the bucket; the
/// debt is repaid before anything else is admitted. In any window, the fleet
/// thus exceeds the allowance by at most what it spends between two exchanges
/// of totals.
///
/// A silent peer is assumed to spend an equal share of the rate. An entry that
/// is cut off from all peers thus limits itself to its own share.
class FleetTokenBucket {
 public:
  FleetTokenBucket(const Clock& clock, TokensPerSecond rate,
                   Tokens burst) noexcept;

  void SetAllowance(TokensPerSecond rate, Tokens burst) noexcept;
  /// Spends `amount` if the bucket has that much. An amount above the burst is
  /// admitted when the bucket is full, and overdraws it.
  [[nodiscard]] bool TrySpend(Tokens amount) noexcept;
  /// @returns the time until `amount` could be admitted.
  [[nodiscard]] Duration TimeUntilAvailable(Tokens amount) noexcept;
  /// Records the total that a peer has spent since its start.
  /// @param peer  identifies one incarnation of a peer process.
  /// @param total  never decreases within one incarnation.
  /// @param started_earlier  whether the peer started before this process. If
  ///   so, what it had spent by its first report is not counted.
  void RecordPeerTotal(const std::string& peer, Tokens total,
                       bool started_earlier) noexcept;
  void RemovePeer(const std::string& peer) noexcept;
  /// Sets whether a peer is silent. Also applies to a peer that has not
  /// reported a total yet.
  void SetPeerSilent(const std::string& peer, bool silent) noexcept;
  /// @param member_count  number of entries that may be spending, this one
  ///   included.
  void SetMemberCount(std::size_t member_count) noexcept;
  /// @returns what this entry has spent since its start.
  [[nodiscard]] Tokens spent() const noexcept { return m_spent; }
  /// @returns the tokens in the bucket; negative while it is overdrawn.
  [[nodiscard]] Tokens Level() noexcept;

 private:
  struct Peer {
    Tokens total;  ///< The last one reported.
    /// Spending assumed while the peer was silent, until its next report.
    Tokens assumed_spent;
    bool silent = false;
  };

  void Refill() noexcept;

  const Clock& m_clock;
  TokensPerSecond m_rate;
  Tokens m_burst;
  /// At most m_burst; negative while the bucket is overdrawn.
  Tokens m_level;
  Tokens m_spent;
  TimePoint m_refilled_at;
  std::size_t m_member_count = 1;
  std::map<std::string, Peer> m_peers;
};

/// The fleet-wide token buckets of all organisations.
///
/// @code
/// FleetAllowance allowance(clock);
/// allowance.Configure(OrganisationId{"fisheries"}, {.value = 100}, {500});
/// if (!allowance.TrySpend(OrganisationId{"fisheries"}, {200})) { ... }
/// @endcode
class FleetAllowance {
 public:
  /// @param clock  the time up to which the peers' spending is known, such as
  ///   EventLoop::input_clock().
  explicit FleetAllowance(const Clock& clock) : m_clock(clock) {}

  /// Sets an organisation's allowance. A rate of 0 removes the limit.
  void Configure(const OrganisationId& organisation, TokensPerSecond rate,
                 Tokens burst);
  [[nodiscard]] bool TrySpend(const OrganisationId& organisation,
                              Tokens amount) noexcept;
  /// @returns the tokens in the organisation's bucket; 0 without a limit.
  [[nodiscard]] Tokens Level(const OrganisationId& organisation) noexcept;
  [[nodiscard]] Duration TimeUntilAvailable(const OrganisationId& organisation,
                                            Tokens amount) noexcept;
  void RecordPeerTotal(const std::string& peer,
                       const OrganisationId& organisation, Tokens total,
                       bool started_earlier);
  void RemovePeer(const std::string& peer) noexcept;
  void SetPeerSilent(const std::string& peer, bool silent) noexcept;
  /// @param member_count  number of entries that may be spending, this one
  ///   included.
  void SetMemberCount(std::size_t member_count) noexcept;
  /// @returns what this entry has spent since its start, by organisation.
  [[nodiscard]] std::map<OrganisationId, Tokens> SpentByOrganisation() const;

 private:
  const Clock& m_clock;
  std::size_t m_member_count = 1;
  std::unordered_map<OrganisationId, FleetTokenBucket> m_buckets;
};

}  // namespace bambooquay
