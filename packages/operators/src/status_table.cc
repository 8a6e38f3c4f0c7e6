// The fleet's state as a table for a person at a terminal.
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

constexpr std::size_t kColumns = 8;
constexpr std::string_view kColumnGap = "  ";
using Cells = std::array<std::string, kColumns>;

const Cells kHeadings = {"INSTANCE", "DATA CENTRE", "ROLE",   "STATE",
                         "CONFIG",   "RUNNING",     "QUEUED", "DETAIL"};

/// What is wrong with an instance; the worst sorts first.
enum class Trouble : std::uint8_t {
  kNoAnswer,
  kNotReady,
  kBehind,
  kLeaving,
  kNone
};

struct Row {
  Trouble trouble = Trouble::kNone;
  Cells cells;
};

std::string_view ToString(Trouble trouble) {
  switch (trouble) {
    case Trouble::kNoAnswer:
      return "no answer";
    case Trouble::kNotReady:
      return "not ready";
    case Trouble::kBehind:
      return "behind";
    case Trouble::kLeaving:
      return "leaving";
    case Trouble::kNone:
      break;
  }
  return "ok";
}

std::uint64_t VersionOf(const Json& instance) {
  const Json& state = instance["state"];
  return state.is_object() ? state.value("configuration", std::uint64_t{0}) : 0;
}

Trouble FindTrouble(const Json& instance, std::uint64_t newest) {
  if (!instance["answers"].get<bool>()) {
    return Trouble::kNoAnswer;
  }
  if (!instance["state"].value("not_ready", "").empty()) {
    return Trouble::kNotReady;
  }
  if (VersionOf(instance) < newest) {
    return Trouble::kBehind;
  }
  return instance["leaving"].get<bool>() ? Trouble::kLeaving : Trouble::kNone;
}

/// @returns the number under one of the keys, entries and agents name it
/// differently; "" if there is none.
std::string NumberOf(const Json& state,
                     std::initializer_list<const char*> keys) {
  const auto* key = std::ranges::find_if(
      keys, [&](const char* name) { return state.contains(name); });
  return key == keys.end() ? std::string() : state[*key].dump();
}

std::string DetailOf(const Json& state) {
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

Row MakeRow(const Json& instance, std::uint64_t newest) {
  Row row;
  row.trouble = FindTrouble(instance, newest);
  row.cells[0] = instance["instance"].get<std::string>();
  row.cells[1] = instance["datacentre"].get<std::string>();
  row.cells[3] = ToString(row.trouble);
  const Json& state = instance["state"];
  if (state.is_object()) {
    row.cells[2] = state.value("role", "");
    row.cells[4] = "v" + std::to_string(VersionOf(instance));
    row.cells[5] = NumberOf(state, {"requests", "in_flight"});
    row.cells[6] = NumberOf(state, {"queued"});
    row.cells[7] = DetailOf(state);
  }
  return row;
}

std::string RenderLine(const Cells& cells,
                       const std::array<std::size_t, kColumns>& widths) {
  std::ostringstream line;
  line << std::left;
  for (std::size_t column = 0; column < kColumns; ++column) {
    line << std::setw(static_cast<int>(widths[column])) << cells[column]
         << kColumnGap;
  }
  std::string text = line.str();
  text.erase(text.find_last_not_of(' ') + 1);
  return text + '\n';
}

}  // namespace

std::string RenderStatusTable(const Json& instances) {
  std::uint64_t newest = 0;
  for (const Json& instance : instances) {
    newest = std::max(newest, VersionOf(instance));
  }
  std::vector<Row> rows;
  std::ranges::transform(
      instances, std::back_inserter(rows),
      [&](const Json& instance) { return MakeRow(instance, newest); });
  std::ranges::stable_sort(rows, {}, &Row::trouble);

  std::array<std::size_t, kColumns> widths{};
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
