// When a call leaves its data centre for an engine in another one.
#pragma once

#include <string>
#include <unordered_map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/random.h"

namespace bambooquay {

/// What the best engine of one side offers a call.
struct SideOffer {
  Duration first_event{};    ///< Predicted.
  Duration longest_pause{};  ///< Predicted, of the call's own stream.
  double cost_ms = 0.0;      ///< Predicted delay of all callers.
};

/// What a call tolerates, and what leaving takes.
struct CrossingCall {
  Duration target_first_event{};  ///< Zero without an objective.
  Duration max_pause{};           ///< Zero without a bound.
  /// Time to the other data centre and back, with the transfer of the prompt
  /// and the response.
  Duration crossing_time{};
};

/// Decides which calls leave, and how many. A call leaves if it would miss its
/// objective at home and is predicted to do clearly better elsewhere, or if the
/// gain is well above what crossing takes.
///
/// While engines at home have more work than they can do in time, only a share
/// of the calls leaves, by the surplus of work. It rises quickly and falls
/// slowly, so that calls don't go to and fro with each report, and each entry
/// draws its calls at random, so that they don't leave all at the same moment.
///
/// @code
/// DataCentrePolicy policy(clock, random);
/// if (policy.ShouldLeave("service/model", call, home, away)) { ... }
/// @endcode
class DataCentrePolicy {
 public:
  DataCentrePolicy(const Clock& clock, RandomSource& random)
      : m_clock(clock), m_random(random) {}

  /// @param work  what engines are interchangeable for: service and model.
  /// @param home  the best engine in the own data centre.
  /// @param away  the best engine elsewhere.
  [[nodiscard]] bool ShouldLeave(const std::string& work,
                                 const CrossingCall& call,
                                 const SideOffer& home, const SideOffer& away);
  /// @returns the share of calls that leave, from 0 to 1.
  [[nodiscard]] double LeavingShare(const std::string& work) const;

 private:
  struct Surplus {
    double share = 0.0;
    TimePoint updated_at{};
  };

  /// @returns the updated share of the work that is too much for home.
  double UpdateSurplus(const std::string& work, double surplus);

  const Clock& m_clock;
  RandomSource& m_random;
  std::unordered_map<std::string, Surplus> m_surplus;
};

}  // namespace bambooquay
