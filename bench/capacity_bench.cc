// Measures for docs/CAPACITY.md how the cost of control traffic, decisions and
// documents grows with the size of the fleet. Fits a line to each series by
// least squares, prints it with its residual, and writes the points of the
// series to a directory for bench/plot_capacity.
#include <unistd.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "bambooquay/core/admission_queue.h"
#include "bambooquay/core/allowance_ledger.h"
#include "bambooquay/core/configuration.h"
#include "bambooquay/core/key_set.h"
#include "bambooquay/core/placement.h"
#include "bambooquay/core/random.h"
#include "deployment.h"

namespace bambooquay {
namespace {

using std::chrono::seconds;
using testing::Deployment;

/// A measured series, and the size to which its line is extrapolated.
struct Series {
  std::string name;
  std::string x_unit;
  std::string y_unit;
  double target_size = 0.0;
  std::vector<std::pair<double, double>> points;
};

/// A straight line through the points of a series.
struct LinearFit {
  double intercept = 0.0;
  double slope = 0.0;
  /// Largest distance of a point from the line, relative to the largest value.
  double max_relative_residual = 0.0;
};

LinearFit FitLine(const Series& series) {
  const auto n = static_cast<double>(series.points.size());
  double sx = 0.0;
  double sy = 0.0;
  double sxx = 0.0;
  double sxy = 0.0;
  double largest_value = 1e-12;
  for (const auto& [x, y] : series.points) {
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
    largest_value = std::max(largest_value, std::abs(y));
  }
  LinearFit fit;
  fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  fit.intercept = (sy - fit.slope * sx) / n;
  for (const auto& [x, y] : series.points) {
    fit.max_relative_residual =
        std::max(fit.max_relative_residual,
                 std::abs(y - fit.intercept - fit.slope * x) / largest_value);
  }
  return fit;
}

void PrintAndSave(const Series& series, const std::string& directory) {
  const LinearFit fit = FitLine(series);
  const double largest_measured = series.points.back().first;
  std::printf(
      "%-34s %8.4g + %.4g a %s %s; at %.0f: %.4g %s (residual %.0f%%, "
      "%.1f times the largest size measured)\n",
      series.name.c_str(), fit.intercept, fit.slope, series.x_unit.c_str(),
      series.y_unit.c_str(), series.target_size,
      fit.intercept + fit.slope * series.target_size, series.y_unit.c_str(),
      100.0 * fit.max_relative_residual, series.target_size / largest_measured);
  std::string file = series.name;
  std::ranges::replace(file, ' ', '_');
  std::ofstream out(directory + "/" + file + ".dat");
  out << "# " << series.x_unit << " " << series.y_unit << "\n";
  for (const auto& [x, y] : series.points) {
    out << x << " " << y << "\n";
  }
}

/// @returns the shortest time of several runs of `action`, in microseconds.
double MeasureMicroseconds(const std::function<void()>& action) {
  constexpr int kRuns = 7;
  double best = 1e18;
  for (int i = 0; i < kRuns; ++i) {
    const auto started_at = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - started_at;
    best = std::min(best, elapsed.count());
  }
  return best;
}

std::string MakeConfiguration(int models, int upstreams) {
  std::string text = "[fleet]\nname = f\n";
  for (int i = 0; i < 7; ++i) {
    text += "[datacentre d" + std::to_string(i) + "]\nregion = r" +
            std::to_string(i % 3) + "\n";
  }
  std::string model_list;
  for (int i = 0; i < models; ++i) {
    const std::string name = "model-" + std::to_string(i);
    text += "[model " + name + "]\nmemory_mib = 20000\n";
    model_list += (i > 0 ? ",\n  " : "") + name;
  }
  text += "[service s]\nmodels = " + model_list + "\n";
  for (int i = 0; i < upstreams; ++i) {
    text += "[upstream u" + std::to_string(i) +
            "]\nservice = s\ndatacentre = d" + std::to_string(i % 7) +
            "\nmemory_mib = 320000\nwarm_concurrency = 64\n";
  }
  return text;
}

void MeasureConfiguration(const std::string& directory) {
  Series parse{"configuration check", "upstream", "us", 700, {}};
  Series bytes{"configuration size", "upstream", "bytes", 700, {}};
  Series placement{"placement", "upstream", "us", 700, {}};
  for (const int upstreams : {50, 100, 200, 400, 700}) {
    const std::string text = MakeConfiguration(upstreams / 2, upstreams);
    bytes.points.emplace_back(upstreams, text.size());
    parse.points.emplace_back(upstreams, MeasureMicroseconds([&] {
                                (void)ParseConfiguration(text, "f");
                              }));
    const auto parsed = ParseConfiguration(text, "f");
    const auto& configuration = std::get<Configuration>(parsed);
    placement.points.emplace_back(upstreams, MeasureMicroseconds([&] {
                                    (void)ComputeStaticPlacement(configuration);
                                  }));
  }
  PrintAndSave(bytes, directory);
  PrintAndSave(parse, directory);
  PrintAndSave(placement, directory);
}

void MeasureKeys(const std::string& directory) {
  Series keys{"key set parse", "key", "us", 20000, {}};
  Series find{"key look-up", "key", "us", 20000, {}};
  for (const int count : {500, 2000, 8000, 20000}) {
    KeySet set;
    std::vector<KeyDigest> digests;
    std::string json = "{\"keys\":[";
    for (int i = 0; i < count; ++i) {
      digests.push_back(DigestOfKey("key" + std::to_string(i)));
      json += (i > 0 ? "," : "") + std::string("{\"digest\":\"") +
              digests.back().value() +
              "\",\"organisation\":\"o\",\"label\":\"" + std::to_string(i) +
              "\"}";
    }
    json += "]}";
    keys.points.emplace_back(
        count, MeasureMicroseconds([&] { set = *KeySet::Parse(json); }));
    find.points.emplace_back(count,
                             MeasureMicroseconds([&] {
                               for (int i = 0; i < 100; ++i) {
                                 (void)set.Find(digests[i * count / 100]);
                               }
                             }) / 100.0);
  }
  PrintAndSave(keys, directory);
  PrintAndSave(find, directory);
}

void MeasureEpochs(const std::string& directory) {
  Series epoch{"allowance epoch", "entry", "us", 330, {}};
  for (const int entries : {10, 40, 160, 330}) {
    const ManualClock clock;
    AllowanceLedger allowance_ledger(clock, IncarnationId(Sha256Hex("0")));
    std::vector<OrganisationSettings> organisations;
    for (int i = 0; i < 20; ++i) {
      organisations.push_back(
          {OrganisationId("o" + std::to_string(i)), {1000}, {5000}, 1.0});
    }
    allowance_ledger.Configure(organisations);
    AllowanceState state;
    state.phase = AllowancePhase::kActive;
    for (int i = 0; i < entries; ++i) {
      state.members.push_back({IncarnationId(Sha256Hex(std::to_string(i))),
                               InstanceId("entry-" + std::to_string(i))});
    }
    epoch.points.emplace_back(
        entries, MeasureMicroseconds([&] {
          ++state.epoch;
          allowance_ledger.Adopt(*AllowanceState::Parse(state.Serialize()));
        }));
  }
  PrintAndSave(epoch, directory);
}

// Like MeasureEpochs, with a fixed number of entries and a growing number of
// organisations.
void MeasureOrganisations(const std::string& directory) {
  Series epoch{"epoch by organisations", "organisation", "us", 200, {}};
  for (const int count : {5, 20, 80, 200}) {
    const ManualClock clock;
    AllowanceLedger allowance_ledger(clock, IncarnationId(Sha256Hex("0")));
    std::vector<OrganisationSettings> organisations;
    for (int i = 0; i < count; ++i) {
      organisations.push_back(
          {OrganisationId("o" + std::to_string(i)), {1000}, {5000}, 1.0});
    }
    allowance_ledger.Configure(organisations);
    AllowanceState state;
    state.phase = AllowancePhase::kActive;
    constexpr int kEntries = 330;
    for (int i = 0; i < kEntries; ++i) {
      state.members.push_back({IncarnationId(Sha256Hex(std::to_string(i))),
                               InstanceId("entry-" + std::to_string(i))});
    }
    epoch.points.emplace_back(count, MeasureMicroseconds([&] {
                                ++state.epoch;
                                allowance_ledger.Adopt(state);
                              }));
  }
  PrintAndSave(epoch, directory);
}

// Placement with the target's number of upstreams and a growing number of
// models.
void MeasureModels(const std::string& directory) {
  Series placement{"placement by models", "model", "us", 350, {}};
  for (const int models : {50, 100, 200, 350}) {
    constexpr int kUpstreams = 700;
    const auto parsed =
        ParseConfiguration(MakeConfiguration(models, kUpstreams), "f");
    const auto& configuration = std::get<Configuration>(parsed);
    placement.points.emplace_back(models, MeasureMicroseconds([&] {
                                    (void)ComputeStaticPlacement(configuration);
                                  }));
  }
  PrintAndSave(placement, directory);
}

// Processor time of one entry and one agent at several constant request rates.
void MeasureRequestRate(const std::string& directory) {
  Series entry{
      "entry processor by requests", "request/s", "% of a core", 4, {}};
  Series agent{
      "agent processor by requests", "request/s", "% of a core", 2, {}};
  Deployment fleet({.entries = 1, .engines = 1, .rate = "1e9", .burst = "1e9"});
  fleet.RunFor(seconds(3));
  constexpr double kWindowSeconds = 6.0;
  for (const int rate : {20, 50, 100, 200}) {
    const double entry_before = fleet.processes().GetCpuSeconds("entry-0");
    const double agent_before = fleet.processes().GetCpuSeconds("agent-1");
    std::vector<std::shared_ptr<testing::PendingResponse>> calls;
    const TimePoint started_at = fleet.loop().clock().Now();
    while (ToSeconds(fleet.loop().clock().Now() - started_at) <
           kWindowSeconds) {
      const auto due_count = static_cast<std::size_t>(
          ToSeconds(fleet.loop().clock().Now() - started_at) * rate);
      while (calls.size() < due_count) {
        calls.push_back(fleet.StartRequest(0, "GET", "/ledger/look", ""));
      }
      fleet.RunFor(std::chrono::milliseconds(5));
    }
    entry.points.emplace_back(
        rate, 100.0 *
                  (fleet.processes().GetCpuSeconds("entry-0") - entry_before) /
                  kWindowSeconds);
    agent.points.emplace_back(
        rate, 100.0 *
                  (fleet.processes().GetCpuSeconds("agent-1") - agent_before) /
                  kWindowSeconds);
  }
  PrintAndSave(entry, directory);
  PrintAndSave(agent, directory);
}

void MeasureAdmission(const std::string& directory) {
  Series queue{"admission of one request", "queued", "us", 256, {}};
  for (const int waiting : {16, 64, 128, 250}) {
    const ManualClock clock;
    AdmissionQueue admission(clock, 256);
    std::optional<RequestId> displaced;
    int next = 0;
    const auto enqueue = [&] {
      admission.Enqueue({RequestId(std::to_string(next)),
                         OrganisationId("o" + std::to_string(next % 20)),
                         1.0,
                         Priority::kInteractive,
                         {100.0},
                         seconds(5)},
                        displaced);
      ++next;
    };
    for (int i = 0; i < waiting; ++i) {
      enqueue();
    }
    queue.points.emplace_back(waiting, MeasureMicroseconds([&] {
                                         for (int i = 0; i < 100; ++i) {
                                           enqueue();
                                           (void)admission.Dequeue();
                                         }
                                       }) / 100.0);
  }
  PrintAndSave(queue, directory);
}

/// @returns the bytes that the loopback interface has received since boot.
double LoopbackBytes() {
  std::ifstream file("/proc/net/dev");
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t colon = line.find("lo:");
    if (colon != std::string::npos) {
      return std::strtod(line.c_str() + colon + 3, nullptr);
    }
  }
  return 0.0;
}

// Processor time, memory and traffic of each process in idle fleets of several
// sizes, where only control messages are sent.
void MeasureFleets(const std::string& directory, int max_per_role) {
  Series cpu_entry{
      "entry control processor", "process", "% of a core", 1030, {}};
  Series cpu_agent{
      "agent control processor", "process", "% of a core", 1030, {}};
  Series memory_entry{"entry memory", "process", "MB", 1030, {}};
  Series memory_agent{"agent memory", "process", "MB", 1030, {}};
  Series traffic{"control traffic of a process", "process", "KB/s", 1030, {}};
  Series store{"store reads", "process", "reads/s", 1030, {}};
  for (const int per_role : {4, 8, 16, 32, 48}) {
    if (per_role > max_per_role) {
      break;
    }
    Deployment fleet(
        {.entries = per_role, .engines = 2, .plain_services = per_role - 2});
    const double processes = 2.0 * per_role;
    fleet.RunFor(seconds(3));
    constexpr double kWindowSeconds = 10.0;
    const auto sum = [&](const std::string& role, auto read) {
      double total = 0.0;
      for (int i = 0; i < per_role; ++i) {
        total += read(role + std::to_string(i));
      }
      return total;
    };
    const auto cpu = [&](const std::string& name) {
      return fleet.processes().GetCpuSeconds(name);
    };
    const auto memory = [&](const std::string& name) {
      return fleet.processes().GetResidentMemoryMb(name);
    };
    const double entry_before = sum("entry-", cpu);
    const double agent_before = sum("agent-", cpu);
    const double bytes_before = LoopbackBytes();
    const double reads_before = fleet.GetPlatformCounter("reads");
    fleet.RunFor(FromSeconds(kWindowSeconds));
    traffic.points.emplace_back(
        processes,
        (LoopbackBytes() - bytes_before) / 1e3 / kWindowSeconds / processes);
    store.points.emplace_back(
        processes,
        (fleet.GetPlatformCounter("reads") - reads_before) / kWindowSeconds);
    cpu_entry.points.emplace_back(processes,
                                  100.0 * (sum("entry-", cpu) - entry_before) /
                                      kWindowSeconds / per_role);
    cpu_agent.points.emplace_back(processes,
                                  100.0 * (sum("agent-", cpu) - agent_before) /
                                      kWindowSeconds / per_role);
    memory_entry.points.emplace_back(processes,
                                     sum("entry-", memory) / per_role);
    memory_agent.points.emplace_back(processes,
                                     sum("agent-", memory) / per_role);
  }
  for (const Series* series : {&cpu_entry, &cpu_agent, &memory_entry,
                               &memory_agent, &traffic, &store}) {
    PrintAndSave(*series, directory);
  }
}

}  // namespace
}  // namespace bambooquay

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string directory = ".";
  int max_per_role = 48;
  po::options_description options("capacity_bench");
  options.add_options()("points", po::value(&directory),
                        "directory for the points")(
      "largest", po::value(&max_per_role),
      "largest number of entries and agents");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << options;
    return 64;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  bambooquay::MeasureConfiguration(directory);
  bambooquay::MeasureKeys(directory);
  bambooquay::MeasureEpochs(directory);
  bambooquay::MeasureOrganisations(directory);
  bambooquay::MeasureModels(directory);
  bambooquay::MeasureAdmission(directory);
  bambooquay::MeasureRequestRate(directory);
  bambooquay::MeasureFleets(directory, max_per_role);
  return 0;
}
