// The shares that one entry holds, and the transfers of shares.
#include "bambooquay/core/allowance_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bambooquay {
namespace {

// Time constant of the exponential decay of the demand.
constexpr double kDemandDecaySeconds = 2.0;
// Smaller fractions are transferred only together with tokens, as they are not
// worth a transfer of their own.
constexpr double kMinTransferFraction = 1e-4;

}  // namespace

AllowanceLedger::AllowanceLedger(const Clock& clock, IncarnationId self)
    : m_clock(clock), m_self(std::move(self)) {}

void AllowanceLedger::Configure(
    const std::vector<OrganisationSettings>& organisations) {
  std::erase_if(m_accounts, [&](const auto& entry) {
    return std::ranges::find(organisations, entry.first,
                             &OrganisationSettings::id) == organisations.end();
  });
  for (const OrganisationSettings& settings : organisations) {
    const auto [entry, is_new] = m_accounts.try_emplace(
        settings.id,
        Account{AllowanceShare(m_clock, settings.rate, settings.burst),
                0.0,
                m_clock.Now(),
                {},
                {},
                {}});
    AllowanceShare& share = entry->second.share;
    share.SetAllowance(settings.rate, settings.burst);
    if (is_new && m_state.phase == AllowancePhase::kActive) {
      // A new organisation starts with the shares that the epoch assigns.
      share.SetFraction(m_state.AssignedFraction(m_self, settings.id));
    }
  }
}

void AllowanceLedger::Adopt(const AllowanceState& state) {
  const bool is_newer = state.epoch > m_state.epoch;
  const bool ends_fencing = state.epoch == m_state.epoch &&
                            m_state.phase == AllowancePhase::kFencing &&
                            state.phase == AllowancePhase::kActive;
  if (!is_newer && !ends_fencing) {
    return;
  }
  m_state = state;
  for (auto& [organisation, account] : m_accounts) {
    const double assigned = state.AssignedFraction(m_self, organisation);
    const double held = account.share.fraction();
    account.share.SetFraction(state.phase == AllowancePhase::kActive
                                  ? assigned
                                  : std::min(held, assigned));
    if (is_newer) {
      account.outgoing.clear();
      account.last_applied.clear();
    }
  }
}

bool AllowanceLedger::can_transfer() const noexcept {
  return m_state.epoch > 0 && m_state.phase == AllowancePhase::kActive;
}

bool AllowanceLedger::Contains(
    const OrganisationId& organisation) const noexcept {
  return m_accounts.contains(organisation);
}

std::optional<ReservationId> AllowanceLedger::TrySpend(
    const OrganisationId& organisation, Tokens amount) {
  Account* account = Find(organisation);
  return account == nullptr ? std::nullopt : account->share.TrySpend(amount);
}

void AllowanceLedger::RecordDemand(const OrganisationId& organisation,
                                   Tokens amount) {
  if (Account* account = Find(organisation)) {
    account->demand = Demand(*account) + amount.count / kDemandDecaySeconds;
  }
}

void AllowanceLedger::SetBacklog(const OrganisationId& organisation,
                                 Tokens backlog) {
  if (Account* account = Find(organisation)) {
    account->backlog = backlog;
  }
}

void AllowanceLedger::Settle(const OrganisationId& organisation,
                             ReservationId reservation, Tokens used) noexcept {
  if (Account* account = Find(organisation)) {
    account->share.Settle(reservation, used);
  }
}

AllowanceAsk AllowanceLedger::MakeAsk(const OrganisationId& organisation,
                                      const IncarnationId& giver, Tokens need) {
  AllowanceAsk ask;
  ask.organisation = organisation;
  ask.asker = m_self;
  ask.giver = giver;
  ask.epoch = m_state.epoch;
  if (Account* account = Find(organisation)) {
    const auto applied = account->last_applied.find(giver);
    ask.last_applied =
        applied == account->last_applied.end() ? 0 : applied->second;
    ask.need = need;
    ask.demand = {Demand(*account)};
    ask.held = account->share.fraction();
  }
  return ask;
}

