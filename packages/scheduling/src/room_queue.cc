// Decides which calls go to a model engine now, which wait for room on it, and
// which are denied room.
#include "bambooquay/scheduling/room_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <tuple>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// Share of the longest pause from which on an engine needs a rest between
// prompts. The measured interval is a mean over streams, and single events are
// further apart.
constexpr double kRestFromPauseShare = 0.4;
// Share of the longest pause that an engine may read for; the rest is for the
// tokens of the event itself, which take the longer the more streams there are.
constexpr double kReadingShare = 0.7;
// After so many rooms in order one goes to the call that has waited longest.
constexpr int kGrantsInOrder = 7;
// Calls in the engine's own queue above which it gets no more: it lacks memory
// or places then, and would reject them.
constexpr int kMaxQueuedInEngine = 1;
// Wait that is expected if the engine lacks memory or places: the time to its
// next report.
constexpr Duration kBlockedWait = milliseconds(200);
// Room is given back by a message, which may be lost, or its sender may die. It
// expires after several times what the engine needs for the prompts before it.
constexpr int kLifetimeInReadingTimes = 3;
constexpr Duration kMinLifetime = std::chrono::seconds(1);
// Time constant with which the time read for an organisation is forgotten.
constexpr Duration kUsageMemory = std::chrono::seconds(2);
// An organisation falls back by so much at most, so that its calls keep their
// own order.
constexpr Duration kMaxUsageDelay = milliseconds(500);

}  // namespace

/// Sort key of the calls that wait.
struct RoomQueue::Position {
  int priority = 0;
  bool is_late = false;
  TimePoint begin_by{};
  std::uint64_t arrival = 0;

  friend auto operator<=>(const Position&, const Position&) = default;
};

Duration RoomQueue::ReadingTime(double tokens) const {
  return KnowsRate()
             ? FromSeconds(tokens / m_engine.work.prompt_tokens_per_ms / 1000.0)
             : Duration::zero();
}

Duration RoomQueue::RecentUsage(const OrganisationId& organisation) const {
  const auto found = m_usage.find(organisation);
  if (found == m_usage.end()) {
    return Duration::zero();
  }
  const Duration age = m_clock.Now() - found->second.updated_at;
  return FromSeconds(ToSeconds(found->second.time) *
                     std::exp(-ToSeconds(age) / ToSeconds(kUsageMemory)));
}

RoomQueue::Position RoomQueue::PositionOf(const WaitingCall& waiting) const {
  const RoomCall& call = waiting.call;
  const TimePoint in_time_until =
      waiting.asked_at + call.target_wait - ReadingTime(call.unread_tokens);
  const bool is_late = in_time_until < m_clock.Now();
  // The late ones go by the time at which it is too late to begin them at all.
  const TimePoint begin_by =
      is_late ? waiting.asked_at + call.max_wait : in_time_until;
  return {call.priority, is_late,
          begin_by + std::min(RecentUsage(call.organisation), kMaxUsageDelay),
          waiting.arrival};
}

void RoomQueue::Sort() {
  std::vector<std::pair<Position, WaitingCall>> sorted;
  sorted.reserve(m_waiting.size());
  std::ranges::transform(m_waiting, std::back_inserter(sorted),
                         [this](const WaitingCall& waiting) {
                           return std::pair(PositionOf(waiting), waiting);
                         });
  std::ranges::sort(sorted, {}, [](const auto& item) { return item.first; });
  std::ranges::transform(sorted, m_waiting.begin(),
                         [](auto& item) { return std::move(item.second); });
}

Duration RoomQueue::ReadingBound() const {
  const Duration share =
      FromSeconds(kReadingShare * ToSeconds(m_engine.max_pause));
  return std::clamp(m_engine.max_pause - m_engine.work.event_interval,
                    Duration::zero(), share);
}

bool RoomQueue::Fits(const RoomCall& call) const {
  if (m_rooms.empty() || !KnowsRate()) {
    return true;
  }
  if (m_engine.queued > kMaxQueuedInEngine ||
      (m_engine.free_places.has_value() &&
       m_rooms.size() >= *m_engine.free_places)) {
    return false;
  }
  const auto [unread, memory] = std::accumulate(
      m_rooms.begin(), m_rooms.end(),
      std::pair(call.unread_tokens, call.memory_tokens),
      [](const auto& sum, const auto& item) {
        return std::pair(sum.first + item.second.unread_tokens,
                         sum.second + item.second.memory_tokens);
      });
  if (m_engine.free_tokens.has_value() && memory > *m_engine.free_tokens) {
    return false;
  }
  const bool needs_rest = ToSeconds(m_engine.reading_interval) >
                          kRestFromPauseShare * ToSeconds(m_engine.max_pause);
  const double tokens =
      needs_rest ? std::max(unread, m_tokens_since_rest + call.unread_tokens)
                 : unread;
  return m_engine.max_pause == Duration::zero() ||
         ReadingTime(tokens) <= ReadingBound();
}

