// The duties of one entry: it counts its requests, and performs the duties of
// the fleet while it holds their lease.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/wall_clock.h"
#include "bambooquay/duties/duty_client.h"
#include "bambooquay/duties/duty_lease.h"
#include "bambooquay/duties/server_count_duty.h"
#include "bambooquay/duties/usage_counter.h"
#include "bambooquay/duties/usage_reporter.h"
#include "bambooquay/runtime/boot_clock.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/serving/serving_entry.h"
#include "bambooquay/serving/serving_settings.h"

namespace bambooquay {

/// Objects that the duties use. They must outlive them.
struct EntryDutiesDeps {
  EventLoop& loop;
  FleetTable& table;
  DutyClient& client;
  Metrics& metrics;
  ServingEntry& entry;
};

/// Connects the lease, the usage and the number of servers to the other
/// entries, the store and the platform.
class EntryDuties {
 public:
  EntryDuties(const DutySettings& settings, InstanceId self,
              const EntryDutiesDeps& deps);

  /// To be called once the entry has started.
  void Start();
  /// To be called when the entry starts to drain: hands the duties over.
  void Drain() { m_is_draining = true; }
  /// To be called when the entry has drained: sends its last counts.
  /// @param done  runs soon afterwards.
  void Finish(std::function<void()> done);

  [[nodiscard]] const DutyLease& lease() const noexcept { return m_lease; }
  /// @returns the state for operators, as a JSON object.
  [[nodiscard]] std::string StatusJson() const;

 private:
  void Tick();
  /// @returns the number of entries that should acquire the lease before this
  ///   one; nothing if this one must not.
  [[nodiscard]] std::optional<std::size_t> Rank() const;
  void HandOverIfNeeded();
  /// @returns the time for which all calls of this entry have failed.
  [[nodiscard]] Duration FailingFor() const;
  [[nodiscard]] std::vector<ScaledService> MeasureScaledServices() const;
  void SendNotice();
  /// @returns the entry that will probably hold the lease next, other than this
  ///   one; nothing if there is none.
  [[nodiscard]] std::optional<InstanceId> Standby() const;
  /// Sends the counts that are due to the holder, and to the standby, so that
  /// they outlive the holder.
  void SendCounts();
  /// Sends the counts that are not settled to all entries. While entries are
  /// restarted in turn, any of them may be the next holder.
  void SendLastCounts();
  void HandleMessage(const StatusMessage& message);
  void HandleNotice(const InstanceId& sender, const DutyNotice& notice);
  [[nodiscard]] std::vector<UsageSource> ListSources() const;
  void RegisterGauges();

  DutySettings m_settings;
  InstanceId m_self;
  EntryDutiesDeps m_deps;
  BootClock m_clock;
  SystemWallClock m_wall_clock;
  UnixTime m_started_at;
  PeerExchange& m_peers;
  DutyLease m_lease;
  UsageCounter m_counter;
  UsageReporter m_reporter;
  /// Null if the number of servers is not a duty.
  std::unique_ptr<ServerCountDuty> m_server_count;
  bool m_is_draining = false;
  /// The holder by its last notice, with its fencing token.
  std::optional<InstanceId> m_holder;
  std::uint64_t m_holder_token = 0;
  std::optional<LeaseNotice> m_sent_notice;
  UsageWindow m_sent_through{};
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_finish_timer;
};

}  // namespace bambooquay
