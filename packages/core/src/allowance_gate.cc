// Admits requests against an organisation's allowance.
#include "bambooquay/core/allowance_gate.h"

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

// A request is refused after this many rounds at the earliest, as tokens that
// were in transfer to another asker during one round can be found in the next.
constexpr int kRoundsBeforeRefusal = 3;
constexpr Duration kRoundInterval = std::chrono::milliseconds(4);
constexpr Duration kMinPollDelay = std::chrono::milliseconds(1);
// A giver whose reply was lost is asked again at this interval while no request
// waits.
constexpr Duration kLostReplyRetryInterval = std::chrono::milliseconds(500);
// Requests wait for tokens that will be available within this time, rather than
// being refused.
constexpr Duration kMaxRefillWait = std::chrono::milliseconds(20);
// The share of a holder that does not reply is reassigned in the next epoch.
// Requests wait this long for that before they are refused.
constexpr Duration kMissingHolderTimeout = std::chrono::seconds(5);
// Limit for each organisation.
constexpr std::size_t kMaxWaitingRequests = 1024;
// Entries that received part of this share and are asked in one round, in
// addition to the holders that the epoch assigns.
constexpr std::size_t kMaxRecipientsAsked = 4;

}  // namespace

void AllowanceGate::Reserve(const OrganisationId& organisation, Tokens amount,
                            DecisionCallback on_decision) {
  m_ledger.RecordDemand(organisation, amount);
  if (amount > m_ledger.Burst(organisation)) {
    on_decision(AllowanceRefusal{Duration::max()});
    return;
  }
  OrganisationQueue& queue = m_queues[organisation];
  if (queue.waiting.empty()) {
    if (const auto reservation = m_ledger.TrySpend(organisation, amount)) {
      on_decision(AllowanceGrant{*reservation, m_ledger.epoch()});
      return;
    }
  }
  if (queue.waiting.size() >= kMaxWaitingRequests) {
    on_decision(MakeRefusal(organisation, amount));
    return;
  }
  queue.waiting.push_back(
      {amount, std::move(on_decision), kRoundsBeforeRefusal, m_clock.Now()});
  UpdateBacklog(organisation, queue);
  if (queue.pending_replies == 0 && queue.next_round_at <= m_clock.Now()) {
    StartRound(organisation, queue);
  }
}

void AllowanceGate::Poll() {
  const TimePoint now = m_clock.Now();
  // Admitting requests runs callbacks, which may add queues to the map, so the
  // keys are collected before.
  std::vector<OrganisationId> due;
  for (const auto& [organisation, queue] : m_queues) {
    if (queue.pending_replies == 0 && queue.next_round_at <= now &&
        (!queue.waiting.empty() || !queue.givers_without_reply.empty())) {
      due.push_back(organisation);
    }
  }
  for (const OrganisationId& organisation : due) {
    OrganisationQueue& queue = m_queues[organisation];
    AdmitWaiting(organisation, queue);
    if (!queue.waiting.empty() || !queue.givers_without_reply.empty()) {
      StartRound(organisation, queue);
    }
  }
  ScheduleNextRound();
}

// Poll may run slightly early, or for the queue of another organisation, so the
// next call is scheduled each time.
void AllowanceGate::ScheduleNextRound() {
  TimePoint earliest = TimePoint::max();
  for (const auto& [organisation, queue] : m_queues) {
    if (queue.pending_replies == 0 &&
        (!queue.waiting.empty() || !queue.givers_without_reply.empty())) {
      earliest = std::min(earliest, queue.next_round_at);
    }
  }
  if (earliest != TimePoint::max()) {
    m_transport.SchedulePoll(
        std::max<Duration>(earliest - m_clock.Now(), kMinPollDelay));
  }
}

void AllowanceGate::StartRound(const OrganisationId& organisation,
                               OrganisationQueue& queue) {
  const Tokens backlog = UpdateBacklog(organisation, queue);
  const Tokens need =
      std::max(backlog - m_ledger.Level(organisation), Tokens{});
  std::vector<IncarnationId> givers;
  if (m_ledger.can_transfer()) {
    givers = HoldersToAsk(organisation);
  }
  // A giver that no longer holds a share in this epoch has no valid transfer in
  // progress.
  std::erase_if(queue.givers_without_reply, [&](const IncarnationId& giver) {
    return std::ranges::find(givers, giver) == givers.end();
  });
  queue.pending_replies = givers.size();
  if (givers.empty()) {
    FinishRound(organisation, queue);
    return;
  }
  for (const IncarnationId& giver : givers) {
    SendAsk(organisation, giver, need);
  }
}

void AllowanceGate::SendAsk(const OrganisationId& organisation,
                            const IncarnationId& giver, Tokens need) {
  m_transport.Ask(m_ledger.MakeAsk(organisation, giver, need),
                  [this, organisation,
                   giver](const std::optional<AllowanceTransfer>& transfer) {
                    HandleReply(organisation, giver, transfer);
                  });
}

