// A small deployment of real processes on loopback addresses.
#include "deployment.h"

#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace bambooquay::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Offsets from the base port of a deployment. An offset is that of the process
// with index 0; the others follow.
constexpr int kPlatformPortOffset = 0;
constexpr int kCallerPortOffset = 100;
constexpr int kEntryPeerPortOffset = 200;
constexpr int kEntryAdminPortOffset = 300;
constexpr int kEnginePortOffset = 400;
constexpr int kAgentPeerPortOffset = 500;
constexpr int kAgentAdminPortOffset = 600;
constexpr int kPortsPerDeployment = 700;
constexpr int kFirstPort = 10000;
// With more entries than this, some have no share of an organisation's
// allowance, so readiness does not wait for one.
constexpr int kMaxShareHolders = 5;
constexpr Duration kReadyTimeout = seconds(60);
constexpr Duration kCallTimeout = seconds(60);

constexpr const char* kPlatformProgram = STANDINS_DIRECTORY "/platform-standin";
const std::array<std::string, 3> kDataCentres = {"north", "south", "east"};

// Each deployment that this process starts gets the next range of ports. The
// first range depends on the process id. No port is reused while connections of
// an earlier deployment are still closing.
int NextBasePort() {
  static int deployment_count = 0;
  constexpr int kPortRanges = 30;
  return kFirstPort +
         kPortsPerDeployment * ((getpid() + deployment_count++) % kPortRanges);
}

// Returns the endpoint of a port on a loopback address that depends on the
// process id, so that the tests can run next to other copies of themselves and
// to the quick start, which use the same ports.
Endpoint LoopbackEndpoint(int port) {
  constexpr int kOctetValues = 250;
  const int id = getpid();
  static const std::string kHost =
      "127." + std::to_string(1 + id / kOctetValues % kOctetValues) + "." +
      std::to_string(1 + id % kOctetValues) + ".1";
  return {kHost, static_cast<std::uint16_t>(port)};
}

}  // namespace

Deployment::Deployment(const Options& options)
    : m_options(options), m_base_port(NextBasePort()) {
  std::string directory_template =
      std::filesystem::temp_directory_path() / "bqXXXXXX";
  m_directory = mkdtemp(directory_template.data());
  StartPlatform();
  if (ApplyConfiguration(DefaultConfiguration()) != 0) {
    throw std::runtime_error("the initial configuration was not accepted");
  }
  std::string output;
  RunCommand({"key", "give", "clerks", "first"}, output);
  m_key = output.substr(0, output.find('\n'));
  for (int i = 0; i < m_options.engines + m_options.plain_services; ++i) {
    StartUpstream(i, m_options.engine_options);
    StartAgent(i);
  }
  for (int i = 0; i < m_options.entries; ++i) {
    StartEntry(i);
  }
  if (!WaitUntil([this] { return IsReady(); }, kReadyTimeout)) {
    throw std::runtime_error(
        "the deployment did not become ready in time; logs are in " +
        m_directory);
  }
}