AllowanceTransfer AllowanceLedger::HandleAsk(const AllowanceAsk& ask) {
  AllowanceTransfer empty_transfer;
  empty_transfer.giver = m_self;
  empty_transfer.epoch = m_state.epoch;
  Account* account = Find(ask.organisation);
  if (account == nullptr || !can_transfer() || ask.epoch != m_state.epoch) {
    return empty_transfer;
  }
  OutgoingTransfers& outgoing = account->outgoing[ask.asker];
  const std::uint64_t acknowledged_sequence =
      ask.giver == m_self ? ask.last_applied : 0;
  outgoing.acknowledged = acknowledged_sequence >= outgoing.last.sequence;
  if (!outgoing.acknowledged) {
    return outgoing.last;
  }
  const SharePart requested = ChoosePart(*account, ask);
  if (requested.fraction < kMinTransferFraction &&
      requested.level <= Tokens{}) {
    return empty_transfer;
  }
  const SharePart removed = account->share.Remove(requested);
  outgoing.last = {outgoing.last.sequence + 1, m_state.epoch, m_self,
                   removed.fraction, removed.level};
  outgoing.acknowledged = false;
  return outgoing.last;
}

bool AllowanceLedger::ApplyTransfer(const OrganisationId& organisation,
                                    const AllowanceTransfer& transfer) {
  Account* account = Find(organisation);
  if (account == nullptr || transfer.sequence == 0 ||
      transfer.epoch != m_state.epoch || !can_transfer()) {
    return false;
  }
  std::uint64_t& last_applied = account->last_applied[transfer.giver];
  if (transfer.sequence != last_applied + 1) {
    return false;
  }
  last_applied = transfer.sequence;
  account->share.Add({transfer.fraction, transfer.level});
  return true;
}

std::vector<IncarnationId> AllowanceLedger::Recipients(
    const OrganisationId& organisation) const {
  std::vector<IncarnationId> recipients;
  if (const Account* account = Find(organisation)) {
    for (const auto& [asker, outgoing] : account->outgoing) {
      if (outgoing.last.sequence > 0) {
        recipients.push_back(asker);
      }
    }
  }
  return recipients;
}

Tokens AllowanceLedger::Level(const OrganisationId& organisation) {
  Account* account = Find(organisation);
  return account == nullptr ? Tokens{} : account->share.Level();
}

Tokens AllowanceLedger::Burst(const OrganisationId& organisation) const {
  const Account* account = Find(organisation);
  return account == nullptr ? Tokens{} : account->share.burst();
}

TokensPerSecond AllowanceLedger::Rate(
    const OrganisationId& organisation) const {
  const Account* account = Find(organisation);
  return account == nullptr ? TokensPerSecond{} : account->share.rate();
}

double AllowanceLedger::Fraction(const OrganisationId& organisation) const {
  const Account* account = Find(organisation);
  return account == nullptr ? 0.0 : account->share.fraction();
}

AllowanceLedger::Account* AllowanceLedger::Find(
    const OrganisationId& organisation) noexcept {
  const auto found = m_accounts.find(organisation);
  return found == m_accounts.end() ? nullptr : &found->second;
}

const AllowanceLedger::Account* AllowanceLedger::Find(
    const OrganisationId& organisation) const noexcept {
  const auto found = m_accounts.find(organisation);
  return found == m_accounts.end() ? nullptr : &found->second;
}

double AllowanceLedger::Demand(Account& account) const noexcept {
  const TimePoint now = m_clock.Now();
  account.demand *= std::exp(-ToSeconds(now - account.demand_updated_at) /
                             kDemandDecaySeconds);
  account.demand_updated_at = now;
  return account.demand;
}

// The fractions that both entries hold are divided in proportion to their
// demand. In addition, the giver gives the tokens that the asker needs now, as
// far as no request at the giver waits for them.
SharePart AllowanceLedger::ChoosePart(Account& account,
                                      const AllowanceAsk& ask) const {
  const double giver_demand = Demand(account);
  const double total_demand = giver_demand + std::max(ask.demand.value, 0.0);
  const double giver_proportion =
      total_demand > 0.0 ? giver_demand / total_demand : 0.5;
  const double held = account.share.fraction();
  const double fair_fraction =
      (held + std::max(ask.held, 0.0)) * giver_proportion;
  const Tokens spare_level =
      std::max(account.share.Level() - account.backlog, Tokens{});
  SharePart part;
  part.fraction = std::max(held - fair_fraction, 0.0);
  part.level = std::clamp(ask.need, Tokens{}, spare_level);
  return part;
}

}  // namespace bambooquay
