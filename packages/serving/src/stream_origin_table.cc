// Keeps in the store which software version began the streams in progress, for
// entries that start.
#include "bambooquay/serving/stream_origin_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kTable = "streams";
constexpr const char* kRowKey = "in progress";
constexpr Duration kLoadRetryDelay = milliseconds(200);
// Streams that began less than this before a loss of all entries can't be taken
// up.
constexpr Duration kWritePeriod = milliseconds(250);

}  // namespace

std::string EncodeStreamVersions(
    const std::vector<StreamVersionReport>& reports) {
  Json json = Json::array();
  for (const StreamVersionReport& report : reports) {
    std::vector<std::uint64_t> streams(report.streams.size());
    std::ranges::transform(report.streams, streams.begin(), &StreamKey::value);
    std::ranges::sort(streams);
    json.push_back({report.service.value(), report.version.value(), streams});
  }
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

std::optional<std::vector<StreamVersionReport>> DecodeStreamVersions(
    std::string_view value) {
  try {
    std::vector<StreamVersionReport> reports;
    for (const Json& item : Json::from_cbor(value.begin(), value.end())) {
      StreamVersionReport report;
      report.service = ServiceName(item.at(0).get<std::string>());
      report.version = SoftwareVersion(item.at(1).get<std::string>());
      for (const Json& stream : item.at(2)) {
        report.streams.push_back({stream.get<std::uint64_t>()});
      }
      reports.push_back(std::move(report));
    }
    return reports;
  } catch (const Json::exception& error) {
    LogEvent(LogLevel::kWarning, "stream_versions_unreadable")
        .With("error", error.what());
    return std::nullopt;
  }
}

StreamOriginTable::StreamOriginTable(EventLoop& loop, FleetTable& table,
                                     StreamOrigins& origins,
                                     std::function<bool()> is_writer)
    : m_loop(loop),
      m_table(table),
      m_origins(origins),
      m_is_writer(std::move(is_writer)) {}

void StreamOriginTable::Start() {
  Load();
  m_update_timer = m_loop.Every(kWritePeriod, [this] { Update(); });
}

void StreamOriginTable::Load() {
  m_table.List(kTable, "", [this](const TableResult& result) {
    const auto* page = std::get_if<TablePage>(&result);
    if (page == nullptr) {
      m_load_timer = m_loop.After(kLoadRetryDelay, [this] { Load(); });
      return;
    }
    const auto row = std::ranges::find(page->rows, kRowKey, &TableRow::key);
    if (row != page->rows.end()) {
      m_may_exist = true;
      if (const auto reports = DecodeStreamVersions(row->value)) {
        m_origins.Merge(*reports);
      }
    }
    m_origins.SetLoaded();
  });
}

void StreamOriginTable::Update() {
  const std::vector<StreamVersionReport> reports = m_origins.Snapshot();
  m_may_exist = m_may_exist || !reports.empty();
  if (m_is_writing || !m_may_exist || !m_is_writer()) {
    return;
  }
  const std::string value =
      reports.empty() ? "" : EncodeStreamVersions(reports);
  if (value.empty() || value != m_written) {
    Write(value);
  }
}

void StreamOriginTable::Write(const std::string& value) {
  TableWrite write;
  (value.empty() ? write.deletes : write.puts)
      .push_back({kTable, kRowKey, value, 0, false});
  m_is_writing = true;
  m_table.Write(write, [this, value](const TableWriteResult& result) {
    m_is_writing = false;
    if (std::holds_alternative<TablePage>(result)) {
      m_written = value;
      m_may_exist = !value.empty();
    }
  });
}

}  // namespace bambooquay
