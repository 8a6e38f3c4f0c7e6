// Which software version began a stream, so that it goes on only there.
#include "bambooquay/serving/stream_origins.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <string>
#include <utility>

namespace bambooquay {
namespace {

// A stream may be taken up this long after it was last in progress.
constexpr Duration kTakeUpTime = std::chrono::seconds(30);
// Streams of a version may be taken up this long after its last upstream was
// listed: the time that upstreams serve after they have left, and that of a
// stream.
constexpr Duration kVersionTime = std::chrono::seconds(60);
// A stream in progress is reported again after this time, as reports may be
// lost.
constexpr Duration kReportInterval = std::chrono::seconds(1);
// A stream that was not reported for this long is not in progress any more.
constexpr Duration kInProgressTime = std::chrono::seconds(3);
// Streams in one status, which is one datagram.
constexpr std::size_t kMaxReported = 400;
// Streams in a snapshot, which is one row of the store.
constexpr std::size_t kMaxInSnapshot = 4000;
// Bounds the memory for streams; those beyond can't be taken up while several
// versions serve.
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

StreamKey MakeStreamKey(const RequestId& id) {
  return {boost::hash<std::string>()(id.value())};
}

void StreamOrigins::NoteVersion(const ServiceName& service,
                                const SoftwareVersion& version) {
  m_versions[service][version] = m_clock.Now();
}

void StreamOrigins::Record(StreamKey stream, const ServiceName& service,
                           const SoftwareVersion& version) {
  NoteVersion(service, version);
  if (m_streams.size() < kMaxStreams || m_streams.contains(stream.value)) {
    m_streams[stream.value] = {service, version, true, m_clock.Now(),
                               std::nullopt};
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
    TimePoint& listed_at =
        m_versions[report.service]
            .try_emplace(report.version, now - report.listed_age)
            .first->second;
    listed_at = std::max(listed_at, now - report.listed_age);
    for (const StreamKey stream : report.streams) {
      const auto found = m_streams.find(stream.value);
      if (found != m_streams.end()) {
        found->second.seen_at = now;
      } else if (m_streams.size() < kMaxStreams) {
        m_streams[stream.value] = {report.service, report.version, false, now,
                                   std::nullopt};
      }
    }
  }
}

bool StreamOrigins::HasSeveralVersions() const {
  return std::ranges::any_of(
      m_versions, [](const auto& item) { return item.second.size() > 1; });
}

bool StreamOrigins::HasSeveral(const ServiceName& service) const {
  const auto versions = m_versions.find(service);
  return versions != m_versions.end() && versions->second.size() > 1;
}

std::map<std::pair<ServiceName, SoftwareVersion>, StreamVersionReport>
StreamOrigins::MakeEmptyReports() const {
  std::map<std::pair<ServiceName, SoftwareVersion>, StreamVersionReport>
      reports;
  for (const auto& [service, versions] : m_versions) {
    if (!HasSeveral(service)) {
      continue;
    }
    for (const auto& [version, listed_at] : versions) {
      reports[{service, version}] = {
          service, version, m_clock.Now() - listed_at, {}};
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
    const auto report = reports.find({stream.service, stream.version});
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
    const auto report = reports.find({stream.service, stream.version});
    if ((stream.is_own || now - stream.seen_at < kInProgressTime) && left > 0 &&
        report != reports.end()) {
      report->second.streams.push_back({key});
      --left;
    }
  });
  return TakeReports(std::move(reports));
}

std::optional<SoftwareVersion> StreamOrigins::Find(const ServiceName& service,
                                                   StreamKey stream) const {
  const auto found = m_streams.find(stream.value);
  if (found != m_streams.end() && found->second.service == service) {
    return found->second.version;
  }
  const auto versions = m_versions.find(service);
  if (!m_is_loaded || versions == m_versions.end() ||
      versions->second.size() != 1 || !m_is_current()) {
    return std::nullopt;
  }
  return versions->second.begin()->first;
}

void StreamOrigins::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  std::ranges::for_each(m_versions, [&](auto& item) {
    std::erase_if(item.second, [&](const auto& listed) {
      return now - listed.second >= kVersionTime;
    });
  });
  std::erase_if(m_streams, [&](const auto& item) {
    return !item.second.is_own && now - item.second.seen_at >= kTakeUpTime;
  });
}

}  // namespace bambooquay
