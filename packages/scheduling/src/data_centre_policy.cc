// When a call leaves its data centre for an engine in another one.
#include "bambooquay/scheduling/data_centre_policy.h"

#include <algorithm>
#include <cmath>

namespace bambooquay {
namespace {

// Share of an objective that calls at home may use before some leave. Less than
// the whole, as predictions are off and other entries send at the same time.
constexpr double kTolerableShare = 0.6;
// A gain is worth crossing from this multiple of what crossing takes, if the
// call would be in time at home as well.
constexpr double kGainFactor = 8.0;
// The same if it would be late at home.
constexpr double kLateGainFactor = 2.0;
// Time constants with which the share follows the surplus.
constexpr Duration kRiseTime = std::chrono::milliseconds(300);
constexpr Duration kFallTime = std::chrono::seconds(3);
// A call that needs more than this multiple of its tolerable time at home
// leaves whatever the share is.
constexpr double kHopelessFactor = 2.0;

/// @returns what a side takes of what the call tolerates; 1 is the most.
double Strain(const CrossingCall& call, const SideOffer& offer) {
  const auto share = [](Duration time, Duration bound) {
    return bound > Duration::zero()
               ? ToSeconds(time) / (ToSeconds(bound) * kTolerableShare)
               : 0.0;
  };
  return std::max(share(offer.first_event, call.target_first_event),
                  share(offer.longest_pause, call.max_pause));
}

}  // namespace

double DataCentrePolicy::UpdateSurplus(const std::string& work,
                                       double surplus) {
  const TimePoint now = m_clock.Now();
  Surplus& state = m_surplus[work];
  const Duration time_constant = surplus > state.share ? kRiseTime : kFallTime;
  // At most one time constant counts, as a first call says little.
  const double steps = std::min(
      1.0, ToSeconds(now - state.updated_at) / ToSeconds(time_constant));
  state.share += (surplus - state.share) * (1.0 - std::exp(-steps));
  state.updated_at = now;
  return state.share;
}

double DataCentrePolicy::LeavingShare(const std::string& work) const {
  const auto found = m_surplus.find(work);
  return found == m_surplus.end() ? 0.0 : found->second.share;
}

bool DataCentrePolicy::ShouldLeave(const std::string& work,
                                   const CrossingCall& call,
                                   const SideOffer& home,
                                   const SideOffer& away) {
  const double home_strain = Strain(call, home);
  const double surplus = home_strain > 1.0 ? 1.0 - 1.0 / home_strain : 0.0;
  const double share = UpdateSurplus(work, surplus);
  const double gain_ms = home.cost_ms - away.cost_ms;
  const double crossing_ms = ToSeconds(call.crossing_time) * 1000.0;
  if (home_strain <= 1.0) {
    return gain_ms > kGainFactor * crossing_ms;
  }
  if (gain_ms <= kLateGainFactor * crossing_ms ||
      Strain(call, away) >= home_strain) {
    return false;
  }
  constexpr std::uint32_t kResolution = 1 << 16;
  const double draw =
      static_cast<double>(m_random.UniformBelow(kResolution)) / kResolution;
  return home_strain > kHopelessFactor || draw < share;
}

}  // namespace bambooquay
