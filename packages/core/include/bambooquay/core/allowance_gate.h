// Admits requests against an organisation's allowance: at once if this entry's
// share has enough tokens, otherwise after requesting shares from the other
// entries that hold one.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bambooquay/core/allowance_ledger.h"
#include "bambooquay/core/clock.h"

namespace bambooquay {

/// The request may run. Its reservation must be settled afterwards.
struct AllowanceGrant {
  ReservationId reservation{};
  /// Allowance epoch under which the tokens were spent.
  std::uint64_t epoch = 0;
};

/// The request is over the allowance.
struct AllowanceRefusal {
  /// Estimated time until the tokens are available; Duration::max() if the
  /// request exceeds the burst and can never be admitted.
  Duration retry_after = Duration::zero();
};

using AllowanceDecision = std::variant<AllowanceGrant, AllowanceRefusal>;

/// Sends requests for shares to other entries and schedules calls of Poll.
class AllowanceTransport {
 public:
  AllowanceTransport() = default;
  AllowanceTransport(const AllowanceTransport&) = delete;
  AllowanceTransport& operator=(const AllowanceTransport&) = delete;
  virtual ~AllowanceTransport() = default;

  /// Sends `ask` to the entry `ask.giver`.
  /// @param done  called exactly once with the reply, or with nothing if no
  ///   reply arrived; never called from inside Ask.
  virtual void Ask(
      const AllowanceAsk& ask,
      std::function<void(std::optional<AllowanceTransfer>)> done) = 0;
  /// Schedules a call of AllowanceGate::Poll after `delay` or earlier.
  virtual void SchedulePoll(Duration delay) = 0;
};

/// Admits requests, or queues them until tokens are available. The queue of
/// each organisation is first in, first out.
///
/// While requests wait, the gate requests shares from the other holders in
/// rounds: one request to every holder, and the round ends when each has
/// replied or timed out.
class AllowanceGate {
 public:
  using DecisionCallback = std::function<void(const AllowanceDecision&)>;

  AllowanceGate(const Clock& clock, AllowanceLedger& ledger,
                AllowanceTransport& transport) noexcept
      : m_clock(clock), m_ledger(ledger), m_transport(transport) {}

  /// Requests `amount` tokens. `on_decision` is called once with the decision,
  /// possibly from inside Reserve.
  void Reserve(const OrganisationId& organisation, Tokens amount,
               DecisionCallback on_decision);
  /// Admits waiting requests and starts the rounds that are due: one for each
  /// organisation with waiting requests or with a giver whose last reply was
  /// lost.
  void Poll();

 private:
  struct WaitingRequest {
    Tokens amount;
    DecisionCallback on_decision;
    /// Rounds to complete before the request may be refused.
    int rounds_left;
    TimePoint queued_at;
    /// Whether, at the end of some round while this request waited, a holder
    /// had not replied or the epoch was not active.
    bool saw_missing_holder = false;
  };
  struct OrganisationQueue {
    std::deque<WaitingRequest> waiting;
    /// Replies that the current round still waits for; 0 between rounds.
    std::size_t pending_replies = 0;
    /// Earliest start of the next round.
    TimePoint next_round_at{};
    /// Givers whose last reply was lost. Each may have given a share that has
    /// not been applied here, so it is asked again until it replies.
    std::set<IncarnationId> givers_without_reply;
  };

  void StartRound(const OrganisationId& organisation, OrganisationQueue& queue);
  void SendAsk(const OrganisationId& organisation, const IncarnationId& giver,
               Tokens need);
  void HandleReply(const OrganisationId& organisation,
                   const IncarnationId& giver,
                   const std::optional<AllowanceTransfer>& transfer);
  void FinishRound(const OrganisationId& organisation,
                   OrganisationQueue& queue);
  [[nodiscard]] bool ShouldRefuseFirst(const OrganisationId& organisation,
                                       OrganisationQueue& queue);
  void ScheduleNextRound();
  void AdmitWaiting(const OrganisationId& organisation,
                    OrganisationQueue& queue);
  [[nodiscard]] std::vector<IncarnationId> HoldersToAsk(
      const OrganisationId& organisation) const;
  [[nodiscard]] AllowanceRefusal MakeRefusal(const OrganisationId& organisation,
                                             Tokens amount);
  Tokens UpdateBacklog(const OrganisationId& organisation,
                       const OrganisationQueue& queue);

  const Clock& m_clock;
  AllowanceLedger& m_ledger;
  AllowanceTransport& m_transport;
  std::unordered_map<OrganisationId, OrganisationQueue> m_queues;
};

}  // namespace bambooquay
