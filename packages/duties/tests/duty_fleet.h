// Entries that share the lease of the duties, and a platform that judges their
// calls, on simulated time.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bambooquay/core/random.h"
#include "bambooquay/duties/duty_lease.h"
#include "simulated_store.h"

namespace bambooquay::testing {

/// One call of a duty as it reaches the platform.
struct ArrivedCall {
  TimePoint at;
  std::size_t machine = 0;
  std::uint64_t fencing_token = 0;
};

/// @returns what is wrong with the calls, in the order of their arrival; empty
///   if no two machines act in turn within a lease time, no token falls, and
///   each belongs to one machine.
inline std::string FindFault(std::vector<ArrivedCall> calls,
                             Duration lease_time) {
  std::ranges::stable_sort(calls, {}, &ArrivedCall::at);
  std::map<std::uint64_t, std::size_t> owners;
  std::map<std::size_t, TimePoint> last_calls;
  std::uint64_t highest = 0;
  std::optional<std::size_t> previous;
  for (const ArrivedCall& call : calls) {
    if (call.fencing_token < highest) {
      return "token " + std::to_string(call.fencing_token) + " after " +
             std::to_string(highest);
    }
    highest = call.fencing_token;
    if (owners.try_emplace(highest, call.machine).first->second !=
        call.machine) {
      return "token " + std::to_string(highest) + " of two machines";
    }
    const auto last = last_calls.find(call.machine);
    if (previous.has_value() && *previous != call.machine &&
        last != last_calls.end() && call.at - last->second < lease_time) {
      return "machine " + std::to_string(call.machine) + " acts again after " +
             std::to_string(ToSeconds(call.at - last->second)) + " s";
    }
    last_calls[call.machine] = call.at;
    previous = call.machine;
  }
  return "";
}

/// Machines that run one entry each. They act whenever they have a grant, and
/// their calls take a random part of the call time to arrive.
class DutyFleet {
 public:
  static constexpr Duration kLeaseTime = std::chrono::seconds(3);

  explicit DutyFleet(std::size_t machines, std::uint32_t seed = 1)
      : m_random(seed) {
    for (std::size_t index = 0; index < machines; ++index) {
      m_machines.emplace_back();
      m_machines.back().table = std::make_unique<SimulatedTable>(
          time, store, [this, index](std::function<void()> callback) {
            Deliver(index, std::move(callback));
          });
      Start(index);
      time.After(std::chrono::milliseconds(7) * static_cast<int>(index),
                 [this, index] { TickLoop(index); });
    }
  }

  void Start(std::size_t index) {
    Machine& machine = m_machines[index];
    const std::uint64_t run = ++machine.run;
    machine.is_running = true;
    machine.is_draining = false;
    machine.hand_over_pause.reset();
    machine.sent.reset();
    machine.lease = std::make_unique<DutyLease>(time.clock, *machine.table,
                                                Id(index), run, kLeaseTime);
    machine.lease->OnNews([this, index] { SendNotice(index); });
  }
  void Kill(std::size_t index) {
    m_machines[index].is_running = false;
    m_machines[index].deferred.clear();
    m_machines[index].table->DropCallbacks();
  }
  void Freeze(std::size_t index) { m_machines[index].is_frozen = true; }
  void Thaw(std::size_t index) {
    Machine& machine = m_machines[index];
    machine.is_frozen = false;
    // After a freeze, an event loop may run callbacks before timers.
    Act(index);
    for (const auto& callback : std::exchange(machine.deferred, {})) {
      callback();
      Act(index);
    }
  }
  void Drain(std::size_t index) { m_machines[index].is_draining = true; }
  void SetCutFromPeers(std::size_t index, bool is_cut) {
    m_machines[index].is_cut_from_peers = is_cut;
  }
  /// Hands the lease over, as after failed calls, once the last call has
  /// arrived.
  void HandOver(std::size_t index, Duration pause) {
    m_machines[index].hand_over_pause = pause;
  }

