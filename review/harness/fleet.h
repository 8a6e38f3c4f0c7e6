// A small hosted deployment for the review's scripts: the project's entries and
// agents as separate processes, and stand-ins for the platform's store, the
// servers and the clients in the script's own process.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"

namespace bambooquay::review {

using Json = nlohmann::json;
using Exchange = std::shared_ptr<HttpExchange>;

/// Writes the lines of record.txt, each with the time since the start.
class Record {
 public:
  Record(const Clock& clock, const std::string& path);
  void Add(const std::string& line);

 private:
  const Clock& m_clock;
  TimePoint m_started_at;
  std::ofstream m_file;
};

/// The platform's store: rows, a feed of changes, conditional transactions.
class StoreStandin {
 public:
  explicit StoreStandin(EventLoop& loop);
  /// Listens on one more address.
  /// @param caller  the machine that calls the store at this address.
  [[nodiscard]] bool Listen(const Endpoint& endpoint,
                            const std::string& caller);
  /// Writes a row as the platform does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// Removes a row as the platform does.
  void Remove(const std::string& table, const std::string& key);
  /// From now on the calls of one machine get no response, those that wait
  /// included; the store serves the others.
  void TurnAway(const std::string& caller);
  /// @returns when a machine's last watch of a table was answered; nothing if
  ///   none was.
  [[nodiscard]] std::optional<TimePoint> WatchAnsweredAt(
      const std::string& caller, const std::string& table) const;

 private:
  using Key = std::pair<std::string, std::string>;
  struct Watch {
    std::string caller;
    std::string table;
    std::uint64_t after = 0;
    Exchange exchange;
    TimePoint until;
  };

  void Handle(const Exchange& exchange, const std::string& caller);
  void Transact(HttpExchange& exchange);
  void AnswerWatches();
  [[nodiscard]] Json Page(const Json& rows) const;

  EventLoop& m_loop;
  std::list<HttpServer> m_servers;
  std::set<std::string> m_turned_away;
  /// Calls that get no response. They are kept, as their connections would be
  /// closed otherwise.
  std::vector<Exchange> m_unanswered;
  /// By caller and table.
  std::map<Key, TimePoint> m_watch_answers;
  std::uint64_t m_version = 1;
  std::map<Key, Json> m_rows;
  std::vector<Json> m_changes;
  std::list<Watch> m_watches;
  std::unique_ptr<Timer> m_watch_timer;
};

/// One run of a server: a model server with an agent beside it, or a plain one.
class ServerStandin {
 public:
  struct Options {
    std::string id;
    Endpoint address;
    bool is_engine = false;
    int adapter_slots = 0;
    std::int64_t born = 0;
    std::set<std::string> models;
  };
  /// Gets a request that would be run; it answers the request or returns false
  /// for the usual answer.
  using Handler = std::function<bool(const Exchange&)>;

  ServerStandin(EventLoop& loop, Record& record, const Options& options);
  [[nodiscard]] bool Listen();
  void SetHandler(Handler handler) { m_handler = std::move(handler); }
  /// From now on all its answers say that the server leaves.
  void SetLeaving() noexcept { m_leaving = true; }
  [[nodiscard]] const Options& options() const noexcept { return m_options; }
  /// @returns the headers of the server's own answer to a request.
  [[nodiscard]] HttpHeaders AnswerHeaders(const HttpRequest& request) const;
  /// @returns the server's entry in the platform's list.
  [[nodiscard]] Json Row(const std::string& service,
                         const std::string& state) const;

 private:
  void Handle(const Exchange& exchange);
  void HandleOrder(HttpExchange& exchange);
  [[nodiscard]] int CarryOut(const Json& order);
  [[nodiscard]] Json Models() const;
  void Run(const Exchange& exchange);
  void SendEvent(const Exchange& exchange, int event);

  EventLoop& m_loop;
  Record& m_record;
  Options m_options;
  HttpServer m_server;
  Handler m_handler;
  bool m_leaving = false;
  std::uint64_t m_accepted_orders = 0;
  /// Adapters by model.
  std::map<std::string, std::set<std::string>> m_adapters;
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
  std::uint64_t m_last_timer = 0;
};

/// A request of a client, and what the client has received.
struct SentRequest final : HttpObserver {
  void OnHead(int code, const HttpHeaders& received) override {
    status = code;
    headers = received;
  }
  void OnPart(std::string_view bytes) override { body += bytes; }
  void OnEnd(HttpOutcome outcome) override {
    complete = outcome == HttpOutcome::kComplete;
    ended = true;
  }

  std::string id;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool complete = false;
  bool ended = false;
  std::unique_ptr<HttpCall> call;
};

/// The processes of the system, with the commands of the deploy file. Each one
/// that ends is started again after a short delay, as the platform does.
class Fleet {
 public:
  /// @param directory  a temporary folder for settings and logs.
  Fleet(EventLoop& loop, Record& record, std::string directory);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet();

  /// @param group  1 entries, 2 servers and their agents, 5 the store as agents
  ///   reach it, 6 the store as entries reach it.
  [[nodiscard]] Endpoint Address(int group, int index, int port) const;
  [[nodiscard]] StoreStandin& store() noexcept { return m_store; }
  void StartEntry(int index);
  void StartAgent(int index, const std::string& service);
  void Signal(const std::string& name, int signal);
  /// @returns how often a process has ended without a signal of the script.
  [[nodiscard]] const std::map<std::string, int>& own_ends() const noexcept {
    return m_own_ends;
  }
  /// Runs the loop for some time.
  void Wait(Duration time);
  /// Waits until an entry says that it is ready.
  [[nodiscard]] bool WaitUntilReady(int index, Duration limit);
  /// Sends a request on a connection of its own.
  std::shared_ptr<SentRequest> Send(int entry, HttpRequest request,
                                    const std::string& id);

 private:
  struct Process {
    pid_t pid = 0;
    std::vector<std::string> command;
    std::string settings;
  };

  void Spawn(const std::string& name, const std::string& program,
             const std::string& settings);
  void StartProcess(const std::string& name);
  void CheckProcesses();
  /// Notes the processes that run, so that they are ended with the script.
  void RememberProcesses() const;

  EventLoop& m_loop;
  Record& m_record;
  std::string m_directory;
  std::string m_address_prefix;
  StoreStandin m_store;
  std::map<std::string, Process> m_processes;
  std::map<std::string, int> m_own_ends;
  std::set<std::string> m_signalled;
  std::list<std::unique_ptr<Timer>> m_restart_timers;
  std::unique_ptr<Timer> m_check_timer;
  HttpClient m_client;
};

}  // namespace bambooquay::review
