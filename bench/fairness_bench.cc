// The worst-served organisation under overload: the product's admission queue
// against plain first-in-first-out, on one upstream with simulated time. One
// organisation sends most of the load; a quarter of all work is batch.
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
constexpr Duration kLength = seconds(600);
constexpr std::size_t kQueueCapacity = 256;

/// A queue in front of the upstream.
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

class Fifo final : public Queue {
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

class Fair final : public Queue {
 public:
  explicit Fair(const Clock& clock) : m_queue(clock, kQueueCapacity) {}
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

struct Tally {
  int sent = 0;
  int in_time = 0;
};

struct Sent {
  int organisation;
  TimePoint deadline;
  Priority priority;
};

void Run(const char* name, Queue& queue, ManualClock& clock, double overload,
         std::uint64_t seed) {
  SeededRandom random(seed);
  const double capacity = kSlots / ToSeconds(kServiceTime);
  std::map<RequestId, Sent> requests;
  std::multimap<TimePoint, RequestId> running;
  std::map<int, Tally> interactive;
  Tally batch;
  const TimePoint end = clock.Now() + kLength;
  double next_arrival = 0.0;
  const TimePoint start = clock.Now();
  int count = 0;
  while (clock.Now() < end) {
    clock.Advance(milliseconds(5));
    while (!running.empty() && running.begin()->first <= clock.Now()) {
      const RequestId id = running.begin()->second;
      running.erase(running.begin());
      queue.Complete();
      const Sent& sent = requests[id];
      Tally& tally = sent.priority == Priority::kBatch
                         ? batch
                         : interactive[sent.organisation];
      tally.in_time += clock.Now() <= sent.deadline + kServiceTime ? 1 : 0;
    }
    while (ToSeconds(clock.Now() - start) >= next_arrival) {
      next_arrival +=
          (random.UniformBelow(2000) + 1) / 1000.0 / (capacity * overload);
      // The first organisation sends 70% of everything.
      const int organisation =
          random.UniformBelow(10) < 7
              ? 0
              : 1 + static_cast<int>(random.UniformBelow(kOrganisations - 1));
      const Priority priority = random.UniformBelow(4) == 0
                                    ? Priority::kBatch
                                    : Priority::kInteractive;
      const RequestId id("r" + std::to_string(count++));
      requests[id] = {organisation, clock.Now() + kDeadline, priority};
      Tally& tally =
          priority == Priority::kBatch ? batch : interactive[organisation];
      ++tally.sent;
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
  double worst = 1.0;
  int in_time = batch.in_time;
  for (const auto& [organisation, tally] : interactive) {
    worst = std::min(worst, static_cast<double>(tally.in_time) / tally.sent);
    in_time += tally.in_time;
  }
  double quiet = 1.0;
  for (const auto& [organisation, tally] : interactive) {
    if (organisation > 0) {
      quiet = std::min(quiet, static_cast<double>(tally.in_time) / tally.sent);
    }
  }
  std::printf("%8.1f %-6s %18.1f%% %18.1f%% %12.1f%% %14.2f\n", overload, name,
              100.0 * worst, 100.0 * quiet,
              100.0 * batch.in_time / std::max(batch.sent, 1),
              in_time / ToSeconds(kLength));
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
    Fifo fifo;
    Run("fifo", fifo, fifo_clock, overload, seed);
    ManualClock fair_clock;
    Fair fair(fair_clock);
    Run("fair", fair, fair_clock, overload, seed);
  }
  return 0;
}
