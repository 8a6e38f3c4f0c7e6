// Simulates a few entries that share allowances over an unreliable network, for
// the allowance tests. Of the agents, only the part that concerns allowances is
// simulated: they refuse work of an old epoch.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bambooquay/core/allowance_gate.h"
#include "bambooquay/core/allowance_ledger.h"
#include "bambooquay/core/clock.h"
#include "bambooquay/core/random.h"

namespace bambooquay::testing {

/// A request that the agents admitted.
struct Admission {
  TimePoint at;
  double tokens = 0.0;
};

/// Faults of the simulated network, for each message.
struct NetworkFaults {
  std::uint32_t loss_percent = 0;
  std::uint32_t duplicate_percent = 0;
  std::uint32_t max_delay_ms = 2;
};

/// A fleet of entries with the allowance of one organisation. Time advances
/// only in Advance().
class AllowanceFleet {
 public:
  AllowanceFleet(std::size_t entries, double rate, double burst,
                 std::uint64_t seed)
      : m_random(seed), m_settings{{kOrganisation, {rate}, {burst}, 1.0}} {
    for (std::size_t i = 0; i < entries; ++i) {
      AddEntry();
    }
    StartEpoch();
    CompleteFencing();
  }

  static inline const OrganisationId kOrganisation{"org"};

  ManualClock& clock() { return m_clock; }
  NetworkFaults& faults() { return m_faults; }
  [[nodiscard]] std::size_t size() const { return m_entries.size(); }
  [[nodiscard]] const std::vector<Admission>& admissions() const {
    return m_admissions;
  }
  [[nodiscard]] std::size_t refusals() const { return m_refusals; }
  AllowanceLedger& ledger(std::size_t index) {
    return m_entries[index]->ledger;
  }

  /// Adds an entry. It holds no share until the next epoch assigns it one.
  void AddEntry() {
    const std::string name = "entry-" + std::to_string(m_entries.size());
    m_entries.push_back(std::make_unique<Member>(*this, name));
    m_entries.back()->ledger.Configure(m_settings);
    if (m_state.epoch > 0) {
      m_entries.back()->ledger.Adopt(m_state);
    }
  }

  /// Sends a request to an entry. A frozen entry handles it with the state it
  /// had when it froze, like a process that resumes before any message reaches
  /// it.
  void SendRequest(std::size_t index, double tokens) {
    Member& member = *m_entries[index];
    if (member.dead) {
      return;
    }
    member.gate.Reserve(
        kOrganisation, {tokens},
        [this, index, tokens](const AllowanceDecision& decision) {
          HandleDecision(decision, index, tokens);
        });
  }

  /// Completes the oldest running request.
  /// @param used_fraction  fraction of its reserved tokens that it used.
  void Settle(double used_fraction) {
    if (m_running.empty()) {
      return;
    }
    const RunningRequest running = m_running.front();
    m_running.pop_front();
    Member& member = *m_entries[running.entry];
    if (member.frozen || member.dead) {
      return;
    }
    const double used = running.tokens * used_fraction;
    member.ledger.Settle(kOrganisation, running.reservation, {used});
    m_admissions[running.admission].tokens = used;
  }

  /// Pauses or resumes an entry. Messages to a frozen entry are held back.
  void SetFrozen(std::size_t index, bool frozen) {
    m_entries[index]->frozen = frozen;
    if (!frozen) {
      // The entry resumes with its old state; only then are the messages
      // delivered.
      auto held_back = std::exchange(m_entries[index]->inbox, {});
      for (auto& action : held_back) {
        action();
      }
    }
  }
  void Kill(std::size_t index) { m_entries[index]->dead = true; }

  void SetAllowance(double rate, double burst) {
    m_settings[0].rate = {rate};
    m_settings[0].burst = {burst};
    for (auto& member : m_entries) {
      Deliver(*member, [&ledger = member->ledger, settings = m_settings] {
        ledger.Configure(settings);
      });
    }
  }

  /// Starts the fencing phase of a new epoch, whose members are all entries
  /// that are neither frozen nor dead.
  void StartEpoch() {
    ++m_state.epoch;
    m_state.phase = AllowancePhase::kFencing;
    m_state.members.clear();
    for (const auto& member : m_entries) {
      if (!member->dead && !member->frozen) {
        m_state.members.push_back(
            {member->ledger.self(), InstanceId(member->ledger.self().value())});
      }
    }
    BroadcastState();
  }

  /// Makes the agents refuse older epochs, then activates the current epoch, so
  /// that its members take the shares assigned to them.
  void CompleteFencing() {
    m_agents_epoch = m_state.epoch;
    m_state.phase = AllowancePhase::kActive;
    BroadcastState();
  }

  /// Advances the clock by `step` and delivers messages as they become due.
  void Advance(Duration step) {
    const TimePoint end = m_clock.Now() + step;
    while (m_clock.Now() < end) {
      m_clock.Advance(std::chrono::milliseconds(1));
      DeliverDueMessages();
      for (auto& member : m_entries) {
        if (!member->frozen && !member->dead) {
          member->gate.Poll();
        }
      }
    }
  }

