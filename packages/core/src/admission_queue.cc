// Weighted fair queueing of the requests that wait for an upstream.
#include "bambooquay/core/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bambooquay {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);
// Weight of the latest window in the exponential smoothing.
constexpr double kRateSmoothing = 0.3;
// When more organisations than this are tracked, the idle ones are removed. An
// organisation counts once for each priority that it uses.
constexpr std::size_t kMaxTrackedOrganisations = 4096;

std::size_t IndexOf(Priority priority) noexcept {
  return static_cast<std::size_t>(priority);
}

}  // namespace

Refusal AdmissionQueue::Enqueue(const AdmissionRequest& request,
                                std::optional<RequestId>& displaced) {
  const TimePoint now = m_clock.Now();
  const bool has_deadline = request.time_left > Duration::zero();
  if (has_deadline && EstimateWait(request.priority) > request.time_left) {
    return Refusal::kDeadline;
  }
  if (m_positions.contains(request.id)) {
    return Refusal::kDuplicate;
  }
  if (m_waiting.size() >= m_capacity) {
    displaced = Displace(request);
    if (!displaced.has_value()) {
      return Refusal::kQueueFull;
    }
  }
  if (m_last_finish.size() > kMaxTrackedOrganisations) {
    std::erase_if(m_last_finish, [&](const auto& entry) {
      return entry.second <= m_virtual_time[IndexOf(entry.first.first)];
    });
  }
  double& last_finish = m_last_finish[{request.priority, request.organisation}];
  const double virtual_start =
      std::max(last_finish, m_virtual_time[IndexOf(request.priority)]);
  last_finish =
      virtual_start + std::max(request.cost.count, 1.0) / request.weight;
  const Position position{request.priority, last_finish, m_arrivals++};
  m_waiting.emplace(
      position, WaitingRequest{request, has_deadline ? now + request.time_left
                                                     : TimePoint::max()});
  m_positions.emplace(request.id, position);
  ++m_waiting_by_organisation[request.organisation];
  return Refusal::kNone;
}

std::optional<RequestId> AdmissionQueue::Dequeue() {
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const auto first = m_waiting.begin();
  RequestId id = first->second.request.id;
  double& virtual_time = m_virtual_time[IndexOf(first->first.priority)];
  virtual_time = std::max(virtual_time, first->first.virtual_finish);
  Erase(first);
  return id;
}

std::vector<RequestId> AdmissionQueue::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  std::vector<RequestId> expired;
  for (const auto& [position, waiting] : m_waiting) {
    if (waiting.deadline <= now) {
      expired.push_back(waiting.request.id);
    }
  }
  for (const RequestId& id : expired) {
    Remove(id);
  }
  return expired;
}

bool AdmissionQueue::Remove(const RequestId& id) {
  const auto position = m_positions.find(id);
  if (position == m_positions.end()) {
    return false;
  }
  Erase(m_waiting.find(position->second));
  return true;
}

void AdmissionQueue::RecordCompletion(Tokens cost) noexcept {
  const TimePoint now = m_clock.Now();
  if (m_rate_window_start == TimePoint{}) {
    m_rate_window_start = now;
  }
  m_completed_tokens += cost.count;
  const Duration elapsed = now - m_rate_window_start;
  if (elapsed < kRateWindow) {
    return;
  }
  const double rate = m_completed_tokens / ToSeconds(elapsed);
  m_service_rate =
      m_service_rate == 0.0
          ? rate
          : m_service_rate + kRateSmoothing * (rate - m_service_rate);
  m_completed_tokens = 0.0;
  m_rate_window_start = now;
}

Duration AdmissionQueue::EstimateWait(Priority priority) const noexcept {
  if (m_service_rate <= 0.0) {
    return Duration::zero();
  }
  double tokens_ahead = 0.0;
  for (const auto& [position, waiting] : m_waiting) {
    if (position.priority <= priority) {
      tokens_ahead += waiting.request.cost.count;
    }
  }
  return FromSeconds(tokens_ahead / m_service_rate);
}

std::optional<RequestId> AdmissionQueue::Displace(
    const AdmissionRequest& request) {
  const auto last = std::prev(m_waiting.end());
  if (request.priority < last->first.priority) {
    RequestId id = last->second.request.id;
    Erase(last);
    return id;
  }
  const auto requester = m_waiting_by_organisation.find(request.organisation);
  const std::size_t requester_count =
      requester == m_waiting_by_organisation.end() ? 0 : requester->second;
  const auto busiest =
      std::ranges::max_element(m_waiting_by_organisation, {},
                               [](const auto& entry) { return entry.second; });
  if (busiest == m_waiting_by_organisation.end() ||
      busiest->second <= requester_count + 1) {
    return std::nullopt;
  }
  const auto victim = std::find_if(
      m_waiting.rbegin(), m_waiting.rend(), [&](const auto& entry) {
        return entry.second.request.organisation == busiest->first &&
               entry.first.priority >= request.priority;
      });
  if (victim == m_waiting.rend()) {
    return std::nullopt;
  }
  RequestId id = victim->second.request.id;
  Remove(id);
  return id;
}

void AdmissionQueue::Erase(Queue::iterator entry) {
  const OrganisationId organisation = entry->second.request.organisation;
  m_positions.erase(entry->second.request.id);
  m_waiting.erase(entry);
  const auto count = m_waiting_by_organisation.find(organisation);
  if (--count->second == 0) {
    m_waiting_by_organisation.erase(count);
  }
}

}  // namespace bambooquay
