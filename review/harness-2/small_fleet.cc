// A small hosted fleet on loopback addresses.
#include "small_fleet.h"

#include <dirent.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace bambooquay::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kHostName = "fleet.example";
constexpr const char* kKey = "clerks-key";
constexpr const char* kModel = "m0";
constexpr const char* kService = "scribe";
constexpr Duration kHeartbeat = milliseconds(1200);
// The row of a silent server is removed after three heartbeats.
constexpr Duration kExpiry = 3 * kHeartbeat;
// A server is back some seconds after its crash.
constexpr Duration kRestartTime = milliseconds(3000);
// Time from the arrival of a request to the first byte of its answer.
constexpr Duration kFirstEventTime = milliseconds(100);
constexpr Duration kEventInterval = milliseconds(60);
constexpr int kEventCount = 12;
constexpr Duration kFleetStartTime = seconds(25);

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string QueryField(const std::string& target, const std::string& name) {
  const std::string marker = name + "=";
  auto at = target.find("?" + marker);
  at = at == std::string::npos ? target.find("&" + marker) : at;
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + 1 + marker.size();
  return target.substr(begin, target.find('&', begin) - begin);
}

void Reply(HttpExchange& exchange, int status, const Json& body) {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  exchange.Respond(status, headers, body.dump());
}

/// Keeps the processes that are started next from holding the sockets of the
/// stand-ins open after a crash.
void CloseDescriptorsOnExec() {
  DIR* directory = opendir("/proc/self/fd");
  if (directory == nullptr) {
    return;
  }
  for (const dirent* entry = readdir(directory); entry != nullptr;
       entry = readdir(directory)) {
    const int descriptor =
        static_cast<int>(std::strtol(entry->d_name, nullptr, 10));
    if (descriptor > STDERR_FILENO) {
      fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }
  }
  closedir(directory);
}

std::int64_t UnixMilliseconds() {
  return std::chrono::system_clock::now().time_since_epoch() / milliseconds(1);
}

}  // namespace

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w")), m_started_at(SteadyClock().Now()) {
  if (m_file == nullptr) {
    throw std::runtime_error("cannot write " + path);
  }
}

Record::~Record() { std::fclose(m_file); }

double Record::Seconds() const {
  return ToSeconds(SteadyClock().Now() - m_started_at);
}

void Record::Write(const std::string& event) {
  std::fprintf(m_file, "%8.3f %s\n", Seconds(), event.c_str());
  std::fflush(m_file);
}

void Record::Tell(const std::string& event) {
  Write(event);
  std::printf("%8.3f %s\n", Seconds(), event.c_str());
  std::fflush(stdout);
}

StoreStandin::StoreStandin(EventLoop& loop)
    : m_loop(loop),
      m_server(loop, HttpServerLimits{},
               [this](const Exchange& exchange) { Handle(exchange); }),
      m_timer(loop.Every(milliseconds(20), [this] { AnswerWatches(); })) {}

void StoreStandin::Put(const std::string& table, const std::string& key,
                       const Json& document) {
  ++m_version;
  Apply({table, key}, EncodeBase64(document.dump()));
}

void StoreStandin::Remove(const std::string& table, const std::string& key) {
  if (m_rows.contains({table, key})) {
    ++m_version;
    Apply({table, key}, std::nullopt);
  }
}

void StoreStandin::Apply(const Key& key, std::optional<std::string> value) {
  if (value.has_value()) {
    m_rows[key] = {*value, m_version};
  } else {
    m_rows.erase(key);
  }
  m_changes.push_back({key.first, key.second, m_version, std::move(value)});
}

Json StoreStandin::Page(Json rows) const {
  return {{"rows", std::move(rows)},
          {"ver", m_version},
          {"hasMore", false},
          {"nowMs", m_loop.clock().Now().time_since_epoch() / milliseconds(1)}};
}

void StoreStandin::Handle(const Exchange& exchange) {
  const std::string& target = exchange->request().target;
  if (target.starts_with("/-/rows-get")) {
    Json rows = Json::array();
    const std::string table = QueryField(target, "table");
    for (const auto& [key, row] : m_rows) {
      if (key.first == table) {
        rows.push_back({{"table", key.first},
                        {"part", ""},
                        {"key", key.second},
                        {"value", row.value},
                        {"ver", row.version}});
      }
    }
    Reply(*exchange, 200, Page(std::move(rows)));
  } else if (target.starts_with("/-/rows-feed")) {
    m_watches.push_back(
        {QueryField(target, "table"), std::stoull(QueryField(target, "after")),
         m_loop.clock().Now() +
             milliseconds(std::stoll(QueryField(target, "waitMs"))),
         exchange});
  } else if (target.starts_with("/-/rows-tx")) {
    Transact(*exchange);
  } else {
    Reply(*exchange, 404, Json::object());
  }
}

