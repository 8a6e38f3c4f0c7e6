// Keeps in the store which parts of prompts are under quarantine, for entries
// that start.
#include "bambooquay/serving/quarantine_table.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kTable = "quarantine";
constexpr const char* kRowKey = "parts";
constexpr Duration kWritePeriod = milliseconds(250);

std::int64_t ToMs(Duration time) { return time / milliseconds(1); }

std::optional<Duration> ReadMs(const Json& ms) {
  return ms.is_null()
             ? std::nullopt
             : std::optional<Duration>(milliseconds(ms.get<std::int64_t>()));
}

Json ToJson(const PartQuarantine& item) {
  std::vector<std::uint64_t> companions(item.companions.size());
  std::ranges::transform(
      item.companions, companions.begin(),
      [](PromptPartId id) { return static_cast<std::uint64_t>(id); });
  const Json progress =
      item.progress.has_value() ? Json(ToMs(*item.progress)) : Json();
  return {static_cast<std::uint64_t>(item.part),
          item.round,
          ToMs(item.last_crash_age),
          ToMs(item.time_left),
          companions,
          progress};
}

PartQuarantine ReadQuarantine(const Json& item, Duration age) {
  PartQuarantine read;
  read.part = PromptPartId{item.at(0).get<std::uint64_t>()};
  read.round = item.at(1).get<int>();
  read.last_crash_age = milliseconds(item.at(2).get<std::int64_t>()) + age;
  read.time_left = milliseconds(item.at(3).get<std::int64_t>()) - age;
  std::ranges::transform(
      item.at(4), std::back_inserter(read.companions),
      [](const Json& id) { return PromptPartId{id.get<std::uint64_t>()}; });
  read.progress = ReadMs(item.at(5));
  return read;
}

}  // namespace

std::string EncodeQuarantines(const std::vector<PartQuarantine>& quarantines,
                              milliseconds store_time) {
  Json items = Json::array();
  std::ranges::transform(quarantines, std::back_inserter(items), ToJson);
  const std::vector<std::uint8_t> bytes =
      Json::to_cbor({store_time.count(), std::move(items)});
  return {bytes.begin(), bytes.end()};
}

std::optional<std::vector<PartQuarantine>> DecodeQuarantines(
    std::string_view value, milliseconds store_time) {
  try {
    const Json json = Json::from_cbor(value.begin(), value.end());
    // The store's clock may have started again since.
    const Duration age =
        std::max(store_time - milliseconds(json.at(0).get<std::int64_t>()),
                 milliseconds(0));
    std::vector<PartQuarantine> quarantines;
    std::ranges::transform(
        json.at(1), std::back_inserter(quarantines),
        [age](const Json& item) { return ReadQuarantine(item, age); });
    return quarantines;
  } catch (const Json::exception& error) {
    LogEvent(LogLevel::kWarning, "quarantines_unreadable")
        .With("error", error.what());
    return std::nullopt;
  }
}

QuarantineTable::QuarantineTable(EventLoop& loop, FleetTable& table,
                                 PromptQuarantine& quarantine,
                                 std::function<bool()> is_writer)
    : m_quarantine(quarantine),
      m_row(loop, table, *this, {kTable, kRowKey, kWritePeriod},
            std::move(is_writer)) {}

bool QuarantineTable::IsEmpty() const {
  return m_quarantine.quarantined_count() == 0;
}

std::string QuarantineTable::State() const {
  std::vector<PartQuarantine> quarantines =
      m_quarantine.MakeQuarantineReports();
  // Ages change without an event.
  std::ranges::for_each(quarantines, [](PartQuarantine& item) {
    item.last_crash_age = {};
    item.time_left = {};
  });
  return EncodeQuarantines(quarantines, {});
}

std::string QuarantineTable::Encode(milliseconds store_time) const {
  return EncodeQuarantines(m_quarantine.MakeQuarantineReports(), store_time);
}

void QuarantineTable::Load(std::optional<std::string_view> value,
                           milliseconds store_time) {
  if (!value.has_value()) {
    return;
  }
  if (auto quarantines = DecodeQuarantines(*value, store_time)) {
    LogEvent(LogLevel::kInfo, "quarantines_loaded")
        .With("parts", quarantines->size());
    m_quarantine.Merge({{}, {}, std::move(*quarantines)});
  }
}

}  // namespace bambooquay
