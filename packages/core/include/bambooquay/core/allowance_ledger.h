// The shares of allowances that one entry holds, and the transfers of shares
// between entries.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/allowance_messages.h"
#include "bambooquay/core/allowance_share.h"
#include "bambooquay/core/allowance_state.h"
#include "bambooquay/core/clock.h"
#include "bambooquay/core/configuration.h"

namespace bambooquay {

/// Holds this entry's share of each organisation's allowance. Transfers between
/// two entries are applied exactly once: the giver has at most one
/// unacknowledged transfer to each asker and repeats it until the asker's next
/// request acknowledges it.
class AllowanceLedger {
 public:
  AllowanceLedger(const Clock& clock, IncarnationId self);

  /// Applies the organisations of a new configuration: adds and removes
  /// shares, and updates rates and bursts.
  void Configure(const std::vector<OrganisationSettings>& organisations);
  /// Applies `state` if its epoch is newer, or if it ends the fencing phase of
  /// the current epoch. Other states are ignored.
  void Adopt(const AllowanceState& state);

  [[nodiscard]] const IncarnationId& self() const noexcept { return m_self; }
  [[nodiscard]] std::uint64_t epoch() const noexcept { return m_state.epoch; }
  [[nodiscard]] const AllowanceState& state() const noexcept { return m_state; }
  /// @returns whether shares may be requested and given, that is, whether the
  ///   epoch is active.
  [[nodiscard]] bool can_transfer() const noexcept;
  [[nodiscard]] bool Contains(
      const OrganisationId& organisation) const noexcept;

  /// Spends `amount` from this entry's share.
  /// @returns a reservation, or nothing if the share has too few tokens.
  [[nodiscard]] std::optional<ReservationId> TrySpend(
      const OrganisationId& organisation, Tokens amount);
  /// Records that callers requested `amount`, whether or not it can be spent.
  void RecordDemand(const OrganisationId& organisation, Tokens amount);
  /// Sets the number of tokens that the requests waiting at this entry need.
  void SetBacklog(const OrganisationId& organisation, Tokens backlog);
  /// Refunds what `reservation` did not use; see AllowanceShare::Settle.
  void Settle(const OrganisationId& organisation, ReservationId reservation,
              Tokens used) noexcept;

  /// @returns a request to `giver` for part of its share. It acknowledges the
  ///   last transfer that was applied from `giver`.
  /// @param need  tokens that are needed at once.
  [[nodiscard]] AllowanceAsk MakeAsk(const OrganisationId& organisation,
                                     const IncarnationId& giver, Tokens need);
  /// Handles another entry's request for part of this entry's share.
  /// @returns the transfer; its sequence is 0 if nothing is given.
  [[nodiscard]] AllowanceTransfer HandleAsk(const AllowanceAsk& ask);
  /// Adds the share in `transfer`, unless the transfer is empty, was applied
  /// before or belongs to another epoch.
  /// @returns whether it was applied.
  bool ApplyTransfer(const OrganisationId& organisation,
                     const AllowanceTransfer& transfer);
  /// @returns the entries that received part of this share in the current
  ///   epoch and may still hold it.
  [[nodiscard]] std::vector<IncarnationId> Recipients(
      const OrganisationId& organisation) const;

  /// @returns the tokens in this entry's share now.
  [[nodiscard]] Tokens Level(const OrganisationId& organisation);
  /// @returns the burst of the organisation's whole allowance.
  [[nodiscard]] Tokens Burst(const OrganisationId& organisation) const;
  /// @returns the rate of the organisation's whole allowance.
  [[nodiscard]] TokensPerSecond Rate(const OrganisationId& organisation) const;
  /// @returns the fraction of the allowance that this entry holds, from 0 to 1.
  [[nodiscard]] double Fraction(const OrganisationId& organisation) const;

 private:
  /// Transfers of one organisation's share from this entry to one asker.
  struct OutgoingTransfers {
    AllowanceTransfer last;
    bool acknowledged = true;
  };
  struct Account {
    AllowanceShare share;
    double demand = 0.0;          ///< Tokens per second, exponentially decayed.
    TimePoint demand_updated_at;  ///< When `demand` was last decayed.
    Tokens backlog;               ///< Tokens that waiting requests need.
    std::map<IncarnationId, OutgoingTransfers> outgoing;
    /// Sequence number of the last transfer applied, by giver.
    std::map<IncarnationId, std::uint64_t> last_applied;
  };

  Account* Find(const OrganisationId& organisation) noexcept;
  const Account* Find(const OrganisationId& organisation) const noexcept;
  /// @returns the demand in tokens per second, decayed to the present.
  double Demand(Account& account) const noexcept;
  /// @returns the part of the share to give in reply to `ask`.
  SharePart ChoosePart(Account& account, const AllowanceAsk& ask) const;

  const Clock& m_clock;
  IncarnationId m_self;
  AllowanceState m_state;
  std::unordered_map<OrganisationId, Account> m_accounts;
};

}  // namespace bambooquay
