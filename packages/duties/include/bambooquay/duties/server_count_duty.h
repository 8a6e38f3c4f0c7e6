// Orders the number of servers from the platform while this entry holds the
// duties.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/duties/duty_client.h"
#include "bambooquay/duties/server_count_policy.h"
#include "bambooquay/runtime/metrics.h"

namespace bambooquay {

/// A scaled service, with its servers and load.
struct ScaledService {
  ServiceName service;
  ServerCountLimits limits;
  std::vector<DataCentreLoad> data_centres;
};

/// Objects that the duty uses. They must outlive it.
struct ServerCountDutyDeps {
  const Clock& clock;
  DutyClient& client;
  Metrics& metrics;
  /// @returns the scaled services of the configuration in force.
  std::function<std::vector<ScaledService>()> measure;
};

/// Watches the load in every entry, so that the next holder knows it, and gives
/// orders in the holder. One call is in progress at a time. An order that was
/// accepted or rejected is not sent again; one with any other result is, until
/// it is or another one replaces it.
class ServerCountDuty {
 public:
  explicit ServerCountDuty(ServerCountDutyDeps deps);

  /// To be called every `kTickPeriod`.
  /// @param is_holder  whether this entry holds the duties.
  /// @param grant  set if a call may be sent now.
  void Tick(bool is_holder, const std::optional<DutyGrant>& grant);
  /// @returns whether a call is in progress.
  [[nodiscard]] bool is_busy() const noexcept { return m_is_busy; }
  /// @returns the time since an order was accepted by this entry.
  [[nodiscard]] std::optional<Duration> SuccessAge() const;

  /// @returns the time for which calls have had no response of the platform.
  [[nodiscard]] Duration FailingFor() const;

  static constexpr Duration kTickPeriod = std::chrono::milliseconds(250);
  /// Pause after an order that was not accepted; doubled with each further one.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(500);
  static constexpr Duration kMaxPause = std::chrono::seconds(8);

 private:
  /// A service in one data centre.
  using Subject = std::pair<ServiceName, DataCentreId>;
  /// A number of servers for a subject.
  using Order = std::pair<const Subject, int>;

  void Watch();
  void HandleDecision(const ServiceName& service,
                      const ServerCountDecision& decision);
  void SendNext(const DutyGrant& grant);
  /// @param term  the one in which the order was sent.
  void HandleResult(std::uint64_t term, const Order& order,
                    DutyCallResult result);
  /// Forgets what was ordered and begins a new term.
  void ForgetOrders();
  [[nodiscard]] static std::string Labels(const Subject& subject);

  ServerCountDutyDeps m_deps;
  std::map<ServiceName, ServerCountPolicy> m_policies;
  TimePoint m_watched_at{};
  bool m_is_holder = false;
  std::uint64_t m_fencing_token = 0;
  /// Orders that the platform has not accepted yet.
  std::map<Subject, int> m_pending;
  /// The last subject that a call was sent for, so that all get their turn.
  Subject m_last_subject;
  /// Numbers of servers for the metrics.
  std::map<Subject, ServerCountDecision> m_shown;
  /// Grows whenever orders are forgotten; results of earlier terms are ignored.
  std::uint64_t m_term = 0;
  bool m_is_busy = false;
  Duration m_pause{};
  TimePoint m_paused_until{};
  std::optional<TimePoint> m_accepted_at;
  std::optional<TimePoint> m_failing_since;
};

}  // namespace bambooquay
