// How far calls were when they broke, and what a call that got further shows.
#include "bambooquay/quarantine/survival.h"

#include <algorithm>
#include <array>

namespace bambooquay {
namespace {

// A crash that a prompt causes comes soon after its first event, if not before.
constexpr Duration kMaxSuspectProgress = std::chrono::milliseconds(300);
// A call must outlast a broken one by this factor and time: the crash does not
// always come at the same moment.
constexpr int kOutliveFactor = 2;
constexpr Duration kOutliveMargin = std::chrono::milliseconds(100);
// Survivals are kept by these steps, the last of which outlives all suspects.
constexpr std::array kSteps = {
    Duration::zero(), Duration(std::chrono::milliseconds(100)),
    Duration(std::chrono::milliseconds(200)),
    Duration(std::chrono::milliseconds(400)),
    kMaxSuspectProgress* kOutliveFactor + kOutliveMargin};

}  // namespace

bool IsSuspect(const CallProgress& progress) noexcept {
  return !progress.has_value() || *progress <= kMaxSuspectProgress;
}

Duration TimeToOutlive(Duration broken) noexcept {
  return broken * kOutliveFactor + kOutliveMargin;
}

bool Outlives(Duration lasted, const CallProgress& broken) noexcept {
  return !broken.has_value() || lasted >= TimeToOutlive(*broken);
}

CallProgress LessAdvanced(const CallProgress& a,
                          const CallProgress& b) noexcept {
  return a.has_value() && b.has_value() ? std::min(*a, *b) : kNoEvent;
}

CallProgress MoreAdvanced(const CallProgress& a,
                          const CallProgress& b) noexcept {
  return a.has_value() && b.has_value() ? std::max(*a, *b)
                                        : (a.has_value() ? a : b);
}

void Survivals::Add(const Survival& added) {
  const auto above = std::ranges::upper_bound(kSteps, added.lasted);
  const Survival survival{added.begun_at,
                          above == kSteps.begin() ? kSteps.front() : above[-1]};
  if (std::ranges::any_of(m_survivals, [&](const Survival& known) {
        return known.begun_at >= survival.begun_at &&
               known.lasted >= survival.lasted;
      })) {
    return;
  }
  std::erase_if(m_survivals, [&](const Survival& known) {
    return known.begun_at <= survival.begun_at &&
           known.lasted <= survival.lasted;
  });
  m_survivals.insert(std::ranges::upper_bound(m_survivals, survival.begun_at,
                                              {}, &Survival::begun_at),
                     survival);
}

bool Survivals::AnySince(TimePoint time,
                         const CallProgress& broken) const noexcept {
  return std::ranges::any_of(m_survivals, [&](const Survival& survival) {
    return survival.begun_at >= time && Outlives(survival.lasted, broken);
  });
}

}  // namespace bambooquay