void StoreStandin::Transact(HttpExchange& exchange) {
  const Json body = Json::parse(exchange.request().body);
  const auto key_of = [](const Json& item) {
    return Key(item.at("table"), item.at("key"));
  };
  Json current = Json::array();
  bool holds = true;
  for (const Json& item : body.value("expected", Json::array())) {
    const auto found = m_rows.find(key_of(item));
    const std::uint64_t version =
        found == m_rows.end() ? 0 : found->second.version;
    holds = holds && item.at("ver") == version;
    if (found != m_rows.end()) {
      current.push_back({{"table", found->first.first},
                         {"part", ""},
                         {"key", found->first.second},
                         {"value", found->second.value},
                         {"ver", version}});
    }
  }
  if (!holds) {
    Reply(exchange, 412, Page(std::move(current)));
    return;
  }
  ++m_version;
  for (const Json& item : body.value("puts", Json::array())) {
    Apply(key_of(item), item.at("value").get<std::string>());
  }
  for (const Json& item : body.value("remove", Json::array())) {
    Apply(key_of(item), std::nullopt);
  }
  Reply(exchange, 200, Page(Json::array()));
}

void StoreStandin::AnswerWatches() {
  const TimePoint now = m_loop.clock().Now();
  std::erase_if(m_watches, [&](const Watch& watch) {
    if (watch.exchange->closed()) {
      return true;
    }
    Json rows = Json::array();
    for (const Change& change : m_changes) {
      if (change.table != watch.table || change.version <= watch.after) {
        continue;
      }
      Json row = {{"table", change.table},
                  {"part", ""},
                  {"key", change.key},
                  {"ver", change.version}};
      if (change.value.has_value()) {
        row["value"] = *change.value;
      } else {
        row["deleted"] = true;
      }
      rows.push_back(std::move(row));
    }
    if (rows.empty() && now < watch.until) {
      return false;
    }
    Reply(*watch.exchange, 200, Page(std::move(rows)));
    return true;
  });
}

ServerStandin::ServerStandin(EventLoop& loop, StoreStandin& store,
                             Record& record, std::string name, std::string host,
                             std::string zone, Events events)
    : m_loop(loop),
      m_store(store),
      m_record(record),
      m_name(std::move(name)),
      m_host(std::move(host)),
      m_zone(std::move(zone)),
      m_events(std::move(events)) {}

bool ServerStandin::Start() {
  ++m_starts;
  m_id = "i-" + m_name + "-" + std::to_string(m_starts);
  m_born = UnixMilliseconds();
  m_order_count = 0;
  m_is_crashing = false;
  m_server = std::make_unique<HttpServer>(
      m_loop, HttpServerLimits{},
      [this](const Exchange& exchange) { Handle(exchange); });
  if (!m_server->Listen({m_host, 8080})) {
    return false;
  }
  m_store.Put("servers", m_id, Entry());
  m_heartbeat_timer = m_loop.Every(
      kHeartbeat, [this] { m_store.Put("servers", m_id, Entry()); });
  return true;
}

Json ServerStandin::Entry() const {
  return {{"service", kService},
          {"address", m_host + ":8080"},
          {"zone", m_zone},
          {"version", "v1"},
          {"slots", 64},
          {"state", "ready"},
          {"coldRemainingMs", 0},
          {"born", m_born},
          {"stage", "colocated"},
          {"models", {{{"name", kModel}, {"version", 1}, {"adapters", {}}}}},
          {"sequence", m_order_count}};
}

Json ServerStandin::Report() const {
  return {{"stage", "colocated"},
          {"models",
           {{{"name", kModel}, {"version", 1}, {"adapters", Json::array()}}}},
          {"busy", false},
          {"sequence", m_order_count},
          {"waiting", 0},
          {"running", m_runs.size()},
          {"kvUsed", 0},
          {"kvTotal", 228224},
          {"handles", 0},
          {"born", m_born},
          {"state", "ready"},
          {"incoming", Json::array()},
          {"available", {{"inMemory", {kModel}}, {"onDisk", {kModel}}}}};
}