  [[nodiscard]] SimulatedTable& table(std::size_t index) {
    return *m_machines[index].table;
  }
  [[nodiscard]] const DutyLease& lease(std::size_t index) const {
    return *m_machines[index].lease;
  }
  /// @returns the machine that may act now.
  [[nodiscard]] std::optional<std::size_t> Holder() const {
    for (std::size_t index = 0; index < m_machines.size(); ++index) {
      const Machine& machine = m_machines[index];
      if (machine.is_running && !machine.is_frozen &&
          machine.lease->GrantFor(Duration::zero()).has_value()) {
        return index;
      }
    }
    return std::nullopt;
  }
  [[nodiscard]] bool RunUntilHolder(Duration limit) {
    for (Duration waited{}; waited < limit;
         waited += std::chrono::milliseconds(10)) {
      if (Holder().has_value()) {
        return true;
      }
      time.RunFor(std::chrono::milliseconds(10));
    }
    return Holder().has_value();
  }
  [[nodiscard]] std::string Fault() const {
    return FindFault(calls, kLeaseTime);
  }
  [[nodiscard]] static InstanceId Id(std::size_t index) {
    return InstanceId("entry-" +
                      std::string(1, static_cast<char>('a' + index)));
  }

  SimulatedTime time;
  SimulatedStore store;
  std::vector<ArrivedCall> calls;

 private:
  struct Machine {
    std::unique_ptr<SimulatedTable> table;
    std::unique_ptr<DutyLease> lease;
    std::uint64_t run = 0;
    bool is_running = false;
    bool is_frozen = false;
    bool is_draining = false;
    bool is_cut_from_peers = false;
    std::optional<LeaseNotice> sent;
    std::optional<Duration> hand_over_pause;
    TimePoint last_arrival{};
    std::vector<std::function<void()>> deferred;
  };

  void Deliver(std::size_t index, std::function<void()> callback) {
    Machine& machine = m_machines[index];
    if (!machine.is_running) {
      return;
    }
    if (machine.is_frozen) {
      machine.deferred.push_back(std::move(callback));
      return;
    }
    callback();
  }

  void TickLoop(std::size_t index) {
    time.After(DutyLease::kTickPeriod, [this, index] { TickLoop(index); });
    Machine& machine = m_machines[index];
    if (!machine.is_running || machine.is_frozen) {
      return;
    }
    std::size_t rank = 0;
    for (std::size_t other = 0; other < index; ++other) {
      const Machine& peer = m_machines[other];
      rank += peer.is_running && !peer.is_frozen && !peer.is_draining &&
                      !peer.is_cut_from_peers
                  ? 1
                  : 0;
    }
    machine.lease->Tick(machine.is_draining ? std::nullopt
                                            : std::optional(rank));
    if (machine.is_draining) {
      machine.hand_over_pause = std::chrono::hours(1);
    }
    if (machine.hand_over_pause.has_value() && machine.lease->is_holder() &&
        time.clock.Now() >= machine.last_arrival) {
      machine.lease->Release("test", *machine.hand_over_pause);
      machine.hand_over_pause.reset();
    }
    if (machine.lease->MakeNotice() != machine.sent) {
      SendNotice(index);
    }
    Act(index);
  }

  void SendNotice(std::size_t index) {
    Machine& machine = m_machines[index];
    machine.sent = machine.lease->MakeNotice();
    if (!machine.sent.has_value() || machine.is_cut_from_peers) {
      return;
    }
    for (std::size_t other = 0; other < m_machines.size(); ++other) {
      if (other == index || m_machines[other].is_cut_from_peers) {
        continue;
      }
      time.After(std::chrono::milliseconds(1),
                 [this, other, notice = *machine.sent] {
                   Deliver(other, [this, other, notice] {
                     m_machines[other].lease->HandleNotice(notice);
                   });
                 });
    }
  }

  void Act(std::size_t index) {
    Machine& machine = m_machines[index];
    const auto grant = machine.lease->GrantFor(DutyClient::kCallTime);
    if (!grant.has_value() || machine.is_draining ||
        machine.hand_over_pause.has_value()) {
      return;
    }
    const Duration delay = std::chrono::milliseconds(
        m_random.UniformBelow(static_cast<std::uint32_t>(
            DutyClient::kCallTime / std::chrono::milliseconds(1))));
    // Calls of one holder arrive in order; only their tokens matter.
    calls.push_back({time.clock.Now() + delay, index, grant->fencing_token});
    machine.last_arrival = std::max(machine.last_arrival, calls.back().at);
  }

  SeededRandom m_random;
  std::deque<Machine> m_machines;
};

}  // namespace bambooquay::testing
