// Renders the state of the fleet as a table for a terminal.
#include "bambooquay/operators/status_table.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iomanip>
#include <sstream>
#include <string_view>
#include <vector>

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kColumnCount = 8;
constexpr std::string_view kColumnGap = "  ";
using Cells = std::array<std::string, kColumnCount>;

const Cells kHeadings = {"INSTANCE", "DATA CENTRE", "ROLE",   "STATE",
                         "CONFIG",   "RUNNING",     "QUEUED", "DETAIL"};

/// Health of an instance, worst first: the table is sorted by it.
enum class InstanceHealth : std::uint8_t {
  kUnreachable,
  kNotReady,
  kOutdated,
  kLeaving,
  kHealthy
};

struct Row {
  InstanceHealth health = InstanceHealth::kHealthy;
  Cells cells;
};

std::string_view ToString(InstanceHealth health) {
  switch (health) {
    case InstanceHealth::kUnreachable:
      return "no answer";
    case InstanceHealth::kNotReady:
      return "not ready";
    case InstanceHealth::kOutdated:
      return "behind";
    case InstanceHealth::kLeaving:
      return "leaving";
    case InstanceHealth::kHealthy:
      break;
  }
  return "ok";
}

std::uint64_t ConfigurationVersion(const Json& instance) {
  const Json& state = instance["state"];
  return state.is_object() ? state.value("configuration", std::uint64_t{0}) : 0;
}

InstanceHealth ClassifyInstance(const Json& instance,
                                std::uint64_t newest_version) {
  if (!instance["answers"].get<bool>()) {
    return InstanceHealth::kUnreachable;
  }
  if (!instance["state"].value("not_ready", "").empty()) {
    return InstanceHealth::kNotReady;
  }
  if (ConfigurationVersion(instance) < newest_version) {
    return InstanceHealth::kOutdated;
  }
  return instance["leaving"].get<bool>() ? InstanceHealth::kLeaving
                                         : InstanceHealth::kHealthy;
}

/// @returns the number under the first key that `state` has, or "" if it has
///   none of them. Entries and agents use different keys.
std::string FirstNumber(const Json& state,
                        std::initializer_list<const char*> keys) {
  const auto* key = std::ranges::find_if(
      keys, [&](const char* name) { return state.contains(name); });
  return key == keys.end() ? std::string() : state[*key].dump();
}

std::string FormatDetail(const Json& state) {
  std::string reason = state.value("not_ready", "");
  if (!reason.empty()) {
    return reason;
  }
  if (state.value("taken_out", false)) {
    return "taken out";
  }
  if (!state.contains("models")) {
    return {};
  }
  const std::size_t count = state["models"].size();
  return std::to_string(count) + (count == 1 ? " model" : " models");
}

Row BuildRow(const Json& instance, std::uint64_t newest_version) {
  Row row;
  row.health = ClassifyInstance(instance, newest_version);
  row.cells[0] = instance["instance"].get<std::string>();
  row.cells[1] = instance["datacentre"].get<std::string>();
  row.cells[3] = ToString(row.health);
  const Json& state = instance["state"];
  if (state.is_object()) {
    row.cells[2] = state.value("role", "");
    row.cells[4] = "v" + std::to_string(ConfigurationVersion(instance));
    row.cells[5] = FirstNumber(state, {"requests", "in_flight"});
    row.cells[6] = FirstNumber(state, {"queued"});
    row.cells[7] = FormatDetail(state);
  }
  return row;
}

std::string RenderLine(const Cells& cells,
                       const std::array<std::size_t, kColumnCount>& widths) {
  std::ostringstream line;
  line << std::left;
  for (std::size_t column = 0; column < kColumnCount; ++column) {
    line << std::setw(static_cast<int>(widths[column])) << cells[column]
         << kColumnGap;
  }
  std::string text = line.str();
  text.erase(text.find_last_not_of(' ') + 1);
  return text + '\n';
}

}  // namespace

std::string RenderStatusTable(const Json& instances) {
  std::uint64_t newest_version = 0;
  for (const Json& instance : instances) {
    newest_version = std::max(newest_version, ConfigurationVersion(instance));
  }
  std::vector<Row> rows;
  std::ranges::transform(
      instances, std::back_inserter(rows),
      [&](const Json& instance) { return BuildRow(instance, newest_version); });
  std::ranges::stable_sort(rows, {}, &Row::health);

  std::array<std::size_t, kColumnCount> widths{};
  const auto widen = [&](const Cells& cells) {
    std::ranges::transform(cells, widths, widths.begin(),
                           [](const std::string& cell, std::size_t width) {
                             return std::max(cell.size(), width);
                           });
  };
  widen(kHeadings);
  std::ranges::for_each(rows, widen, &Row::cells);

  std::string table = RenderLine(kHeadings, widths);
  for (const Row& row : rows) {
    table += RenderLine(row.cells, widths);
  }
  return table;
}

}  // namespace bambooquay
