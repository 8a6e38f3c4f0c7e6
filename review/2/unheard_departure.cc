// The store gives one entry no response and serves the others. A server that
// leaves meanwhile is reported to the store. Checks that the others send it no
// request later than the limit after the report.
#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "../harness/fleet.h"

namespace bambooquay::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 20;
constexpr int kServers = 3;
constexpr int kLeavingServer = 2;
// Bounds of the site.
constexpr Duration kDrainTime = milliseconds(4000);
constexpr Duration kStabilityWindow = milliseconds(5000);
// The clients are quiet from the report on, and send again after this time.
constexpr Duration kQuietTime = milliseconds(4060);
constexpr int kRounds = 7;
constexpr Duration kRoundPeriod = milliseconds(120);
// Time after the last answer to a watch until the store turns the entry away:
// the entry pauses for a second between two watches.
constexpr Duration kTimeInPause = milliseconds(100);
// The entries start one after the other, as in a rolling restart, so that their
// periods do not coincide.
constexpr Duration kStartGap = milliseconds(105);
const std::string kServerTable = "servers";

Json Configuration() {
  return {{"version", 7},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"routes",
           {{{"name", "lookup"},
             {"host", "register.example"},
             {"prefix", "/lookup/"},
             {"kind", "safe"},
             {"timeoutMs", 1500},
             {"targetLatencyMs", 120},
             {"maxAttempts", 2},
             {"priority", 2},
             {"service", "registry-app"}}}},
          {"services",
           {{{"name", "registry-app"},
             {"healthPath", "/healthz"},
             {"maxConns", 680},
             {"coldPerS", 8}}}},
          {"tenants", Json::array()}};
}

/// The fleet, its servers and its clients.
class Deployment {
 public:
  Deployment(const std::string& directory, bool trouble)
      : m_record(m_loop.clock(), "review/2/record.txt"),
        m_fleet(m_loop, m_record, directory),
        m_trouble(trouble) {
    m_record.Add(trouble ? "TROUBLE=1" : "TROUBLE=0");
  }

  /// @returns the exit code of the script.
  int Run() {
    if (!Start()) {
      return 2;
    }
    // All machines are in touch after this time without a disturbance.
    for (int round = 0; round < 6; ++round) {
      SendRound();
      m_fleet.Wait(seconds(1));
    }
    if (!ServedAll()) {
      return 2;
    }
    m_fleet.Wait(kStabilityWindow);
    const std::string reader = WaitForReaderInPause();
    if (reader.empty()) {
      m_record.Add("no entry reads for the others");
      return 2;
    }
    if (m_trouble) {
      m_record.Add("the store turns away " + reader);
      m_fleet.store().TurnAway(reader);
    }
    ServerStandin& leaving = *m_servers[kLeavingServer - 1];
    leaving.SetLeaving();
    m_fleet.store().Put(kServerTable, leaving.options().id,
                        leaving.Row("registry-app", "draining").dump());
    m_leaving_at = m_loop.clock().Now();
    m_record.Add("the store has accepted that " + leaving.options().id +
                 " is draining");
    m_fleet.Wait(kQuietTime);
    for (int round = 0; round < kRounds; ++round) {
      SendRound(reader);
      m_fleet.Wait(kRoundPeriod);
    }
    m_fleet.Wait(seconds(2));
    return Judge();
  }

 private:
  bool Start() {
    m_fleet.store().Put("op", "config", Configuration().dump());
    for (int i = 1; i <= kServers; ++i) {
      ServerStandin::Options options;
      options.id = "i-" + std::to_string(i);
      options.address = m_fleet.Address(2, i, 8080);
      options.born = 1000 + i;
      m_servers.push_back(
          std::make_unique<ServerStandin>(m_loop, m_record, options));
      if (!m_servers.back()->Listen()) {
        return false;
      }
      m_servers.back()->SetHandler([this, i](const Exchange& exchange) {
        RecordRun(i, exchange->request());
        return false;
      });
      m_fleet.store().Put(
          kServerTable, options.id,
          m_servers.back()->Row("registry-app", "ready").dump());
    }
    for (int i = 1; i <= kEntries; ++i) {
      m_fleet.StartEntry(i);
      m_fleet.Wait(kStartGap);
    }
    for (int i = 1; i <= kEntries; ++i) {
      if (!m_fleet.WaitUntilReady(i, seconds(15))) {
        return false;
      }
    }
    m_fleet.Wait(seconds(3));
    return true;
  }

  void RecordRun(int server, const HttpRequest& request) {
    const Duration late = m_loop.clock().Now() - m_leaving_at;
    if (server != kLeavingServer || m_leaving_at == TimePoint{} ||
        late <= kDrainTime) {
      return;
    }
    ++m_late_requests;
    m_record.Add(
        "LATE: " + std::string(request.headers.Get("Bambooquay-Request-Id")) +
        " reaches the leaving server after " +
        std::to_string(late / milliseconds(1)) + " ms");
  }

  /// Sends a request to each entry but one.
  void SendRound(const std::string& left_out = "") {
    for (int i = 1; i <= kEntries; ++i) {
      const std::string name = "front-" + std::to_string(i);
      if (name == left_out) {
        continue;
      }
      HttpRequest request;
      request.target = "/lookup/entry";
      request.headers.Add("Host", "register.example");
      request.headers.Add("Bambooquay-Deadline-Ms", "1500");
      m_sent.push_back(m_fleet.Send(
          i, request, name + "-r" + std::to_string(m_sent.size())));
    }
  }

  [[nodiscard]] bool ServedAll() const {
    return std::ranges::all_of(m_sent, [](const auto& sent) {
      return sent->complete && sent->status == 200;
    });
  }

  /// Waits until the one entry that reads the list of servers for the others
  /// has just got an answer.
  /// @returns its name; empty if there is none.
  std::string WaitForReaderInPause() {
    std::string reader;
    m_loop.RunUntil(
        [&] {
          for (int i = 1; i <= kEntries; ++i) {
            const std::string name = "front-" + std::to_string(i);
            const auto answered_at =
                m_fleet.store().WatchAnsweredAt(name, kServerTable);
            if (answered_at.has_value() &&
                m_loop.clock().Now() - *answered_at < milliseconds(20)) {
              reader = name;
            }
          }
          return !reader.empty();
        },
        seconds(10));
    m_fleet.Wait(kTimeInPause);
    return reader;
  }

  int Judge() {
    const auto served = std::ranges::count_if(m_sent, [](const auto& sent) {
      return sent->complete && sent->status == 200;
    });
    for (const auto& sent : m_sent) {
      m_record.Add("answer " + sent->id + " " + std::to_string(sent->status) +
                   (sent->complete ? " complete" : " incomplete"));
    }
    m_record.Add("served " + std::to_string(served) + " of " +
                 std::to_string(m_sent.size()));
    m_record.Add(std::to_string(m_late_requests) + " late requests");
    m_record.Add(m_late_requests > 0 ? "the rule was broken" : "the rule held");
    return m_late_requests > 0 ? 1 : 0;
  }

  EventLoop m_loop;
  Record m_record;
  Fleet m_fleet;
  bool m_trouble;
  std::vector<std::unique_ptr<ServerStandin>> m_servers;
  std::vector<std::shared_ptr<SentRequest>> m_sent;
  /// When the store accepted that the server leaves; zero before.
  TimePoint m_leaving_at{};
  int m_late_requests = 0;
};

}  // namespace
}  // namespace bambooquay::review

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    return bambooquay::review::Deployment(
               argv[1], trouble == nullptr || std::string(trouble) != "0")
        .Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