Duration RoomQueue::PredictWait(const RoomCall& call,
                                double tokens_ahead) const {
  const Duration busy =
      std::max(Duration::zero(), m_busy_until - m_clock.Now());
  const Duration wait =
      busy + ReadingTime(tokens_ahead + call.unread_tokens) -
      std::max(ReadingBound(), ReadingTime(call.unread_tokens));
  return std::max(
      {Duration::zero(), wait,
       m_engine.queued > kMaxQueuedInEngine ? kBlockedWait : Duration::zero()});
}

void RoomQueue::Grant(const RoomCall& call) {
  const TimePoint now = m_clock.Now();
  const Duration time = ReadingTime(call.unread_tokens);
  m_busy_until = std::max(m_busy_until, now) + time;
  m_tokens_since_rest =
      call.unread_tokens + (m_rooms.empty() ? 0.0 : m_tokens_since_rest);
  m_rooms[call.id] = {call.unread_tokens, call.memory_tokens, now,
                      now + std::max(kMinLifetime, kLifetimeInReadingTimes *
                                                       (m_busy_until - now))};
  const Duration used = RecentUsage(call.organisation) + time;
  m_usage[call.organisation] = {used, now};
}

void RoomQueue::Release(const RequestId& call) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_waiting, [&](const WaitingCall& waiting) {
    return waiting.call.id == call;
  });
  if (m_rooms.erase(call) == 0) {
    return;
  }
  const double unread = std::accumulate(
      m_rooms.begin(), m_rooms.end(), 0.0, [](double sum, const auto& item) {
        return sum + item.second.unread_tokens;
      });
  m_busy_until = std::min(m_busy_until, now + ReadingTime(unread));
}

void RoomQueue::RecordRestart() {
  m_rooms.clear();
  m_busy_until = m_clock.Now();
}

void RoomQueue::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_rooms, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
  std::erase_if(m_usage, [this](const auto& item) {
    return RecentUsage(item.first) < milliseconds(1);
  });
}

void RoomQueue::GrantAll(std::vector<RoomDecision>& decisions) {
  while (!m_waiting.empty()) {
    auto next = m_waiting.begin();
    if (m_grants_in_order >= kGrantsInOrder) {
      next = std::ranges::min_element(m_waiting, {}, &WaitingCall::arrival);
    }
    if (!Fits(next->call)) {
      return;
    }
    m_grants_in_order =
        m_grants_in_order >= kGrantsInOrder ? 0 : m_grants_in_order + 1;
    Grant(next->call);
    decisions.push_back({next->call.id, RoomVerdict::kGranted, {}});
    m_waiting.erase(next);
  }
}

void RoomQueue::DenyLate(std::vector<RoomDecision>& decisions) {
  const TimePoint now = m_clock.Now();
  double tokens_ahead = 0.0;
  // A loop, as each one that stays delays those behind it.
  std::vector<WaitingCall> kept;
  for (WaitingCall& waiting : m_waiting) {
    const Duration wait = PredictWait(waiting.call, tokens_ahead);
    if (now + wait > waiting.asked_at + waiting.call.max_wait) {
      decisions.push_back({waiting.call.id, RoomVerdict::kDenied, wait});
    } else {
      tokens_ahead += waiting.call.unread_tokens;
      kept.push_back(std::move(waiting));
    }
  }
  m_waiting = std::move(kept);
}

std::vector<RoomDecision> RoomQueue::Decide() {
  std::vector<RoomDecision> decisions;
  RemoveExpired();
  Sort();
  GrantAll(decisions);
  DenyLate(decisions);
  return decisions;
}

std::vector<RoomDecision> RoomQueue::Ask(const RoomCall& call) {
  if (m_rooms.contains(call.id)) {
    return {{call.id, RoomVerdict::kGranted, {}}};
  }
  std::erase_if(m_waiting, [&](const WaitingCall& waiting) {
    return waiting.call.id == call.id;
  });
  m_waiting.push_back({call, ++m_arrivals, m_clock.Now()});
  std::vector<RoomDecision> decisions = Decide();
  double tokens_ahead = 0.0;
  for (const WaitingCall& waiting : m_waiting) {
    if (waiting.call.id == call.id) {
      decisions.push_back(
          {call.id, RoomVerdict::kQueued, PredictWait(call, tokens_ahead)});
      break;
    }
    tokens_ahead += waiting.call.unread_tokens;
  }
  return decisions;
}

void RoomQueue::Announce(const RoomCall& call) {
  RemoveExpired();
  Grant(call);
}

double RoomQueue::WaitingTokens() const {
  return std::accumulate(m_waiting.begin(), m_waiting.end(), 0.0,
                         [](double sum, const WaitingCall& waiting) {
                           return sum + waiting.call.unread_tokens;
                         });
}

}  // namespace bambooquay
