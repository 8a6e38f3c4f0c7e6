// Decides how many servers a service should have in each data centre.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/serving/fleet_configuration.h"

namespace bambooquay {

/// What the configuration says of a service's servers.
struct ServerCountLimits {
  /// Per data centre. At least one server is kept: a data centre without any
  /// shows no load.
  int min_count = 1;
  int max_count = 1;
  double places = 1.0;  ///< Calls that one server runs at the same time.
  /// From an order until a new server serves calls: it boots, then loads a
  /// model.
  Duration lead_time{};
  /// Servers, in all data centres together, whose memory holds every model.
  int servers_for_models = 0;
};

/// @returns the limits of a service, or nothing if it is not scaled or is a
///   plain service, whose load no report tells.
[[nodiscard]] std::optional<ServerCountLimits> LimitsOf(
    const ServingService& service);

/// Servers and load of a service in one data centre at one moment.
struct DataCentreLoad {
  DataCentreId data_centre;
  /// False if operators have disabled it, or no server there can be used.
  bool in_service = true;
  int serving = 0;       ///< Servers that may get calls.
  int reporting = 0;     ///< Of these, those with a recent report.
  int leaving = 0;       ///< Servers that are emptied.
  double running = 0.0;  ///< Calls that run on the servers with a report.
  double waiting = 0.0;  ///< Calls that wait there.
  /// Calls that callers send to the entries of this data centre, refused ones
  /// included; nothing if not known.
  std::optional<double> calls_per_second;
};

enum class ServerCountReason : std::uint8_t {
  kUnchanged,
  kLoad,       ///< The expected load needs more servers.
  kMovedLoad,  ///< The same, with load of a data centre out of service.
  kModels,     ///< Memory for every model needs more servers.
  kMinimum,    ///< The configured minimum is higher.
  kIdle,       ///< Fewer have been enough for a while.
};

[[nodiscard]] std::string_view ToString(ServerCountReason reason) noexcept;

/// The number of servers that one data centre should have, and why.
struct ServerCountDecision {
  DataCentreId data_centre;
  int target = 0;
  int previous = 0;
  int serving = 0;
  ServerCountReason reason = ServerCountReason::kUnchanged;
  double load = 0.0;           ///< Calls in progress now, smoothed.
  double expected_load = 0.0;  ///< Calls when new servers would serve.
  /// Servers of an order that should have been carried out are missing.
  bool overdue = false;
};

/// Load it answers: calls in progress beyond the servers' places, which wait or
/// are refused. The number of servers follows the load that is expected when
/// servers ordered now would serve. It is a function of the callers' load, not
/// of the servers present, so orders that are not carried out yet are not
/// ordered again. It grows at once, and shrinks by one server after fewer have
/// been enough for a while.
///
/// Has no I/O. One object for each service.
class ServerCountPolicy {
 public:
  /// `clock` must outlive the policy.
  explicit ServerCountPolicy(const Clock& clock) : m_clock(clock) {}

  /// To be called about every second. Data centres out of service keep their
  /// number, and their load is planned for the others.
  /// @returns a decision for each data centre in service whose number is to be
  ///   changed now, or was changed earlier.
  [[nodiscard]] std::vector<ServerCountDecision> Update(
      const ServerCountLimits& limits,
      const std::vector<DataCentreLoad>& data_centres);
  /// Forgets what was ordered, but not the load. To be called while another
  /// process gives the orders.
  void ForgetTargets();

  /// Until it has watched for this long, it decides nothing: the list of
  /// servers may still be incomplete.
  static constexpr Duration kWarmUpTime = std::chrono::seconds(5);
  /// Fewer servers must have been enough for this long, or for three lead
  /// times, before one is given up.
  static constexpr Duration kMinIdleTime = std::chrono::seconds(60);

 private:
  /// The largest of the numbers of the last while.
  class RecentMaximum {
   public:
    void Add(TimePoint now, int number);
    void RemoveBefore(TimePoint time);
    void Clear() { m_numbers.clear(); }
    [[nodiscard]] int value() const {
      return m_numbers.empty() ? 0 : m_numbers.front().second;
    }

   private:
    /// Each larger than all after it.
    std::deque<std::pair<TimePoint, int>> m_numbers;
  };
  struct DataCentreState {
    bool in_service = true;
    double level = 0.0;  ///< Smoothed calls in progress.
    double trend = 0.0;  ///< Growth of the level per second.
    std::optional<TimePoint> updated_at;
    /// Ordered number; nothing before the first order, as the platform does
    /// not tell it. The servers that serve stand for it then.
    std::optional<int> target;
    TimePoint target_set_at{};
    /// In service without a break since then.
    std::optional<TimePoint> watched_since;
    // Both within the idle time.
    RecentMaximum needed;
    RecentMaximum serving;
  };
  /// What is planned for one data centre in one update.
  struct Plan {
    const DataCentreLoad* load = nullptr;
    DataCentreState* state = nullptr;
    double expected_load = 0.0;
    double moved_load = 0.0;
    int needed = 0;
    ServerCountReason reason = ServerCountReason::kLoad;

    [[nodiscard]] int current() const {
      return state->target.value_or(load->serving);
    }
  };

  /// Learns how long a call runs while no call waits.
  void LearnRunTime(const ServerCountLimits& limits,
                    const std::vector<DataCentreLoad>& data_centres);
  /// @returns the calls that would be in progress if there were places for all;
  ///   nothing if too few servers report.
  [[nodiscard]] std::optional<double> OfferedLoad(
      const DataCentreLoad& load) const;
  void UpdateLoads(const ServerCountLimits& limits,
                   const std::vector<DataCentreLoad>& data_centres);
  /// Notes which data centres have gone out of service, with their load.
  void NoteLostDataCentres(const ServerCountLimits& limits,
                           const std::vector<DataCentreLoad>& data_centres);
  [[nodiscard]] std::vector<Plan> MakePlans(
      const ServerCountLimits& limits,
      const std::vector<DataCentreLoad>& data_centres);
  /// Raises the plans until all servers together hold every model.
  static void KeepModels(const ServerCountLimits& limits,
                         std::vector<Plan>& plans);
  [[nodiscard]] ServerCountDecision Decide(const ServerCountLimits& limits,
                                           Plan& plan) const;
  /// Gives up one server, of the data centre with the most to spare.
  void Shrink(const ServerCountLimits& limits, std::vector<Plan>& plans,
              std::vector<ServerCountDecision>& decisions);
  void SetTarget(const Plan& plan, int target, ServerCountReason reason,
                 ServerCountDecision& decision) const;

  const Clock& m_clock;
  std::optional<TimePoint> m_watched_since;
  std::map<DataCentreId, DataCentreState> m_states;
  /// Time that a call runs, in seconds.
  std::optional<double> m_run_seconds;
  TimePoint m_run_learned_at{};
  /// Load of all data centres when one was lost. It comes back at the others,
  /// so the plan does not fall below it for a while.
  double m_load_at_loss = 0.0;
  TimePoint m_loss_counts_until{};
};

}  // namespace bambooquay