void AllowanceGate::HandleReply(
    const OrganisationId& organisation, const IncarnationId& giver,
    const std::optional<AllowanceTransfer>& transfer) {
  OrganisationQueue& queue = m_queues[organisation];
  --queue.pending_replies;
  if (transfer.has_value()) {
    queue.givers_without_reply.erase(giver);
    m_ledger.ApplyTransfer(organisation, *transfer);
    AdmitWaiting(organisation, queue);
  } else {
    queue.givers_without_reply.insert(giver);
  }
  if (queue.pending_replies == 0) {
    FinishRound(organisation, queue);
  }
}

void AllowanceGate::FinishRound(const OrganisationId& organisation,
                                OrganisationQueue& queue) {
  AdmitWaiting(organisation, queue);
  std::vector<WaitingRequest> refused;
  for (WaitingRequest& waiting : queue.waiting) {
    --waiting.rounds_left;
  }
  while (ShouldRefuseFirst(organisation, queue)) {
    refused.push_back(std::move(queue.waiting.front()));
    queue.waiting.pop_front();
  }
  UpdateBacklog(organisation, queue);
  if (!queue.waiting.empty() || !queue.givers_without_reply.empty()) {
    const Duration pause =
        queue.waiting.empty() ? kLostReplyRetryInterval : kRoundInterval;
    queue.next_round_at = m_clock.Now() + pause;
    m_transport.SchedulePoll(pause);
  }
  for (const WaitingRequest& waiting : refused) {
    waiting.on_decision(MakeRefusal(organisation, waiting.amount));
  }
}

bool AllowanceGate::ShouldRefuseFirst(const OrganisationId& organisation,
                                      OrganisationQueue& queue) {
  if (queue.waiting.empty() || queue.waiting.front().rounds_left > 0) {
    return false;
  }
  WaitingRequest& request = queue.waiting.front();
  const bool holder_missing =
      !queue.givers_without_reply.empty() || !m_ledger.can_transfer();
  request.saw_missing_holder |= holder_missing;
  const Duration max_wait =
      request.saw_missing_holder
          ? request.queued_at + kMissingHolderTimeout - m_clock.Now()
          : kMaxRefillWait;
  if (holder_missing && max_wait > Duration::zero()) {
    return false;
  }
  return MakeRefusal(organisation, request.amount).retry_after > max_wait;
}

void AllowanceGate::AdmitWaiting(const OrganisationId& organisation,
                                 OrganisationQueue& queue) {
  while (!queue.waiting.empty()) {
    const auto reservation =
        m_ledger.TrySpend(organisation, queue.waiting.front().amount);
    if (!reservation.has_value()) {
      break;
    }
    const WaitingRequest admitted = std::move(queue.waiting.front());
    queue.waiting.pop_front();
    UpdateBacklog(organisation, queue);
    admitted.on_decision(AllowanceGrant{*reservation, m_ledger.epoch()});
  }
}

std::vector<IncarnationId> AllowanceGate::HoldersToAsk(
    const OrganisationId& organisation) const {
  std::vector<IncarnationId> givers;
  const IncarnationId self = m_ledger.self();
  for (const AllowanceMember& member :
       m_ledger.state().HoldersOf(organisation)) {
    if (member.incarnation != self) {
      givers.push_back(member.incarnation);
    }
  }
  std::size_t recipients = 0;
  for (const IncarnationId& recipient : m_ledger.Recipients(organisation)) {
    if (std::ranges::find(givers, recipient) == givers.end() &&
        recipients++ < kMaxRecipientsAsked) {
      givers.push_back(recipient);
    }
  }
  return givers;
}

AllowanceRefusal AllowanceGate::MakeRefusal(const OrganisationId& organisation,
                                            Tokens amount) {
  const double rate =
      m_ledger.Rate(organisation).value * m_ledger.Fraction(organisation);
  const double missing_tokens =
      std::max(amount - m_ledger.Level(organisation), Tokens{}).count;
  constexpr Duration kMaxRetryAfter = std::chrono::hours(1);
  if (rate <= 0.0) {
    return {std::min<Duration>(std::chrono::seconds(1), kMaxRetryAfter)};
  }
  return {std::min(FromSeconds(std::min(missing_tokens / rate, 3600.0)),
                   kMaxRetryAfter)};
}

Tokens AllowanceGate::UpdateBacklog(const OrganisationId& organisation,
                                    const OrganisationQueue& queue) {
  Tokens backlog;
  for (const WaitingRequest& waiting : queue.waiting) {
    backlog += waiting.amount;
  }
  m_ledger.SetBacklog(organisation, backlog);
  return backlog;
}

}  // namespace bambooquay
