// Selects the upstream for a request.
#include "bambooquay/core/upstream_selector.h"

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

// How long an upstream is avoided after a failure.
constexpr Duration kFailureAvoidance = std::chrono::seconds(2);
// Older load reports are ignored, as they no longer show the present load.
constexpr Duration kMaxReportAge = std::chrono::seconds(5);
// From this load on, a less loaded upstream in another data centre is
// preferred.
constexpr double kSpilloverScore = 1.0;

}  // namespace

UpstreamSelector::UpstreamSelector(const Clock& clock, RandomSource& random,
                                   DataCentreId data_centre) noexcept
    : m_clock(clock), m_random(random), m_data_centre(std::move(data_centre)) {}

std::optional<UpstreamId> UpstreamSelector::Choose(
    const std::vector<Candidate>& candidates,
    const std::set<UpstreamId>& excluded) {
  const TimePoint now = m_clock.Now();
  std::vector<const Candidate*> local;
  std::vector<const Candidate*> remote;
  std::vector<const Candidate*> avoided;
  for (const Candidate& candidate : candidates) {
    if (excluded.contains(candidate.upstream)) {
      continue;
    }
    if (m_states[candidate.upstream].avoid_until > now) {
      avoided.push_back(&candidate);
    } else if (candidate.data_centre == m_data_centre) {
      local.push_back(&candidate);
    } else {
      remote.push_back(&candidate);
    }
  }
  const Candidate* best = PickLessLoaded(local);
  if (best == nullptr || LoadScore(best->upstream) >= kSpilloverScore) {
    const Candidate* best_remote = PickLessLoaded(remote);
    if (best == nullptr ||
        (best_remote != nullptr &&
         LoadScore(best_remote->upstream) < LoadScore(best->upstream))) {
      best = best_remote;
    }
  }
  if (best == nullptr) {
    best = PickLessLoaded(avoided);
  }
  return best == nullptr ? std::nullopt
                         : std::optional<UpstreamId>(best->upstream);
}

void UpstreamSelector::RecordStart(const UpstreamId& upstream) {
  ++m_states[upstream].entry_in_flight;
}

void UpstreamSelector::RecordEnd(const UpstreamId& upstream) {
  --m_states[upstream].entry_in_flight;
}

void UpstreamSelector::RecordLoad(const UpstreamId& upstream,
                                  const AgentLoad& load) {
  UpstreamState& state = m_states[upstream];
  state.last_report = load;
  state.reported_at = m_clock.Now();
}

void UpstreamSelector::RecordFailure(const UpstreamId& upstream) {
  UpstreamState& state = m_states[upstream];
  state.avoid_until = m_clock.Now() + kFailureAvoidance;
  state.failing_since = std::min(state.failing_since, m_clock.Now());
}

void UpstreamSelector::RecordSuccess(const UpstreamId& upstream) {
  m_states[upstream].failing_since = TimePoint::max();
}

bool UpstreamSelector::IsFailing(const UpstreamId& upstream,
                                 Duration duration) const {
  const auto state = m_states.find(upstream);
  return state != m_states.end() &&
         state->second.failing_since != TimePoint::max() &&
         m_clock.Now() - state->second.failing_since >= duration;
}

double UpstreamSelector::LoadScore(const UpstreamId& upstream) {
  const UpstreamState& state = m_states[upstream];
  const bool is_fresh = state.reported_at != TimePoint{} &&
                        m_clock.Now() - state.reported_at < kMaxReportAge;
  const std::uint32_t reported =
      is_fresh ? state.last_report.in_flight + state.last_report.queued : 0;
  const std::uint32_t limit = is_fresh ? state.last_report.limit : 1;
  return static_cast<double>(std::max(state.entry_in_flight, reported)) /
         static_cast<double>(std::max(limit, 1U));
}

const Candidate* UpstreamSelector::PickLessLoaded(
    const std::vector<const Candidate*>& candidates) {
  if (candidates.empty()) {
    return nullptr;
  }
  const auto pick = [&] {
    return candidates[m_random.UniformBelow(
        static_cast<std::uint32_t>(candidates.size()))];
  };
  const Candidate* first = pick();
  const Candidate* second = pick();
  return LoadScore(second->upstream) < LoadScore(first->upstream) ? second
                                                                  : first;
}

}  // namespace bambooquay
