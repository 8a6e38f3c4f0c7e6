// The search of one call for room on one of several engines.
#include "bambooquay/scheduling/room_search.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Engines that a call asks for room in time. Each costs the time of a message
// and its reply.
constexpr std::size_t kMaxAsked = 2;

}  // namespace

Duration RoomSearch::MaxWait(const RoomTimes& times) const noexcept {
  const Duration until_too_late = std::max(
      Duration::zero(), times.time_limit - times.reading_time - times.run_time);
  const Duration until_late = times.target_wait - times.reading_time;
  return m_waits_at_best || until_late <= Duration::zero()
             ? until_too_late
             : std::min(until_late, until_too_late);
}

void RoomSearch::RecordDenial(const UpstreamId& upstream, Duration wait) {
  if (m_denied.empty() || wait < m_shortest_wait) {
    m_best = upstream;
    m_shortest_wait = wait;
  }
  m_denied.insert(upstream);
}

bool RoomSearch::MayAskAnother() const noexcept {
  return !m_waits_at_best && m_denied.size() < kMaxAsked;
}

std::optional<UpstreamId> RoomSearch::TakeBest() {
  if (m_waits_at_best) {
    return std::nullopt;
  }
  m_waits_at_best = true;
  return m_best;
}

}  // namespace bambooquay