void ServerStandin::Handle(const Exchange& exchange) {
  if (m_is_crashing) {
    // Keeps the connection open until the process ends.
    m_runs[++m_last_run] = {exchange, "", 0, nullptr};
    return;
  }
  const std::string& target = exchange->request().target;
  if (target == "/-/report") {
    Reply(*exchange, 200, Report());
  } else if (target == "/-/order") {
    HandleOrder(*exchange);
  } else {
    Serve(exchange);
  }
}

void ServerStandin::HandleOrder(HttpExchange& exchange) {
  const Json order = Json::parse(exchange.request().body);
  if (exchange.request().headers.Get("Bambooquay-Expect-Instance") != m_id) {
    HttpHeaders headers;
    headers.Add("Bambooquay-Instance-Id", m_id);
    exchange.Respond(421, headers, "");
  } else if (order.value("expected", m_order_count) != m_order_count) {
    Reply(exchange, 409, Json::object());
  } else {
    // The only model is always loaded.
    Reply(exchange, 200, Json::object());
  }
}

bool ServerStandin::IsDeadly(const HttpHeaders& headers) const {
  const std::string prompt =
      "," + std::string(headers.Get("Bambooquay-Prompt-Prefix"));
  return m_deadly_part.has_value() &&
         prompt.find("," + *m_deadly_part + ":") != std::string::npos;
}

void ServerStandin::Serve(const Exchange& exchange) {
  const HttpHeaders& headers = exchange->request().headers;
  const std::string id(headers.Get("Bambooquay-Request-Id"));
  if (headers.Get("Bambooquay-Expect-Instance") != m_id) {
    HttpHeaders response;
    response.Add("Bambooquay-Instance-Id", m_id);
    response.Add("Bambooquay-Request-Id", id);
    exchange->Respond(421, response, "");
    return;
  }
  const bool is_deadly = IsDeadly(headers);
  m_record.Write("server " + m_id + " gets request " + id +
                 (is_deadly ? " with the deadly part" : ""));
  m_events.on_arrival(id, is_deadly);
  const std::string last_event(headers.Get("Last-Event-Id"));
  const std::uint64_t run = ++m_last_run;
  m_runs[run] = {exchange, id,
                 last_event.empty() ? 1 : std::stoi(last_event) + 1,
                 m_loop.After(kFirstEventTime, [this, run, is_deadly] {
                   is_deadly ? Crash() : SendEvent(run);
                 })};
}

void ServerStandin::SendEvent(std::uint64_t number) {
  const auto found = m_runs.find(number);
  if (found == m_runs.end()) {
    return;
  }
  Run& run = found->second;
  if (run.exchange->closed()) {
    m_runs.erase(found);
    return;
  }
  if (!run.exchange->started()) {
    HttpHeaders headers;
    headers.Add("Bambooquay-Request-Id", run.id);
    headers.Add("Bambooquay-Server-Seal", "seal." + m_id + "." + run.id);
    headers.Add("Content-Type", "text/event-stream");
    run.exchange->StartStream(200, headers);
  }
  if (run.next_event > kEventCount) {
    run.exchange->EndStream();
    m_runs.erase(found);
    return;
  }
  run.exchange->SendPart(
      "id: " + std::to_string(run.next_event) + "\ndata: " + run.id + "\n\n",
      nullptr);
  ++run.next_event;
  run.timer =
      m_loop.After(kEventInterval, [this, number] { SendEvent(number); });
}

void ServerStandin::Crash() {
  if (m_is_crashing) {
    return;
  }
  m_is_crashing = true;
  m_record.Write("server " + m_id + " crashes");
  m_events.on_crash();
  m_heartbeat_timer = nullptr;
  // Runs within a callback of the connections that it closes.
  m_crash_timer = m_loop.After(Duration::zero(), [this] {
    m_runs.clear();
    m_server = nullptr;
  });
  m_expiry_timers.push_back(m_loop.After(
      kExpiry, [this, id = m_id] { m_store.Remove("servers", id); }));
  m_restart_timer = m_loop.After(kRestartTime, [this] {
    const bool started = Start();
    m_record.Write("server " + m_id + (started ? " starts" : " cannot start"));
  });
}

void ClientRequest::OnEnd(HttpOutcome outcome) {
  ended = true;
  complete = outcome == HttpOutcome::kComplete;
  if (record != nullptr) {
    record->Write("client of " + id + " gets " + std::to_string(status) +
                  (complete ? "" : ", broken off"));
  }
}

