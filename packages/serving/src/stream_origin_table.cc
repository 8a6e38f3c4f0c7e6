// Keeps in the store which service and software version began the streams in
// progress, for entries that start.
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
    json.push_back({report.service.value(), report.version.value(), streams,
                    report.shared_age.has_value()});
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
      // Rows of earlier releases end before this.
      if (item.size() > 3 && item.at(3).get<bool>()) {
        report.shared_age = Duration::zero();
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
    : m_origins(origins),
      m_row(loop, table, *this, {kTable, kRowKey, kWritePeriod},
            std::move(is_writer)) {}

bool StreamOriginTable::IsEmpty() const { return !m_origins.HasAmbiguous(); }

std::string StreamOriginTable::State() const {
  return EncodeStreamVersions(m_origins.Snapshot());
}

std::string StreamOriginTable::Encode(milliseconds /*store_time*/) const {
  return State();
}

void StreamOriginTable::Load(std::optional<std::string_view> value,
                             milliseconds /*store_time*/) {
  const auto reports =
      value.has_value() ? DecodeStreamVersions(*value) : std::nullopt;
  if (reports.has_value()) {
    m_origins.Merge(*reports);
  }
  m_origins.SetLoaded();
}

}  // namespace bambooquay
