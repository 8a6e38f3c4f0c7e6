// Room on engines, as their agents give it out.
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {
namespace {

// How long an agent that has not answered is not asked. Its engine gets calls
// without asking meanwhile.
constexpr Duration kUnansweredTime = std::chrono::seconds(1);

}  // namespace

bool UpstreamSet::GivesOutRoom(const UpstreamId& id) const {
  const Upstream* upstream = Find(id);
  return upstream != nullptr && upstream->work.last().has_value() &&
         HasFreshReport(*upstream) &&
         upstream->no_room_requests_until <= m_clock.Now() &&
         !IsColdLimited(*upstream) && !CallLimitOf(*upstream).has_value();
}

void UpstreamSet::RecordRoomDenial(const UpstreamId& id, Duration wait) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    found->second.room_expected_at = m_clock.Now() + wait;
  }
}

void UpstreamSet::RecordRoomUnanswered(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) {
    found->second.no_room_requests_until = m_clock.Now() + kUnansweredTime;
  }
}

bool UpstreamSet::TryAdmitLater(const UpstreamId& id, const PickQuery& query) {
  const auto found = m_upstreams.find(id);
  return found != m_upstreams.end() && CanServe(found->second, query) &&
         !IsTurnedAway(found->second) && !AwaitsSignOfLife(found->second) &&
         TryAdmit(found->second);
}

}  // namespace bambooquay
