// The agent's part in giving out room on its engine.
#include "bambooquay/serving/engine_rooms.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <utility>

namespace bambooquay {
namespace {

// Interval at which waiting calls are decided on if nothing else happens: room
// expires, and calls become too late.
constexpr Duration kDecisionInterval = std::chrono::milliseconds(50);

// Load it answers: an engine crashes, and each entry finds out by calls of its
// own, again and again. Several reports pass before it is asked again.
constexpr Duration kUnreachableWait = std::chrono::milliseconds(600);
// How long the shared parts of a prompt are sent to entries, so that one that
// misses a report still learns of them.
constexpr Duration kReadPrefixRepeatTime = std::chrono::milliseconds(450);

}  // namespace

EngineRooms::EngineRooms(EventLoop& loop, Metrics& metrics,
                         EngineWorkEstimator& estimator, SendReply send_reply)
    : m_loop(loop),
      m_metrics(metrics),
      m_estimator(estimator),
      m_send_reply(std::move(send_reply)),
      m_queue(loop.clock()) {}

double EngineRooms::UnreadTokens(const RoomRequest& request,
                                 const PromptPrefixes& prompt) const {
  // Neither knows what the engine has dropped, so the larger saving counts.
  return std::min(static_cast<double>(request.unread_tokens),
                  std::max(0.0, static_cast<double>(request.prompt_tokens) -
                                    m_prompt_cache.CachedTokens(prompt)));
}

void EngineRooms::HandleRequest(const Endpoint& sender_address,
                                const RoomRequest& request) {
  PromptPrefixes prompt = ToPrefixes(request.prompt);
  const RoomCall call{
      request.call,
      request.organisation,
      request.priority,
      UnreadTokens(request, prompt),
      static_cast<double>(request.prompt_tokens) + request.output_tokens,
      request.target_wait,
      request.max_wait};
  if (request.max_wait == Duration::zero()) {
    m_queue.Announce(call);
    Announce(call, prompt);
    m_metrics.Increment("room_requests_total{result=\"announced\"}");
    return;
  }
  if (!m_is_reachable) {
    DenyUnreachable(sender_address, request.request_id);
    return;
  }
  m_pending[request.call] = {sender_address, request.request_id, call,
                             std::move(prompt), m_loop.clock().Now()};
  m_engine.work = m_estimator.Current();
  m_queue.SetEngine(m_engine);
  Send(m_queue.Ask(call));
  RestartTimer();
}

void EngineRooms::DenyUnreachable(const Endpoint& sender_address,
                                  std::uint64_t request_id) {
  m_metrics.Increment("room_requests_total{result=\"unreachable\"}");
  m_send_reply(sender_address, {request_id, false, kUnreachableWait, false});
}

void EngineRooms::RecordMissedReport() {
  m_is_reachable = false;
  std::ranges::for_each(m_pending, [this](const auto& item) {
    m_queue.Release(item.first);
    DenyUnreachable(item.second.sender_address, item.second.request_id);
  });
  m_pending.clear();
}

void EngineRooms::HandleRelease(const RoomRelease& release) {
  if (release.begun) {
    m_estimator.RecordFirstEvent(release.call);
  } else {
    m_estimator.Release(release.call);
  }
  m_pending.erase(release.call);
  m_queue.Release(release.call);
  m_has_read = m_has_read && m_queue.room_count() > 0;
  Decide();
}

void EngineRooms::RecordReport(const EngineReport& report,
                               const RoomBounds& bounds, bool restarted) {
  if (restarted) {
    m_queue.RecordRestart();
    m_prompt_cache = {};
  }
  // A release may be lost, or its entry may have died.
  std::ranges::for_each(report.runs, [this](const EngineRun& run) {
    if (run.events > 0 && !m_pending.contains(run.call)) {
      m_queue.Release(run.call);
    }
  });
  m_is_reachable = true;
  m_prompt_cache.SetMemory(report.kv_total);
  m_reading_pause.RecordReport(report, m_has_read, m_loop.clock().Now());
  m_has_read = m_queue.room_count() > 0;
  m_engine.max_pause = bounds.max_pause;
  m_engine.free_places.reset();
  if (bounds.places > 0) {
    m_engine.free_places =
        bounds.places - std::min(bounds.places, report.runs.size());
  }
  m_engine.reading_interval = m_reading_pause.ReadingInterval();
  m_engine.queued = report.waiting;
  m_engine.free_tokens.reset();
  if (report.kv_total > 0.0) {
    m_engine.free_tokens = std::max(0.0, report.kv_total - report.kv_used);
  }
  Decide();
}

EngineWork EngineRooms::TotalWork() const {
  EngineWork work = m_estimator.Current();
  work.waiting_prompt_tokens = m_queue.WaitingTokens();
  return work;
}

void EngineRooms::Announce(const RoomCall& call, const PromptPrefixes& prompt) {
  m_estimator.Announce(call.id, call.unread_tokens);
  m_prompt_cache.RecordPrompt(prompt);
  // The last part is the call's own.
  std::for_each(
      prompt.begin(), prompt.empty() ? prompt.end() : prompt.end() - 1,
      [this](const PromptPrefix& prefix) {
        m_read_prefixes.emplace_back(
            m_loop.clock().Now(),
            AnnouncedPrefix{prefix.hash,
                            static_cast<std::uint32_t>(prefix.tokens)});
      });
}

std::vector<AnnouncedPrefix> EngineRooms::TakeReadPrefixes() {
  const TimePoint oldest = m_loop.clock().Now() - kReadPrefixRepeatTime;
  while (!m_read_prefixes.empty() && m_read_prefixes.front().first < oldest) {
    m_read_prefixes.pop_front();
  }
  std::vector<AnnouncedPrefix> prefixes;
  std::ranges::transform(m_read_prefixes, std::back_inserter(prefixes),
                         [](const auto& item) { return item.second; });
  return prefixes;
}

Duration EngineRooms::ExpectedFirstEvent(const RoomCall& call) const {
  const auto times = PredictTimes(m_estimator.Current(),
                                  {.unread_prompt_tokens = call.unread_tokens});
  return times.has_value() ? times->first_event : Duration::zero();
}

void EngineRooms::Decide() {
  m_engine.work = m_estimator.Current();
  m_queue.SetEngine(m_engine);
  Send(m_queue.Decide());
  RestartTimer();
}

void EngineRooms::Send(const std::vector<RoomDecision>& decisions) {
  constexpr std::array kResults = {"granted", "queued", "denied"};
  for (const RoomDecision& decision : decisions) {
    const auto found = m_pending.find(decision.call);
    if (found == m_pending.end()) {
      continue;
    }
    const PendingRequest& pending = found->second;
    const bool granted = decision.verdict == RoomVerdict::kGranted;
    const bool queued = decision.verdict == RoomVerdict::kQueued;
    m_metrics.Increment(
        std::string("room_requests_total{result=\"") +
        kResults.at(static_cast<std::size_t>(decision.verdict)) + "\"}");
    m_send_reply(
        pending.sender_address,
        {pending.request_id, granted,
         granted ? ExpectedFirstEvent(pending.call) : decision.wait, queued});
    if (queued) {
      continue;
    }
    m_metrics.Observe("room_wait_seconds{granted=\"" +
                          std::string(granted ? "yes" : "no") + "\"}",
                      m_loop.clock().Now() - pending.asked_at);
    if (granted) {
      Announce(pending.call, pending.prompt);
    }
    m_pending.erase(found);
  }
}

void EngineRooms::RestartTimer() {
  if (m_queue.waiting_count() == 0) {
    m_timer = nullptr;
  } else if (m_timer == nullptr) {
    m_timer = m_loop.Every(kDecisionInterval, [this] { Decide(); });
  }
}

}  // namespace bambooquay
