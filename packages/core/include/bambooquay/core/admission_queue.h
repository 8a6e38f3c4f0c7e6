// The queue of requests that wait for an upstream. Interactive requests are
// served before batch requests, organisations share the upstream in proportion
// to their weights, and requests that would miss their deadline are refused on
// arrival.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"
#include "bambooquay/core/work.h"

namespace bambooquay {

/// A request to be queued.
struct AdmissionRequest {
  RequestId id;
  OrganisationId organisation;
  double weight = 1.0;
  Priority priority = Priority::kInteractive;
  /// Estimated size of the request. It advances the organisation's virtual time
  /// by `cost / weight`.
  Tokens cost;
  /// Time left until the deadline; zero means no deadline.
  Duration time_left = Duration::zero();
};

/// A priority queue with weighted fair queueing by organisation within each
/// priority. Batch requests are served only while no interactive request waits.
class AdmissionQueue {
 public:
  /// @param capacity  maximum number of waiting requests.
  AdmissionQueue(const Clock& clock, std::size_t capacity) noexcept
      : m_clock(clock), m_capacity(capacity) {}

  /// Queues `request`. When the queue is full, an interactive request displaces
  /// the last batch request. Failing that, an organisation with fewer waiting
  /// requests displaces the last request of the organisation with the most.
  /// @param displaced  set to the id of the request that was removed to make
  ///   room, if any; it was not run.
  /// @returns Refusal::kNone if the request was queued, otherwise kQueueFull,
  ///   kDeadline, or kDuplicate if a request with this id is already queued.
  Refusal Enqueue(const AdmissionRequest& request,
                  std::optional<RequestId>& displaced);
  /// Removes the next request to run.
  /// @returns its id, or nothing if the queue is empty.
  std::optional<RequestId> Dequeue();
  /// Removes all requests whose deadline has passed.
  /// @returns their ids.
  std::vector<RequestId> RemoveExpired();
  /// Removes the request `id`.
  /// @returns whether it was in the queue.
  bool Remove(const RequestId& id);
  /// Records that a request of size `cost` has ended at the upstream. Waiting
  /// times are estimated from the tokens recorded per second.
  void RecordCompletion(Tokens cost) noexcept;

  [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

 private:
  /// Sort key of the queue: priority, then the virtual time at which the
  /// request would finish under fair sharing, then order of arrival.
  struct Position {
    Priority priority;
    double virtual_finish;
    std::uint64_t arrival;
    friend auto operator<=>(const Position&, const Position&) = default;
  };
  struct WaitingRequest {
    AdmissionRequest request;
    TimePoint deadline;  ///< TimePoint::max() if there is none.
  };
  using Queue = std::map<Position, WaitingRequest>;

  /// @returns the expected wait of a new request of this priority; zero while
  ///   the service rate is unknown.
  [[nodiscard]] Duration EstimateWait(Priority priority) const noexcept;
  /// Removes a request to make room for `request`.
  /// @returns the removed request, or nothing if none may be displaced.
  std::optional<RequestId> Displace(const AdmissionRequest& request);
  void Erase(Queue::iterator entry);

  const Clock& m_clock;
  std::size_t m_capacity;
  Queue m_waiting;
  /// Position of each request in m_waiting, by id; both maps always hold the
  /// same requests.
  std::unordered_map<RequestId, Position> m_positions;
  /// Virtual finish time of each organisation's last request, by priority.
  std::map<std::pair<Priority, OrganisationId>, double> m_last_finish;
  /// Number of waiting requests by organisation. Organisations without waiting
  /// requests are not in the map.
  std::unordered_map<OrganisationId, std::size_t> m_waiting_by_organisation;
  /// Virtual time by priority.
  double m_virtual_time[2] = {0.0, 0.0};
  std::uint64_t m_arrivals = 0;
  /// Exponentially smoothed tokens per second that the upstream completes; 0
  /// while unknown.
  double m_service_rate = 0.0;
  /// Tokens completed since m_rate_window_start.
  double m_completed_tokens = 0.0;
  TimePoint m_rate_window_start{};
};

}  // namespace bambooquay
