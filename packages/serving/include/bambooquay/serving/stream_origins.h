// Which software version began a stream, so that it goes on only there.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"

namespace bambooquay {

/// @returns the key of a stream, the same in every process.
/// @param id  of the request that brought the stream's first event.
[[nodiscard]] StreamKey MakeStreamKey(const RequestId& id);

/// Remembers the software version at which streams began, for callers that take
/// up a stream at any entry after it has broken off.
///
/// While upstreams of one version serve a service, and have for longer than a
/// stream lasts, its streams need not be known one by one. While several do, a
/// stream that is not known must not go on: its version is a guess.
///
/// Invariant: Find() never returns a version that did not begin the stream, as
/// long as each version has been noted before it began one, or before
/// `is_current` has returned true after that.
///
/// @code
/// StreamOrigins origins(clock, [] { return HearsOfAllChanges(); });
/// origins.NoteVersion(service, version);
/// origins.SetLoaded();
/// origins.Record(MakeStreamKey(call.id), service, version);
/// if (const auto version = origins.Find(service, key)) { ... }
/// @endcode
class StreamOrigins {
 public:
  /// @param is_current  returns whether all versions that serve now have been
  ///   noted.
  StreamOrigins(const Clock& clock, std::function<bool()> is_current)
      : m_clock(clock), m_is_current(std::move(is_current)) {}

  /// Records that an upstream of that version is listed.
  void NoteVersion(const ServiceName& service, const SoftwareVersion& version);
  /// Records that what earlier processes knew has been merged. Before that the
  /// versions of the recent past are not known.
  void SetLoaded() noexcept { m_is_loaded = true; }
  /// Records that an upstream of that version has sent the first event of a
  /// stream, or goes on with it, to this entry.
  void Record(StreamKey stream, const ServiceName& service,
              const SoftwareVersion& version);
  /// Records that a stream of this entry has ended, well or not.
  void RecordEnd(StreamKey stream);
  /// @returns whether any service has several versions.
  [[nodiscard]] bool HasSeveralVersions() const;
  /// Adds what another entry, or an earlier process, has reported.
  void Merge(const std::vector<StreamVersionReport>& reports);
  /// @returns the versions of services that have several, with this entry's
  ///   streams in progress that the others may not know.
  [[nodiscard]] std::vector<StreamVersionReport> MakeReports();
  /// @returns the same with all entries' streams that may still be in progress.
  [[nodiscard]] std::vector<StreamVersionReport> Snapshot() const;
  /// @returns the version at which the stream may go on; nothing if that is not
  ///   known.
  [[nodiscard]] std::optional<SoftwareVersion> Find(const ServiceName& service,
                                                    StreamKey stream) const;
  /// Forgets versions and streams of the past.
  void RemoveExpired();

 private:
  struct Stream {
    ServiceName service;
    SoftwareVersion version;
    /// Whether it is in progress at this entry.
    bool is_own = false;
    /// When it was last known to be in progress.
    TimePoint seen_at{};
    /// When this entry last reported it, if it did.
    std::optional<TimePoint> reported_at;
  };
  /// When an upstream of a version was last listed, as far as any entry knows.
  using ListedAt = std::map<SoftwareVersion, TimePoint>;

  [[nodiscard]] bool HasSeveral(const ServiceName& service) const;
  /// @returns reports without streams, by service and version.
  [[nodiscard]] std::map<std::pair<ServiceName, SoftwareVersion>,
                         StreamVersionReport>
  MakeEmptyReports() const;

  const Clock& m_clock;
  std::function<bool()> m_is_current;
  bool m_is_loaded = false;
  std::map<ServiceName, ListedAt> m_versions;
  std::unordered_map<std::uint64_t, Stream> m_streams;
};

}  // namespace bambooquay