SmallFleet::SmallFleet(EventLoop& loop, Record& record, std::string programs,
                       std::string directory, int server_count)
    : m_loop(loop),
      m_record(record),
      m_programs(std::move(programs)),
      m_directory(std::move(directory)),
      m_server_count(server_count),
      m_store(loop),
      m_client(loop,
               {.connect_timeout = seconds(1), .max_idle_connections = 16}) {}

std::string SmallFleet::Host(int group, int index) const {
  return m_network + std::to_string(group) + "." + std::to_string(index);
}

Json SmallFleet::Configuration() const {
  const Json model = {{"name", kModel},
                      {"weightsMb", 72700.0},
                      {"loadS", 1.2},
                      {"adapters", 0},
                      {"adapterMb", 66.0}};
  // The second route is for requests that may run only once.
  Json routes = Json::array();
  for (const bool is_resumable : {true, false}) {
    routes.push_back({{"name", is_resumable ? "summaries" : "lull"},
                      {"host", kHostName},
                      {"prefix", is_resumable ? "/summaries/" : "/lull/"},
                      {"kind", "streaming"},
                      {"timeoutMs", 4000},
                      {"targetLatencyMs", 600},
                      {"priority", 1},
                      {"service", kService},
                      {"maxAttempts", is_resumable ? 2 : 1},
                      {"authExempt", false},
                      {"sticky", true},
                      {"resumable", is_resumable},
                      {"gapTargetMs", 500}});
  }
  return {{"version", 7},
          {"routes", routes},
          {"services",
           {{{"name", kService},
             {"healthPath", "/healthz"},
             {"maxConns", 370},
             {"coldS", 3.0},
             {"coldPerS", 8.0},
             {"engine",
              {{"slots", 64},
               {"kvCapacity", 228224},
               {"models", {model}},
               {"weightsMb", 230000.0},
               {"adapterSlots", 5},
               {"loadsPerS", 2.1}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "clerks"},
             {"apiKeys", {kKey}},
             {"priority", 1},
             {"unit", "token_stream"},
             {"plainTokens", 200},
             {"ratePerS", 10'000'000},
             {"burst", 10'000'000}}}}};
}

void SmallFleet::StartEntry(int index) {
  const std::string name = "entry-" + std::to_string(index);
  const std::string host = Host(1, index);
  const std::string path = m_directory + "/" + name + ".ini";
  // The layout of deploy/entry.ini.template.
  std::ofstream(path) << "[process]\nid = " << name << "\ndatacentre = zone-"
                      << index % 3 << "\ndrain_seconds = 8\n[listen]\n"
                      << "callers = " << host << ":8221\nreadiness = " << host
                      << ":8224\npeers = " << host << ":7600\nadmin = " << host
                      << ":7615\nseeds = \n[store]\naddress = " << Host(4, 1)
                      << ":8225\n[limits]\nmemory_mb = 260\ndescriptors = 4100"
                      << "\n[retries]\nratio = 0.2\nslack = 56\n"
                      << "window_seconds = 10\n[scheduling]\n"
                      << "tolerated_datacentre_losses = 1\n";
  CloseDescriptorsOnExec();
  m_processes.Spawn(name,
                    {m_programs + "/bambooquay", "serve", "--settings", path},
                    m_directory + "/" + name + ".log");
}

void SmallFleet::StartAgent(int index) {
  const std::string name = "agent-" + std::to_string(index);
  const std::string host = Host(2, index);
  const std::string path = m_directory + "/" + name + ".ini";
  // The layout of deploy/agent.ini.template.
  std::ofstream(path) << "[process]\nid = " << name << "\ndatacentre = zone-"
                      << index % 3
                      << "\ndrain_seconds = 8\n[listen]\npeers = " << host
                      << ":7600\nadmin = " << host
                      << ":7615\n[store]\naddress = " << Host(4, 1)
                      << ":8225\n[engine]\naddress = " << host
                      << ":8080\nservice = " << kService
                      << "\nload_window_seconds = 5\n[scheduling]\n"
                      << "tolerated_datacentre_losses = 1\n";
  CloseDescriptorsOnExec();
  m_processes.Spawn(
      name, {m_programs + "/bambooquay-agent", "serve", "--settings", path},
      m_directory + "/" + name + ".log");
}

bool SmallFleet::ChooseNetwork() {
  constexpr int kFirst = 20;
  constexpr int kCount = 200;
  for (int i = 0; i < kCount; ++i) {
    m_network = "127." + std::to_string(kFirst + (getpid() + i) % kCount) + ".";
    // Another fleet that runs on the same addresses holds this one.
    if (m_store.Listen({Host(4, 1), 8225})) {
      return true;
    }
  }
  return false;
}

bool SmallFleet::Start() {
  if (!ChooseNetwork()) {
    return false;
  }
  m_store.Put("op", "config", Configuration());
  for (int i = 1; i <= m_server_count; ++i) {
    m_servers.push_back(std::make_unique<ServerStandin>(
        m_loop, m_store, m_record, std::to_string(i), Host(2, i),
        "zone-" + std::to_string(i % 3),
        ServerStandin::Events{
            [this](const std::string& id, bool deadly) {
              m_arrived.insert(id);
              if (deadly) {
                m_deadly_arrivals.push_back(m_record.Seconds());
              }
            },
            [this] { m_crashes.push_back(m_record.Seconds()); }}));
    if (!m_servers.back()->Start()) {
      return false;
    }
    StartAgent(i);
  }
  StartEntries();
  return WaitUntilServing();
}

void SmallFleet::StartEntries() {
  for (int i = 1; i <= kEntries; ++i) {
    StartEntry(i);
  }
}

void SmallFleet::KillEntries() {
  for (int i = 1; i <= kEntries; ++i) {
    m_processes.Signal("entry-" + std::to_string(i), SIGKILL);
  }
}

bool SmallFleet::IsReady(int entry) {
  std::optional<int> status;
  HttpRequest request;
  request.target = "/-/readyz";
  const auto call =
      FetchHttp(m_loop, {Host(1, entry), 8224}, request, seconds(1),
                [&](const HttpResult& result) {
                  const auto* response = std::get_if<HttpResponse>(&result);
                  status = response == nullptr ? 0 : response->status;
                });
  m_loop.RunUntil([&] { return status.has_value(); }, seconds(2));
  return status == 200;
}

bool SmallFleet::WaitUntilServing() {
  const TimePoint end = m_loop.clock().Now() + kFleetStartTime;
  int served = 0;
  while (m_loop.clock().Now() < end) {
    bool all_served = true;
    std::vector<std::shared_ptr<ClientRequest>> sent;
    for (int i = 1; i <= kEntries; ++i) {
      all_served = IsReady(i) && all_served;
    }
    for (int i = 1; i <= kEntries && all_served; ++i) {
      sent.push_back(
          Send({i, "5c1e07a2:800,91bd3f06:410,e4402b7d:250", false, true}));
    }
    for (const auto& request : sent) {
      m_loop.RunUntil([&] { return request->ended; }, seconds(5));
      all_served = all_served && request->complete && request->status == 200;
    }
    served = all_served ? served + 1 : 0;
    if (served >= 2) {
      return true;
    }
    Wait(milliseconds(200));
  }
  return false;
}

std::shared_ptr<ClientRequest> SmallFleet::Send(const Sending& sending) {
  auto sent = std::make_shared<ClientRequest>();
  std::array<char, 24> id{};
  std::snprintf(id.data(), id.size(), "9c41d07b%08zx", m_requests.size() + 1);
  sent->id = id.data();
  sent->sent_at = m_record.Seconds();
  sent->is_deadly = sending.is_deadly;
  sent->is_resumable = sending.is_resumable;
  sent->record = &m_record;
  HttpRequest request;
  request.method = "POST";
  request.target = (sending.is_resumable ? "/summaries/" : "/lull/") + sent->id;
  request.headers.Add("Host", kHostName);
  request.headers.Add("Bambooquay-Request-Id", sent->id);
  request.headers.Add("Bambooquay-Model", kModel);
  request.headers.Add("Bambooquay-Token-Counts", "1460,80");
  request.headers.Add("Bambooquay-Prompt-Prefix", sending.prompt);
  request.headers.Add("Bambooquay-Deadline-Ms", "4000");
  request.headers.Add("Authorization", std::string("Bearer ") + kKey);
  request.body = std::string(2000, 'x');
  m_record.Write("client sends " + sent->id + " to entry-" +
                 std::to_string(sending.entry) +
                 (sending.is_deadly ? " with the deadly part" : ""));
  sent->call = m_client.Start({Host(1, sending.entry), 8221}, request,
                              seconds(6), ConnectionReuse::kNone, *sent);
  m_requests.push_back(sent);
  return sent;
}

void SmallFleet::SetDeadlyPart(const std::optional<std::string>& part) {
  for (const auto& server : m_servers) {
    server->SetDeadlyPart(part);
  }
}

void SmallFleet::Wait(Duration time) {
  m_loop.RunUntil([] { return false; }, time);
}

}  // namespace bambooquay::review