Deployment::~Deployment() {
  if (std::getenv("BAMBOOQUAY_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_directory);
  }
}

void Deployment::StartPlatform() {
  Spawn("platform", {kPlatformProgram, "--listen",
                     LoopbackEndpoint(Port(kPlatformPortOffset)).ToString(),
                     "--loads-per-second", "50", "--loads-at-once", "4"});
  const std::string address =
      LoopbackEndpoint(Port(kPlatformPortOffset)).ToString();
  std::ofstream(m_directory + "/operator.ini")
      << "[platform]\ntable = " << address << "\nobjects = " << address
      << "\ninstances = " << address << "\n";
  WaitUntil([this] {
    RunFor(milliseconds(20));
    const Json counters =
        GetJson(LoopbackEndpoint(Port(kPlatformPortOffset)), "/counters");
    return counters.is_null() || counters.is_object();
  });
}

bool Deployment::IsReady() {
  RunFor(milliseconds(100));
  for (int i = 0; i < m_options.entries; ++i) {
    const Json status = GetStatus("entry-" + std::to_string(i));
    if (!status.is_object() || !status.value("not_ready", "x").empty() ||
        !status.value("epoch_active", false) ||
        (m_options.entries <= kMaxShareHolders &&
         status["shares"]["clerks"]["fraction"] == 0.0) ||
        status.value("instances", 0) !=
            m_options.entries + m_options.engines + m_options.plain_services) {
      return false;
    }
  }
  for (int i = 0; i < m_options.engines + m_options.plain_services; ++i) {
    const Json status = GetStatus("agent-" + std::to_string(i));
    if (!status.is_object() || !status.value("not_ready", "x").empty() ||
        !status.value("settled", false)) {
      return false;
    }
  }
  return true;
}

std::string Deployment::UpstreamName(int index) const {
  return (index < m_options.engines ? "engine-" : "ledger-") +
         std::to_string(index);
}

std::string Deployment::DefaultConfiguration() const {
  std::ostringstream text;
  text << "[fleet]\nname = test\n";
  for (const std::string& name : kDataCentres) {
    text << "[datacentre " << name << "]\nregion = r\n";
  }
  for (const char* name : {"clerks", "owners"}) {
    text << "[organisation " << name << "]\nrate = " << m_options.rate
         << "\nburst = " << m_options.burst << "\n";
  }
  text << "[model tide]\nmemory_mib = 40\nadapters = tide-a, tide-b\n"
       << "[model reef]\nmemory_mib = 40\n"
       << "[service names]\nmodels = tide, reef\n"
       << "[service ledger]\nkind = plain\n"
       << "[service notices]\nkind = plain\nopen = yes\n"
       << "[upstream notices-0]\nservice = notices\ndatacentre = north\n";
  for (int i = 0; i < m_options.engines + m_options.plain_services; ++i) {
    text << "[upstream " << UpstreamName(i)
         << "]\nservice = " << (i < m_options.engines ? "names" : "ledger")
         << "\ndatacentre = " << kDataCentres[i % kDataCentres.size()]
         << "\nmemory_mib = 100\nwarm_concurrency = "
         << m_options.warm_concurrency
         << "\ncold_concurrency = " << m_options.cold_concurrency
         << "\nexpected_pace_ms = "
         << (i < m_options.engines ? m_options.expected_pace_ms : "1000")
         << "\n";
  }
  return text.str();
}

int Deployment::ApplyConfiguration(const std::string& text,
                                   const std::vector<std::string>& options) {
  const std::string path = m_directory + "/fleet.ini";
  std::ofstream(path) << text;
  std::vector<std::string> arguments = {"config", "apply", path};
  arguments.insert(arguments.end(), options.begin(), options.end());
  return RunCommand(arguments);
}

std::string Deployment::WriteSettings(const std::string& id,
                                      const std::string& data_centre,
                                      int peer_port, int admin_port,
                                      const std::string& listen,
                                      const std::string& rest) {
  const std::string address =
      LoopbackEndpoint(Port(kPlatformPortOffset)).ToString();
  std::string path = m_directory + "/" + id + ".ini";
  std::ofstream(path) << "[process]\nid = " << id
                      << "\ndatacentre = " << data_centre
                      << "\ndrain_seconds = 60\n[listen]\npeers = "
                      << LoopbackEndpoint(Port(peer_port)).ToString()
                      << "\nadmin = "
                      << LoopbackEndpoint(Port(admin_port)).ToString() << "\n"
                      << listen << "[platform]\ntable = " << address
                      << "\nobjects = " << address
                      << "\ninstances = " << address
                      << "\n[trace]\ncollector = " << address << "\n"
                      << rest;
  return path;
}

void Deployment::StartEntry(int index) {
  const std::string id = "entry-" + std::to_string(index);
  const std::string& data_centre = kDataCentres[index % kDataCentres.size()];
  const std::string settings = WriteSettings(
      id, data_centre, kEntryPeerPortOffset + index,
      kEntryAdminPortOffset + index,
      "callers = " +
          LoopbackEndpoint(Port(kCallerPortOffset + index)).ToString() + "\n",
      "[limits]\nbody_bytes = 65536\nidle_seconds = 3\n");
  Spawn(id,
        {PROGRAMS_DIRECTORY "/bambooquay", "entry", "--settings", settings});
  Register(id, "entry", kEntryPeerPortOffset + index,
           kEntryAdminPortOffset + index, data_centre, "");
}

void Deployment::StartUpstream(int index,
                               const std::vector<std::string>& options) {
  std::vector<std::string> command = {
      STANDINS_DIRECTORY "/engine-standin", "--listen",
      LoopbackEndpoint(Port(kEnginePortOffset + index)).ToString()};
  if (index >= m_options.engines) {
    command.emplace_back("--plain");
  } else {
    command.insert(command.end(),
                   {"--memory-mib", "100", "--weights",
                    LoopbackEndpoint(Port(kPlatformPortOffset)).ToString()});
    command.insert(command.end(), options.begin(), options.end());
  }
  Spawn("engine-" + std::to_string(index), command);
}

void Deployment::StartAgent(int index) {
  const std::string id = "agent-" + std::to_string(index);
  const std::string& data_centre = kDataCentres[index % kDataCentres.size()];
  const std::string settings = WriteSettings(
      id, data_centre, kAgentPeerPortOffset + index,
      kAgentAdminPortOffset + index, "",
      "[upstream]\nid = " + UpstreamName(index) + "\naddress = " +
          LoopbackEndpoint(Port(kEnginePortOffset + index)).ToString() + "\n");
  Spawn(id, {PROGRAMS_DIRECTORY "/bambooquay-agent", "--settings", settings});
  Register(id, "agent", kAgentPeerPortOffset + index,
           kAgentAdminPortOffset + index, data_centre, UpstreamName(index));
}

void Deployment::Register(const std::string& id, const std::string& role,
                          int peer_port, int admin_port,
                          const std::string& data_centre,
                          const std::string& upstream,
                          const std::string& state) {
  HttpRequest request;
  request.method = "PUT";
  request.target = "/instances/" + id;
  request.body = Json{
      {"targets", {LoopbackEndpoint(Port(peer_port)).ToString()}},
      {"labels",
       {{"instance", id},
        {"role", role},
        {"admin", LoopbackEndpoint(Port(admin_port)).ToString()},
        {"datacentre", data_centre},
        {"upstream", upstream},
        {"state",
         state}}}}.dump();
  Fetch(LoopbackEndpoint(Port(kPlatformPortOffset)), request);
}

void Deployment::MarkInstanceLeaving(int agent) {
  Register("agent-" + std::to_string(agent), "agent",
           kAgentPeerPortOffset + agent, kAgentAdminPortOffset + agent,
           kDataCentres[agent % kDataCentres.size()], UpstreamName(agent),
           "leaving");
}

void Deployment::Spawn(const std::string& name,
                       const std::vector<std::string>& command) {
  m_processes.Spawn(name, command, m_directory + "/" + name + ".log");
}

int Deployment::WaitForExit(const std::string& name, Duration limit) {
  std::optional<int> code;
  WaitUntil(
      [&] {
        code = m_processes.PollExit(name);
        return code.has_value();
      },
      limit);
  return code.value_or(-1);
}

int Deployment::RunCommand(const std::vector<std::string>& arguments,
                           std::string& output) {
  std::vector<std::string> command = {PROGRAMS_DIRECTORY "/bambooquay",
                                      "--settings",
                                      m_directory + "/operator.ini"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string name = "command";
  std::filesystem::remove(m_directory + "/command.log");
  Spawn(name, command);
  const int code = WaitForExit(name, seconds(40));
  std::ifstream log(m_directory + "/command.log");
  std::ostringstream text;
  text << log.rdbuf();
  output = text.str();
  return code;
}

int Deployment::RunCommand(const std::vector<std::string>& arguments) {
  std::string output;
  return RunCommand(arguments, output);
}

Endpoint Deployment::EntryAddress(int index) const {
  return LoopbackEndpoint(Port(kCallerPortOffset + index));
}

Endpoint Deployment::AgentAddress(int index) const {
  return LoopbackEndpoint(Port(kAgentPeerPortOffset + index));
}

Endpoint Deployment::UpstreamAddress(int index) const {
  return LoopbackEndpoint(Port(kEnginePortOffset + index));
}

double Deployment::GetPlatformCounter(const std::string& name) {
  const Json counters =
      GetJson(LoopbackEndpoint(Port(kPlatformPortOffset)), "/counters");
  return counters.is_object() ? counters.value(name, 0.0) : 0.0;
}

std::shared_ptr<PendingResponse> Deployment::StartRequest(
    int entry, const std::string& method, const std::string& target,
    const std::string& body, HttpHeaders headers) {
  if (headers.Get("Authorization").empty()) {
    headers.Add("Authorization", "Bearer " + m_key);
  }
  HttpRequest request{method, target, std::move(headers), body};
  return std::make_shared<PendingResponse>(m_loop, EntryAddress(entry),
                                           request);
}

std::shared_ptr<PendingResponse> Deployment::StartCompletion(
    int entry, const std::string& prompt, int max_tokens, bool is_streaming) {
  return StartRequest(entry, "POST", "/v1/completions",
                      Json{{"model", "tide"},
                           {"prompt", prompt},
                           {"max_tokens", max_tokens},
                           {"stream", is_streaming}}
                          .dump());
}

ReceivedResponse Deployment::SendRequest(int entry, const std::string& method,
                                         const std::string& target,
                                         const std::string& body,
                                         HttpHeaders headers) {
  const auto pending =
      StartRequest(entry, method, target, body, std::move(headers));
  WaitUntil([&] { return pending->ended(); }, kCallTimeout);
  return pending->response();
}

ReceivedResponse Deployment::SendCompletion(int entry,
                                            const std::string& prompt,
                                            int max_tokens, bool is_streaming) {
  const auto pending = StartCompletion(entry, prompt, max_tokens, is_streaming);
  WaitUntil([&] { return pending->ended(); }, kCallTimeout);
  return pending->response();
}

void Deployment::SetPlatformFaults(const Json& faults) {
  PostJson(LoopbackEndpoint(Port(kPlatformPortOffset)), "/faults", faults);
}

void Deployment::SetUpstreamFaults(int index, const Json& faults) {
  PostJson(LoopbackEndpoint(Port(kEnginePortOffset + index)), "/faults",
           faults);
}

Json Deployment::GetUpstreamState(int index) {
  return GetJson(LoopbackEndpoint(Port(kEnginePortOffset + index)), "/state");
}

Json Deployment::GetStatus(const std::string& name) {
  const int index = std::atoi(name.substr(name.find('-') + 1).c_str());
  const int offset =
      name.starts_with("entry") ? kEntryAdminPortOffset : kAgentAdminPortOffset;
  return GetJson(LoopbackEndpoint(Port(offset + index)), "/status");
}

Json Deployment::GetSpans() {
  return GetJson(LoopbackEndpoint(Port(kPlatformPortOffset)), "/api/v2/spans");
}

int Deployment::CountExecutions(const std::string& body) {
  int total = 0;
  for (int i = m_options.engines;
       i < m_options.engines + m_options.plain_services; ++i) {
    const Json state = GetUpstreamState(i);
    if (!state.is_object()) {
      continue;
    }
    for (const auto& [name, count] : state["executions"].items()) {
      total += name.ends_with(" " + body) ? count.get<int>() : 0;
    }
  }
  return total;
}

HttpResult Deployment::Fetch(const Endpoint& endpoint,
                             const HttpRequest& request) {
  std::optional<HttpResult> fetched;
  const auto call =
      FetchHttp(m_loop, endpoint, request, seconds(5),
                [&](HttpResult result) { fetched = std::move(result); });
  WaitUntil([&] { return fetched.has_value(); }, seconds(10));
  return fetched.value_or(HttpOutcome::kTimedOut);
}

Json Deployment::GetJson(const Endpoint& endpoint, const std::string& target) {
  HttpRequest request;
  request.target = target;
  const HttpResult result = Fetch(endpoint, request);
  const auto* response = std::get_if<HttpResponse>(&result);
  return response == nullptr ? Json(false)
                             : Json::parse(response->body, nullptr, false);
}

void Deployment::PostJson(const Endpoint& endpoint, const std::string& target,
                          const Json& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body.dump();
  Fetch(endpoint, request);
}

bool Deployment::WaitUntil(const std::function<bool()>& predicate,
                           Duration limit) {
  return m_loop.RunUntil(predicate, limit);
}

void Deployment::RunFor(Duration duration) {
  const TimePoint end = m_loop.clock().Now() + duration;
  m_loop.RunUntil([&] { return m_loop.clock().Now() >= end; },
                  duration + seconds(1));
}

}  // namespace bambooquay::testing
