// A small hosted fleet on loopback addresses: the project's own entries and
// agents as processes, and stand-ins for the store and the model servers in
// this process. A server crashes when it begins to write an answer to a prompt
// with the deadly part, if that is switched on.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../../testing/tests/child_processes.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"

namespace bambooquay::review {

using Json = nlohmann::json;
using Exchange = std::shared_ptr<HttpExchange>;

/// Writes the events of a case to its record, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& event);
  /// Writes an event to the record and to standard output.
  void Tell(const std::string& event);
  [[nodiscard]] double Seconds() const;

 private:
  std::FILE* m_file;
  TimePoint m_started_at;
};

/// The platform's store: rows, a feed of changes, transactions.
class StoreStandin {
 public:
  explicit StoreStandin(EventLoop& loop);

  [[nodiscard]] bool Listen(const Endpoint& address) {
    return m_server.Listen(address);
  }
  /// Writes a row as the operator or a server does.
  void Put(const std::string& table, const std::string& key,
           const Json& document);
  void Remove(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;  ///< In base64.
    std::uint64_t version = 0;
  };
  struct Change {
    std::string table;
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value;  ///< Nothing if the row was removed.
  };
  struct Watch {
    std::string table;
    std::uint64_t after = 0;
    TimePoint until;
    Exchange exchange;
  };
  using Key = std::pair<std::string, std::string>;

  void Handle(const Exchange& exchange);
  void Transact(HttpExchange& exchange);
  void Apply(const Key& key, std::optional<std::string> value);
  void AnswerWatches();
  [[nodiscard]] Json Page(Json rows) const;

  EventLoop& m_loop;
  std::uint64_t m_version = 1;
  std::map<Key, Row> m_rows;
  std::vector<Change> m_changes;
  std::vector<Watch> m_watches;
  HttpServer m_server;
  std::unique_ptr<Timer> m_timer;
};

/// One model server. It holds one model, serves streams of a few events, and
/// registers itself in the store.
class ServerStandin {
 public:
  struct Events {
    /// A request has arrived; the second argument says whether its prompt has
    /// the deadly part.
    std::function<void(const std::string&, bool)> on_arrival;
    std::function<void()> on_crash;
  };

  ServerStandin(EventLoop& loop, StoreStandin& store, Record& record,
                std::string name, std::string host, std::string zone,
                Events events);

  /// Starts the server anew, with an id of its own.
  [[nodiscard]] bool Start();
  void SetDeadlyPart(std::optional<std::string> part) {
    m_deadly_part = std::move(part);
  }

 private:
  /// One request in progress.
  struct Run {
    Exchange exchange;
    std::string id;
    int next_event = 1;
    std::unique_ptr<Timer> timer;
  };

  void Handle(const Exchange& exchange);
  void Serve(const Exchange& exchange);
  void SendEvent(std::uint64_t run);
  void HandleOrder(HttpExchange& exchange);
  [[nodiscard]] Json Report() const;
  [[nodiscard]] Json Entry() const;
  [[nodiscard]] bool IsDeadly(const HttpHeaders& headers) const;
  void Crash();

  EventLoop& m_loop;
  StoreStandin& m_store;
  Record& m_record;
  const std::string m_name;
  const std::string m_host;
  const std::string m_zone;
  Events m_events;
  std::optional<std::string> m_deadly_part;
  std::unique_ptr<HttpServer> m_server;
  int m_starts = 0;
  std::string m_id;
  std::int64_t m_born = 0;
  std::uint64_t m_order_count = 0;
  bool m_is_crashing = false;
  std::uint64_t m_last_run = 0;
  std::map<std::uint64_t, Run> m_runs;
  std::unique_ptr<Timer> m_heartbeat_timer;
  std::unique_ptr<Timer> m_crash_timer;
  std::unique_ptr<Timer> m_restart_timer;
  std::vector<std::unique_ptr<Timer>> m_expiry_timers;
};

/// One request of a client and what came back.
struct ClientRequest final : HttpObserver {
  void OnHead(int code, const HttpHeaders& /*headers*/) override {
    status = code;
  }
  void OnPart(std::string_view bytes) override { body += bytes; }
  void OnEnd(HttpOutcome outcome) override;

  std::string id;
  double sent_at = 0.0;
  bool is_deadly = false;
  /// Whether the request may run again.
  bool is_resumable = false;
  int status = 0;
  std::string body;
  bool ended = false;
  bool complete = false;
  Record* record = nullptr;
  std::unique_ptr<HttpCall> call;
};

/// What a client sends, and to which entry.
struct Sending {
  int entry = 1;
  std::string prompt;
  bool is_deadly = false;
  bool is_resumable = false;
};

/// The whole fleet.
class SmallFleet {
 public:
  static constexpr int kEntries = 5;

  /// @param programs  the directory of the project's programs.
  /// @param directory  for settings and logs.
  SmallFleet(EventLoop& loop, Record& record, std::string programs,
             std::string directory, int server_count);

  /// Starts everything and waits until each entry serves.
  /// @returns whether it does.
  [[nodiscard]] bool Start();
  /// Sends one request to an entry, on a new connection.
  std::shared_ptr<ClientRequest> Send(const Sending& sending);
  void SetDeadlyPart(const std::optional<std::string>& part);
  /// Kills all entries at the same moment.
  void KillEntries();
  /// Starts all entries again.
  void StartEntries();
  /// @returns the times at which requests with the deadly part reached servers.
  [[nodiscard]] const std::vector<double>& deadly_arrivals() const noexcept {
    return m_deadly_arrivals;
  }
  /// @returns the ids of the requests that have reached a server.
  [[nodiscard]] const std::set<std::string>& arrived() const noexcept {
    return m_arrived;
  }
  [[nodiscard]] const std::vector<double>& crashes() const noexcept {
    return m_crashes;
  }
  void Wait(Duration time);

 private:
  [[nodiscard]] std::string Host(int group, int index) const;
  /// Finds addresses that no other fleet uses.
  /// @returns whether there are any.
  [[nodiscard]] bool ChooseNetwork();
  [[nodiscard]] Json Configuration() const;
  void StartEntry(int index);
  void StartAgent(int index);
  [[nodiscard]] bool WaitUntilServing();
  [[nodiscard]] bool IsReady(int entry);

  EventLoop& m_loop;
  Record& m_record;
  const std::string m_programs;
  const std::string m_directory;
  const int m_server_count;
  std::string m_network;
  std::set<std::string> m_arrived;
  std::vector<double> m_deadly_arrivals;
  std::vector<double> m_crashes;
  StoreStandin m_store;
  std::vector<std::unique_ptr<ServerStandin>> m_servers;
  HttpClient m_client;
  std::vector<std::shared_ptr<ClientRequest>> m_requests;
  testing::ChildProcesses m_processes;
};

}  // namespace bambooquay::review
