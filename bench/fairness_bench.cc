// Compares the product's admission queue with a first-in-first-out queue under
// overload: the share of interactive requests that start before their deadline,
// for the worst-served of all organisations and of those with little load, and
// the share of batch requests that do. One upstream with simulated time; one
// organisation sends 70% of the requests, and a quarter of all requests are
// batch.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/admission_queue.h"
#include "bambooquay/core/clock.h"
#include "bambooquay/core/random.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOrganisations = 5;
constexpr int kSlots = 16;
constexpr double kTokens = 100.0;
constexpr Duration kServiceTime = seconds(2);
constexpr Duration kDeadline = seconds(10);
constexpr Duration kDuration = seconds(600);
constexpr std::size_t kQueueCapacity = 256;

/// The queue of requests that wait for the upstream.
class Queue {
 public:
  Queue() = default;
  Queue(const Queue&) = delete;
  Queue& operator=(const Queue&) = delete;
  virtual ~Queue() = default;
  virtual void Enqueue(const AdmissionRequest& request) = 0;
  virtual std::optional<RequestId> Dequeue() = 0;
  virtual void Complete() = 0;
};

class FifoQueue final : public Queue {
 public:
  void Enqueue(const AdmissionRequest& request) override {
    if (m_waiting.size() < kQueueCapacity) {
      m_waiting.push_back(request.id);
    }
  }
  std::optional<RequestId> Dequeue() override {
    if (m_waiting.empty()) {
      return std::nullopt;
    }
    const RequestId id = m_waiting.front();
    m_waiting.pop_front();
    return id;
  }
  void Complete() override {}

 private:
  std::deque<RequestId> m_waiting;
};

class FairQueue final : public Queue {
 public:
  explicit FairQueue(const Clock& clock) : m_queue(clock, kQueueCapacity) {}
  void Enqueue(const AdmissionRequest& request) override {
    std::optional<RequestId> displaced;
    m_queue.Enqueue(request, displaced);
  }
  std::optional<RequestId> Dequeue() override {
    m_queue.RemoveExpired();
    return m_queue.Dequeue();
  }
  void Complete() override { m_queue.RecordCompletion({kTokens}); }

 private:
  AdmissionQueue m_queue;
};

struct RequestCounts {
  int sent = 0;
  int in_time = 0;
};

struct SentRequest {
  int organisation;
  TimePoint deadline;
  Priority priority;
};

void RunSimulation(const char* name, Queue& queue, ManualClock& clock,
                   double overload, std::uint64_t seed) {
  SeededRandom random(seed);
  const double capacity = kSlots / ToSeconds(kServiceTime);
  std::map<RequestId, SentRequest> requests;
  std::multimap<TimePoint, RequestId> running;
  std::map<int, RequestCounts> interactive;
  RequestCounts batch;
  const TimePoint end = clock.Now() + kDuration;
  double next_arrival = 0.0;
  const TimePoint start = clock.Now();
  int count = 0;
  while (clock.Now() < end) {
    clock.Advance(milliseconds(5));
    while (!running.empty() && running.begin()->first <= clock.Now()) {
      const RequestId id = running.begin()->second;
      running.erase(running.begin());
      queue.Complete();
      const SentRequest& sent = requests[id];
      RequestCounts& counts = sent.priority == Priority::kBatch
                                  ? batch
                                  : interactive[sent.organisation];
      counts.in_time += clock.Now() <= sent.deadline + kServiceTime ? 1 : 0;
    }
    while (ToSeconds(clock.Now() - start) >= next_arrival) {
      next_arrival +=
          (random.UniformBelow(2000) + 1) / 1000.0 / (capacity * overload);
      // The first organisation sends 70% of all requests.
      const int organisation =
          random.UniformBelow(10) < 7
              ? 0
              : 1 + static_cast<int>(random.UniformBelow(kOrganisations - 1));
      const Priority priority = random.UniformBelow(4) == 0
                                    ? Priority::kBatch
                                    : Priority::kInteractive;
      const RequestId id("r" + std::to_string(count++));
      requests[id] = {organisation, clock.Now() + kDeadline, priority};
      RequestCounts& counts =
          priority == Priority::kBatch ? batch : interactive[organisation];
      ++counts.sent;
      queue.Enqueue({id,
                     OrganisationId("o" + std::to_string(organisation)),
                     1.0,
                     priority,
                     {kTokens},
                     kDeadline});
    }
    while (running.size() < kSlots) {
      const auto id = queue.Dequeue();
      if (!id.has_value()) {
        break;
      }
      running.emplace(clock.Now() + kServiceTime, *id);
    }
  }
  double worst_share = 1.0;
  int in_time = batch.in_time;
  for (const auto& [organisation, counts] : interactive) {
    worst_share = std::min(worst_share,
                           static_cast<double>(counts.in_time) / counts.sent);
    in_time += counts.in_time;
  }
  double worst_low_volume_share = 1.0;
  for (const auto& [organisation, counts] : interactive) {
    if (organisation > 0) {
      worst_low_volume_share =
          std::min(worst_low_volume_share,
                   static_cast<double>(counts.in_time) / counts.sent);
    }
  }
  std::printf("%8.1f %-6s %18.1f%% %18.1f%% %12.1f%% %14.2f\n", overload, name,
              100.0 * worst_share, 100.0 * worst_low_volume_share,
              100.0 * batch.in_time / std::max(batch.sent, 1),
              in_time / ToSeconds(kDuration));
}

}  // namespace
}  // namespace bambooquay

int main(int argc, char** argv) {
  using namespace bambooquay;
  const std::uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
  std::printf("seed %llu; served within a deadline of 10 s\n",
              static_cast<unsigned long long>(seed));
  std::printf("%8s %-6s %19s %19s %13s %14s\n", "overload", "queue",
              "worst organisation", "worst quiet one", "batch",
              "in time each s");
  for (const double overload : {1.5, 3.0}) {
    ManualClock fifo_clock;
    FifoQueue fifo;
    RunSimulation("fifo", fifo, fifo_clock, overload, seed);
    ManualClock fair_clock;
    FairQueue fair(fair_clock);
    RunSimulation("fair", fair, fair_clock, overload, seed);
  }
  return 0;
}
