// Measures the overhead of the request path with real processes. Latency: the
// same plain service is called directly, through its agent, and through an
// entry and the agent, in turn within one run. Then the throughput of one entry
// and the processor time per streamed token.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "bambooquay/core/key_set.h"
#include "bambooquay/core/random.h"
#include "bambooquay/peers/node_client.h"
#include "bambooquay/peers/peer_runtime.h"
#include "deployment.h"

namespace bambooquay {
namespace {

using std::chrono::seconds;
using testing::Deployment;
using testing::PendingResponse;

constexpr int kLatencySamples = 1500;
constexpr int kConcurrentCallers = 32;
constexpr Duration kThroughputDuration = seconds(6);
// The plain service has the index after that of the only engine.
constexpr int kPlainServiceIndex = 1;

/// Receives the result of a request that is sent directly to an agent.
class ResultWaiter final : public WorkObserver {
 public:
  void OnHead(int /*status*/, std::string_view /*type*/) override {}
  void OnPart(std::string_view /*bytes*/,
              std::function<void()> on_consumed) override {
    on_consumed();
  }
  void OnResult(const RpcResult<WorkResult>& result) override {
    const auto* value = std::get_if<WorkResult>(&result);
    was_executed = value != nullptr && value->outcome == Outcome::kRan;
    is_done = true;
  }
  bool is_done = false;
  bool was_executed = false;
};

/// @param samples  in seconds.
void PrintPercentiles(const char* name, std::vector<double> samples) {
  std::ranges::sort(samples);
  const auto at = [&](double quantile) {
    return 1e3 * samples[static_cast<std::size_t>(
                     quantile * static_cast<double>(samples.size() - 1))];
  };
  std::printf("%-24s p50 %7.3f ms   p99 %7.3f ms\n", name, at(0.5), at(0.99));
}

/// @returns the duration of the call in seconds.
double CallHttp(Deployment& fleet, const Endpoint& endpoint,
                const HttpRequest& request) {
  const TimePoint started_at = fleet.loop().clock().Now();
  PendingResponse pending(fleet.loop(), endpoint, request);
  fleet.WaitUntil([&] { return pending.ended(); });
  if (pending.response().status != ToCode(HttpStatus::kOk)) {
    std::printf("a call failed with status %d\n", pending.response().status);
  }
  return ToSeconds(fleet.loop().clock().Now() - started_at);
}

/// @returns the duration of the call in seconds.
double CallAgent(Deployment& fleet, NodeClient& agent) {
  Work work;
  work.id = RequestId(MakeRandomId());
  work.organisation = OrganisationId("clerks");
  work.key = DigestOfKey(fleet.key());
  work.service = ServiceName("ledger");
  work.method = "GET";
  work.target = "/look";
  // Agents refuse requests with an older epoch than their own. This one is
  // later than any that they reach.
  constexpr std::uint64_t kFutureEpoch = 1'000'000;
  work.allowance_epoch = kFutureEpoch;
  work.reserved = Tokens{1.0};
  ResultWaiter waiter;
  const TimePoint started_at = fleet.loop().clock().Now();
  const auto call = agent.Execute(work, {}, waiter);
  fleet.WaitUntil([&] { return waiter.is_done; });
  if (!waiter.was_executed) {
    std::printf("a call at the agent failed\n");
  }
  return ToSeconds(fleet.loop().clock().Now() - started_at);
}

void MeasureLatency(Deployment& fleet, NodeClient& agent,
                    const HttpRequest& direct, const HttpRequest& via_entry) {
  std::vector<double> direct_times;
  std::vector<double> agent_times;
  std::vector<double> entry_times;
  for (int i = 0; i < kLatencySamples; ++i) {
    direct_times.push_back(
        CallHttp(fleet, fleet.UpstreamAddress(kPlainServiceIndex), direct));
    agent_times.push_back(CallAgent(fleet, agent));
    entry_times.push_back(CallHttp(fleet, fleet.EntryAddress(0), via_entry));
  }
  PrintPercentiles("service called directly", direct_times);
  PrintPercentiles("through the agent", agent_times);
  PrintPercentiles("through entry and agent", entry_times);
}

void MeasureThroughput(Deployment& fleet, const HttpRequest& via_entry) {
  std::vector<std::shared_ptr<PendingResponse>> pending(kConcurrentCallers);
  std::size_t finished = 0;
  const TimePoint end = fleet.loop().clock().Now() + kThroughputDuration;
  const auto cpu_before = fleet.processes().GetCpuSeconds("entry-0");
  fleet.loop().RunUntil(
      [&] {
        for (auto& slot : pending) {
          if (slot == nullptr || slot->ended()) {
            finished +=
                slot != nullptr && slot->response().status == 200 ? 1 : 0;
            slot = std::make_shared<PendingResponse>(
                fleet.loop(), fleet.EntryAddress(0), via_entry);
          }
        }
        return fleet.loop().clock().Now() >= end;
      },
      kThroughputDuration + seconds(5));
  const double cpu = fleet.processes().GetCpuSeconds("entry-0") - cpu_before;
  std::printf(
      "one entry, %d callers: %.0f requests a second, "
      "%.0f us of the entry's processor time each\n",
      kConcurrentCallers,
      static_cast<double>(finished) / ToSeconds(kThroughputDuration),
      1e6 * cpu / static_cast<double>(finished));
}

// Measures, with streams of a steady pace, the processor time that the entry
// and the agent need to pass on each generated token.
void MeasureStreaming(Deployment& fleet) {
  constexpr int kStreams = 16;
  constexpr int kTokens = 3000;
  std::vector<std::shared_ptr<PendingResponse>> streams;
  const double entry_before = fleet.processes().GetCpuSeconds("entry-0");
  const double agent_before = fleet.processes().GetCpuSeconds("agent-0");
  const TimePoint started_at = fleet.loop().clock().Now();
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(fleet.StartCompletion(0, "s", kTokens, true));
  }
  fleet.WaitUntil(
      [&] {
        return std::ranges::all_of(
            streams, [](const auto& stream) { return stream->ended(); });
      },
      seconds(60));
  const double tokens = kStreams * kTokens;
  std::printf(
      "%d streams: %.0f tokens a second; each costs the entry %.1f us and the "
      "agent %.1f us\n",
      kStreams, tokens / ToSeconds(fleet.loop().clock().Now() - started_at),
      1e6 * (fleet.processes().GetCpuSeconds("entry-0") - entry_before) /
          tokens,
      1e6 * (fleet.processes().GetCpuSeconds("agent-0") - agent_before) /
          tokens);
}

}  // namespace
}  // namespace bambooquay

int main() {
  using namespace bambooquay;
  Deployment fleet({.entries = 1,
                    .engines = 1,
                    .engine_options = {"--token-ms", "2", "--warm-limit", "64"},
                    .rate = "1e9",
                    .burst = "1e9",
                    .warm_concurrency = "64",
                    .cold_concurrency = "32"});
  PeerRuntime runtime(fleet.loop());
  const auto agent =
      ConnectNode(runtime, fleet.AgentAddress(kPlainServiceIndex));
  HttpRequest direct;
  direct.target = "/look";
  HttpRequest via_entry;
  via_entry.target = "/ledger/look";
  via_entry.headers.Add("Authorization", "Bearer " + fleet.key());
  fleet.RunFor(std::chrono::seconds(2));
  MeasureLatency(fleet, *agent, direct, via_entry);
  MeasureThroughput(fleet, via_entry);
  MeasureStreaming(fleet);
  return 0;
}
