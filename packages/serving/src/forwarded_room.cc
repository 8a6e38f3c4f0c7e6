// How a forwarded call gets room on an engine before it is sent there.
#include <algorithm>
#include <iterator>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/forwarded_call.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

std::uint32_t ToCount(double tokens) {
  return static_cast<std::uint32_t>(std::max(0.0, tokens));
}

}  // namespace

RoomRequest ForwardedCall::MakeRoomRequest(const UpstreamId& id) const {
  const Upstream* upstream = m_context.upstreams.Find(id);
  RoomRequest request;
  request.upstream = id;
  request.call = m_call.id;
  if (m_organisation != nullptr) {
    request.organisation = m_organisation->name;
  }
  request.prompt_tokens = ToCount(m_call.prompt_tokens);
  request.unread_tokens =
      ToCount(m_call.prompt_tokens -
              upstream->prompt_cache.CachedTokens(m_query.prompt));
  request.prompt.reserve(m_query.prompt.size());
  std::ranges::transform(
      m_query.prompt, std::back_inserter(request.prompt),
      [](const PromptPrefix& prefix) {
        return AnnouncedPrefix{prefix.hash, ToCount(prefix.tokens)};
      });
  if (m_call.tokens.has_value()) {
    request.output_tokens =
        ToCount(m_call.tokens->count - m_call.prompt_tokens);
  }
  request.priority = m_route->priority;
  const Duration target = m_first_event.has_value()
                              ? m_last_event + m_route->max_pause
                              : m_route->target_latency;
  request.target_wait = std::max(Duration::zero(), target - Elapsed());
  return request;
}

void ForwardedCall::SendWithRoom(const UpstreamId& id) {
  if (!m_context.predicted_work || m_query.model.empty() ||
      !m_context.upstreams.GivesOutRoom(id)) {
    StartAttempt(id);
    return;
  }
  RoomRequest request = MakeRoomRequest(id);
  PredictedTimes times;
  if (const auto predicted =
          m_context.upstreams.Predict(*m_context.upstreams.Find(id), m_query)) {
    times = predicted->times;
  }
  request.max_wait = m_room_search.MaxWait({request.target_wait, TimeLeft(),
                                            times.pause_of_streams,
                                            times.end - times.first_event});
  if (request.max_wait < milliseconds(1)) {
    RefuseUnserved("too_late", kRetryAfter);
    return;
  }
  m_wait_timer = nullptr;
  m_room_upstream = id;
  m_room_asked_at = m_context.loop.clock().Now();
  m_context.agents.RequestRoom(request, [this, alive = std::weak_ptr(m_alive),
                                         id](const RoomOutcome& outcome) {
    if (!alive.expired() && !m_done) {
      HandleRoom(id, outcome);
    }
  });
}

void ForwardedCall::HandleRoom(const UpstreamId& id,
                               const RoomOutcome& outcome) {
  m_room_wait += m_context.loop.clock().Now() - m_room_asked_at;
  if (outcome.kind == RoomOutcome::Kind::kDenied) {
    m_room_upstream.reset();
    m_context.metrics.Increment("room_denied_total");
    HandleRoomDenied(id, outcome.wait);
    return;
  }
  if (outcome.kind == RoomOutcome::Kind::kGranted &&
      outcome.wait > Duration::zero()) {
    m_room_first_event = outcome.wait;
  }
  if (outcome.kind == RoomOutcome::Kind::kUnanswered) {
    m_context.upstreams.RecordRoomUnanswered(id);
    m_context.metrics.Increment("room_unanswered_total");
  }
  if (m_context.upstreams.TryAdmitLater(id, m_query)) {
    StartAttempt(id);
    return;
  }
  // The upstream has changed while the call waited.
  ReleaseRoom(false);
  TryUpstream();
}

void ForwardedCall::HandleRoomDenied(const UpstreamId& id, Duration wait) {
  m_context.upstreams.RecordRoomDenial(id, wait);
  m_room_search.RecordDenial(id, wait);
  if (m_room_search.MayAskAnother()) {
    PickQuery query = m_query;
    query.excluded.insert(m_room_search.denied().begin(),
                          m_room_search.denied().end());
    query.may_load_adapter = false;
    const auto picked = m_context.upstreams.Pick(query);
    if (const auto* other = std::get_if<UpstreamId>(&picked)) {
      SendWithRoom(*other);
      return;
    }
  }
  const auto best = m_room_search.TakeBest();
  if (best.has_value() && m_context.upstreams.TryAdmitLater(*best, m_query)) {
    SendWithRoom(*best);
    return;
  }
  LogEvent(LogLevel::kInfo, "no_room")
      .With("request", m_call.id.value())
      .With("model", AdapterKey(m_call.model, m_call.adapter))
      .With("asked", m_room_search.denied().size())
      .WithMilliseconds("expected_ms", m_room_search.ShortestWait())
      .With("waited_ms", m_room_wait / milliseconds(1));
  RefuseUnserved("no_room",
                 std::max(m_room_search.ShortestWait(), kRetryAfter));
}

void ForwardedCall::AnnounceAttempt(const UpstreamId& id) {
  if (!m_context.predicted_work || m_query.model.empty()) {
    return;
  }
  const Upstream* upstream = m_context.upstreams.Find(id);
  if (upstream != nullptr && upstream->work.last().has_value()) {
    m_room_upstream = id;
    m_context.agents.RequestRoom(MakeRoomRequest(id), {});
  }
}

void ForwardedCall::ReleaseRoom(bool begun) {
  if (m_room_upstream.has_value()) {
    m_context.agents.ReleaseRoom(
        {*std::exchange(m_room_upstream, std::nullopt), m_call.id, begun});
  }
}

}  // namespace bambooquay
