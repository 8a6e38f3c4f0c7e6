// Which service and software version began a stream, so that it goes on only
// there.
#include "bambooquay/serving/stream_origins.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <string>
#include <utility>

namespace bambooquay {
namespace {

// A stream may be taken up this long after it was last in progress.
constexpr Duration kTakeUpTime = std::chrono::seconds(30);
// A stream in progress is reported again after this time, as reports may be
// lost.
constexpr Duration kReportInterval = std::chrono::seconds(1);
// A stream that was not reported for this long is not in progress any more.
constexpr Duration kInProgressTime = std::chrono::seconds(3);
// Streams in one status, which is one datagram.
constexpr std::size_t kMaxReported = 400;
// Streams in a snapshot, which is one row of the store.
constexpr std::size_t kMaxInSnapshot = 4000;
// Bounds the memory for streams; those beyond can't be taken up while their
// service is ambiguous.
constexpr std::size_t kMaxStreams = 20'000;

template <typename Reports>
std::vector<StreamVersionReport> TakeReports(Reports reports) {
  std::vector<StreamVersionReport> taken;
  taken.reserve(reports.size());
  std::ranges::for_each(
      reports, [&](auto& item) { taken.push_back(std::move(item.second)); });
  return taken;
}

}  // namespace

std::string_view ToString(StreamObstacle obstacle) noexcept {
  return obstacle == StreamObstacle::kOriginUnknown ? "stream_origin_unknown"
                                                    : "stream_route_moved";
}

StreamKey MakeStreamKey(const RequestId& id) {
  return {boost::hash<std::string>()(id.value())};
}

void StreamOrigins::NoteVersion(const ServiceName& service,
                                const SoftwareVersion& version) {
  m_versions[service][version] = m_clock.Now();
}

bool StreamOrigins::NoteShared(const ServiceName& service, TimePoint at) {
  const auto [shared, is_new] = m_shared.try_emplace(service, at);
  shared->second = std::max(shared->second, at);
  return is_new;
}

void StreamOrigins::Record(StreamKey stream, const StreamOrigin& origin) {
  NoteVersion(origin.service, origin.version);
  if (m_streams.size() < kMaxStreams || m_streams.contains(stream.value)) {
    m_streams[stream.value] = {origin, true, m_clock.Now(), std::nullopt};
  }
}

void StreamOrigins::RecordEnd(StreamKey stream) {
  const auto found = m_streams.find(stream.value);
  if (found != m_streams.end() && std::exchange(found->second.is_own, false)) {
    found->second.seen_at = m_clock.Now();
  }
}

void StreamOrigins::Merge(const std::vector<StreamVersionReport>& reports) {
  const TimePoint now = m_clock.Now();
  for (const StreamVersionReport& report : reports) {
    // This entry may have forgotten the origin just before its sender does.
    if (report.listed_age >= kMaxOriginAge) {
      continue;
    }
    TimePoint& listed_at =
        m_versions[report.service]
            .try_emplace(report.version, now - report.listed_age)
            .first->second;
    listed_at = std::max(listed_at, now - report.listed_age);
    if (report.shared_age.value_or(kMaxOriginAge) < kMaxOriginAge) {
      NoteShared(report.service, now - *report.shared_age);
    }
    for (const StreamKey stream : report.streams) {
      const auto found = m_streams.find(stream.value);
      if (found != m_streams.end()) {
        found->second.seen_at = now;
      } else if (m_streams.size() < kMaxStreams) {
        m_streams[stream.value] = {
            {report.service, report.version}, false, now, std::nullopt};
      }
    }
  }
}

bool StreamOrigins::HasAmbiguous() const {
  return std::ranges::any_of(
      m_versions, [this](const auto& item) { return IsAmbiguous(item.first); });
}

bool StreamOrigins::IsAmbiguous(const ServiceName& service) const {
  const auto versions = m_versions.find(service);
  return m_shared.contains(service) ||
         (versions != m_versions.end() && versions->second.size() > 1);
}

std::map<std::pair<ServiceName, SoftwareVersion>, StreamVersionReport>
StreamOrigins::MakeEmptyReports() const {
  std::map<std::pair<ServiceName, SoftwareVersion>, StreamVersionReport>
      reports;
  for (const auto& [service, versions] : m_versions) {
    if (!IsAmbiguous(service)) {
      continue;
    }
    const auto shared = m_shared.find(service);
    for (const auto& [version, listed_at] : versions) {
      StreamVersionReport& report = reports[{service, version}];
      report.service = service;
      report.version = version;
      report.listed_age = m_clock.Now() - listed_at;
      if (shared != m_shared.end()) {
        report.shared_age = m_clock.Now() - shared->second;
      }
    }
  }
  return reports;
}

std::vector<StreamVersionReport> StreamOrigins::MakeReports() {
  const TimePoint now = m_clock.Now();
  auto reports = MakeEmptyReports();
  if (reports.empty()) {
    return {};
  }
  std::size_t left = kMaxReported;
  std::ranges::for_each(m_streams, [&](auto& item) {
    auto& [key, stream] = item;
    const bool is_due = !stream.reported_at.has_value() ||
                        now - *stream.reported_at >= kReportInterval;
    const auto report =
        reports.find({stream.origin.service, stream.origin.version});
    if (stream.is_own && is_due && left > 0 && report != reports.end()) {
      report->second.streams.push_back({key});
      stream.reported_at = now;
      --left;
    }
  });
  return TakeReports(std::move(reports));
}

std::vector<StreamVersionReport> StreamOrigins::Snapshot() const {
  const TimePoint now = m_clock.Now();
  auto reports = MakeEmptyReports();
  if (reports.empty()) {
    return {};
  }
  std::size_t left = kMaxInSnapshot;
  std::ranges::for_each(m_streams, [&](const auto& item) {
    const auto& [key, stream] = item;
    const auto report =
        reports.find({stream.origin.service, stream.origin.version});
    if ((stream.is_own || now - stream.seen_at < kInProgressTime) && left > 0 &&
        report != reports.end()) {
      report->second.streams.push_back({key});
      --left;
    }
  });
  return TakeReports(std::move(reports));
}

std::variant<StreamOrigin, StreamObstacle> StreamOrigins::Find(
    const std::vector<ServiceName>& services, StreamKey stream) const {
  const auto found = m_streams.find(stream.value);
  if (found != m_streams.end()) {
    const StreamOrigin& origin = found->second.origin;
    if (std::ranges::find(services, origin.service) == services.end()) {
      return StreamObstacle::kRouteMoved;
    }
    return origin;
  }
  if (!m_is_loaded || services.size() != 1 || IsAmbiguous(services.front()) ||
      !m_is_current()) {
    return StreamObstacle::kOriginUnknown;
  }
  const auto versions = m_versions.find(services.front());
  if (versions == m_versions.end() || versions->second.empty()) {
    return StreamObstacle::kOriginUnknown;
  }
  return StreamOrigin{services.front(), versions->second.begin()->first};
}

void StreamOrigins::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  // Upstreams may serve a stream for long after they have left the list.
  std::ranges::for_each(m_streams, [this](const auto& item) {
    if (item.second.is_own) {
      NoteVersion(item.second.origin.service, item.second.origin.version);
    }
  });
  std::ranges::for_each(m_versions, [&](auto& item) {
    std::erase_if(item.second, [&](const auto& listed) {
      return now - listed.second >= kMaxOriginAge;
    });
  });
  std::erase_if(m_shared, [&](const auto& item) {
    return now - item.second >= kMaxOriginAge;
  });
  std::erase_if(m_streams, [&](const auto& item) {
    return !item.second.is_own && now - item.second.seen_at >= kTakeUpTime;
  });
}

}  // namespace bambooquay