  /// @returns the largest excess of any time window over burst + rate * time;
  ///   0 if no window exceeded it.
  static double MaxExcess(const std::vector<Admission>& admissions, double rate,
                          double burst) {
    // Leaky bucket: the window with the largest excess starts where the bucket
    // was last empty.
    double backlog = 0.0;
    double max_excess = 0.0;
    TimePoint last{};
    for (const Admission& admission : admissions) {
      if (last != TimePoint{}) {
        backlog -= rate * ToSeconds(admission.at - last);
      }
      backlog = std::max(backlog, 0.0) + admission.tokens;
      last = admission.at;
      max_excess = std::max(max_excess, backlog - burst);
    }
    return max_excess;
  }

 private:
  struct Member final : AllowanceTransport {
    Member(AllowanceFleet& owner, const std::string& name)
        : fleet(owner),
          ledger(owner.m_clock, IncarnationId(name)),
          gate(owner.m_clock, ledger, *this) {}

    void Ask(
        const AllowanceAsk& ask,
        std::function<void(std::optional<AllowanceTransfer>)> done) override {
      fleet.SendAsk(*this, ask, done);
    }
    void SchedulePoll(Duration /*delay*/) override {}

    AllowanceFleet& fleet;
    AllowanceLedger ledger;
    AllowanceGate gate;
    bool frozen = false;
    bool dead = false;
    std::vector<std::function<void()>> inbox;
  };
  struct Message {
    TimePoint due;
    Member* recipient;
    std::function<void()> action;
  };
  struct RunningRequest {
    std::size_t entry;
    std::size_t admission;
    ReservationId reservation;
    double tokens;
  };

  void HandleDecision(const AllowanceDecision& decision, std::size_t entry,
                      double tokens) {
    const auto* grant = std::get_if<AllowanceGrant>(&decision);
    if (grant == nullptr) {
      ++m_refusals;
    } else if (grant->epoch >= m_agents_epoch) {
      m_running.push_back(
          {entry, m_admissions.size(), grant->reservation, tokens});
      m_admissions.push_back({m_clock.Now(), tokens});
    }
  }

  void SendAsk(
      Member& asker, const AllowanceAsk& ask,
      const std::function<void(std::optional<AllowanceTransfer>)>& done) {
    const auto giver = std::ranges::find_if(m_entries, [&](const auto& member) {
      return member->ledger.self() == ask.giver;
    });
    const auto has_replied = std::make_shared<bool>(false);
    const auto reply = [has_replied, done](std::optional<AllowanceTransfer> t) {
      if (!std::exchange(*has_replied, true)) {
        done(std::move(t));
      }
    };
    constexpr Duration kReplyTimeout = std::chrono::milliseconds(60);
    m_messages.push_back({m_clock.Now() + kReplyTimeout, &asker,
                          [reply] { reply(std::nullopt); }});
    if (giver == m_entries.end()) {
      return;
    }
    Member* recipient = giver->get();
    Send(*recipient, [this, recipient, ask, reply, &asker] {
      const AllowanceTransfer transfer = recipient->ledger.HandleAsk(ask);
      Send(asker, [reply, transfer] { reply(transfer); });
    });
  }

  void Send(Member& recipient, const std::function<void()>& action) {
    const auto copies =
        m_random.UniformBelow(100) < m_faults.duplicate_percent ? 2U : 1U;
    for (std::uint32_t i = 0; i < copies; ++i) {
      if (m_random.UniformBelow(100) >= m_faults.loss_percent) {
        const Duration delay = std::chrono::milliseconds(
            1 + m_random.UniformBelow(m_faults.max_delay_ms + 1));
        m_messages.push_back({m_clock.Now() + delay, &recipient, action});
      }
    }
  }

  void DeliverDueMessages() {
    const TimePoint now = m_clock.Now();
    auto messages = std::exchange(m_messages, {});
    for (Message& message : messages) {
      if (message.due > now) {
        m_messages.push_back(std::move(message));
      } else {
        Deliver(*message.recipient, std::move(message.action));
      }
    }
  }

  static void Deliver(Member& recipient, std::function<void()> action) {
    if (recipient.frozen) {
      recipient.inbox.push_back(std::move(action));
    } else if (!recipient.dead) {
      action();
    }
  }

  void BroadcastState() {
    for (auto& member : m_entries) {
      Deliver(*member, [&ledger = member->ledger, state = m_state] {
        ledger.Adopt(state);
      });
    }
  }

  ManualClock m_clock;
  SeededRandom m_random;
  std::vector<OrganisationSettings> m_settings;
  NetworkFaults m_faults;
  AllowanceState m_state;
  std::uint64_t m_agents_epoch = 0;
  std::vector<std::unique_ptr<Member>> m_entries;
  std::deque<Message> m_messages;
  std::vector<Admission> m_admissions;
  std::deque<RunningRequest> m_running;
  std::size_t m_refusals = 0;
};

}  // namespace bambooquay::testing
