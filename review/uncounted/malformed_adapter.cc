// Clients name an adapter whose bytes are not UTF-8. Checks that no process of
// the system ends by itself.
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "../harness/fleet.h"

namespace bambooquay::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 2;
constexpr int kEngines = 3;
constexpr int kRequests = 60;
// The rule counts machines on which processes end by themselves this often.
constexpr int kEndsOfMachine = 3;
// A tenth of the five machines, but two at least.
constexpr int kMachinesToBreakRule = 2;

Json Configuration() {
  return {{"version", 7},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"routes",
           {{{"name", "crew-query"},
             {"host", "desk.example"},
             {"prefix", "/crew/"},
             {"kind", "streaming"},
             {"resumable", true},
             {"sticky", true},
             {"timeoutMs", 10000},
             {"targetLatencyMs", 1200},
             {"gapTargetMs", 500},
             {"maxAttempts", 2},
             {"priority", 0},
             {"service", "shift-scribe"}}}},
          {"services",
           {{{"name", "shift-scribe"},
             {"healthPath", "/healthz"},
             {"maxConns", 370},
             {"coldPerS", 8},
             {"engine",
              {{"slots", 64},
               {"kvCapacity", 228224},
               {"weightsMb", 230000},
               {"adapterSlots", 5},
               {"loadsPerS", 2.1},
               {"models",
                {{{"name", "m0"},
                  {"weightsMb", 72700},
                  {"loadS", 1.2},
                  {"adapters", 47},
                  {"adapterMb", 66}}}}}}}}},
          {"tenants",
           {{{"name", "desk"}, {"apiKeys", {"key-1"}}, {"plainTokens", 200}}}}};
}

HttpRequest MakeRequest(const std::string& model) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/crew/ask";
  request.headers.Add("Host", "desk.example");
  request.headers.Add("Authorization", "Bearer key-1");
  request.headers.Add("Bambooquay-Deadline-Ms", "10000");
  request.headers.Add("Bambooquay-Model", model);
  request.headers.Add("Bambooquay-Token-Counts", "700,40");
  request.body = "question";
  return request;
}

/// @returns the exit code of the script.
int RunCase(const std::string& directory, bool trouble) {
  EventLoop loop;
  Record record(loop.clock(), "review/uncounted/record.txt");
  record.Add(trouble ? "TROUBLE=1" : "TROUBLE=0");
  Fleet fleet(loop, record, directory);
  std::vector<std::unique_ptr<ServerStandin>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    ServerStandin::Options options;
    options.id = "i-" + std::to_string(i);
    options.address = fleet.Address(2, i, 8080);
    options.is_engine = true;
    options.born = 1000 + i;
    options.models = {"m0"};
    engines.push_back(std::make_unique<ServerStandin>(loop, record, options));
    if (!engines.back()->Listen()) {
      return 2;
    }
    fleet.store().Put("servers", options.id,
                      engines.back()->Row("shift-scribe", "ready").dump());
  }
  fleet.store().Put("op", "config", Configuration().dump());
  for (int i = 1; i <= kEngines; ++i) {
    fleet.StartAgent(i, "shift-scribe");
  }
  for (int i = 1; i <= kEntries; ++i) {
    fleet.StartEntry(i);
  }
  for (int i = 1; i <= kEntries; ++i) {
    if (!fleet.WaitUntilReady(i, seconds(15))) {
      return 2;
    }
  }
  fleet.Wait(seconds(3));
  std::vector<std::shared_ptr<SentRequest>> sent;
  for (int i = 0; i < kRequests; ++i) {
    // One request in five names an adapter with a byte that is not UTF-8.
    const bool is_malformed = trouble && i % 5 == 4;
    const std::string adapter =
        "a" + std::to_string(i % 4 + 1) + (is_malformed ? "\xff" : "");
    sent.push_back(fleet.Send(i % kEntries + 1, MakeRequest("m0/" + adapter),
                              "r" + std::to_string(i)));
    fleet.Wait(milliseconds(400));
  }
  fleet.Wait(seconds(3));
  int served = 0;
  for (const auto& request : sent) {
    served += request->complete && request->status == 200 ? 1 : 0;
    record.Add("answer " + request->id + " " + std::to_string(request->status) +
               (request->complete ? " complete" : " incomplete"));
  }
  const auto machines = std::ranges::count_if(
      fleet.own_ends(),
      [](const auto& item) { return item.second >= kEndsOfMachine; });
  for (const auto& [name, count] : fleet.own_ends()) {
    record.Add(name + " ended by itself " + std::to_string(count) + " times");
  }
  record.Add("served " + std::to_string(served) + " of " +
             std::to_string(kRequests));
  const bool broken = machines >= kMachinesToBreakRule;
  record.Add(broken ? "the rule was broken" : "the rule held");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace bambooquay::review

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    return bambooquay::review::RunCase(
        argv[1], trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
