// Which service and software version began a stream, so that it goes on only
// there.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"

namespace bambooquay {

/// @returns the key of a stream, the same in every process.
/// @param id  of the request that brought the stream's first event.
[[nodiscard]] StreamKey MakeStreamKey(const RequestId& id);

/// What began a stream. Another service or version may send other events for
/// the same request.
struct StreamOrigin {
  ServiceName service;
  SoftwareVersion version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// Why a stream that its caller takes up can't go on.
enum class StreamObstacle : std::uint8_t {
  kOriginUnknown,  ///< Any of several origins may have begun it.
  kRouteMoved,     ///< Its route does not use the service that began it.
};

/// @returns the name for logs and for error responses.
[[nodiscard]] std::string_view ToString(StreamObstacle obstacle) noexcept;

/// Remembers the origins of streams, for callers that take up a stream at any
/// entry after it has broken off.
///
/// While a service has one software version and shares its streams with no
/// other service, and has for longer than a stream lasts, its streams need not
/// be known one by one. Otherwise a stream that is not known must not go on:
/// its origin is a guess.
///
/// Invariant: Find() never returns an origin that did not begin the stream, as
/// long as each version and each shared service has been noted before that
/// origin began a stream, or before `is_current` has returned true after that.
///
/// @code
/// StreamOrigins origins(clock, [] { return HearsOfAllChanges(); });
/// origins.NoteVersion(service, version);
/// origins.SetLoaded();
/// origins.Record(MakeStreamKey(call.id), {service, version});
/// const auto found = origins.Find(route_services, key);
/// if (const auto* origin = std::get_if<StreamOrigin>(&found)) { ... }
/// @endcode
class StreamOrigins {
 public:
  /// Streams may be taken up this long after the last upstream of their version
  /// was listed, or their route used their service: the time that upstreams
  /// serve after they have left, and that of a stream.
  static constexpr Duration kMaxOriginAge = std::chrono::seconds(60);

  /// @param is_current  returns whether all origins that serve now have been
  ///   noted.
  StreamOrigins(const Clock& clock, std::function<bool()> is_current)
      : m_clock(clock), m_is_current(std::move(is_current)) {}

  /// Records that an upstream of that version is listed.
  void NoteVersion(const ServiceName& service, const SoftwareVersion& version);
  /// Records that a service shares streams with another one.
  /// @param at  when that other service last got some.
  /// @returns whether that was not known.
  bool NoteShared(const ServiceName& service, TimePoint at);
  /// Records that what earlier processes knew has been merged. Before that the
  /// versions of the recent past are not known.
  void SetLoaded() noexcept { m_is_loaded = true; }
  /// Records that an upstream has sent the first event of a stream, or goes on
  /// with it, to this entry.
  void Record(StreamKey stream, const StreamOrigin& origin);
  /// Records that a stream of this entry has ended, well or not.
  void RecordEnd(StreamKey stream);
  /// @returns whether the streams of any service have to be known one by one.
  [[nodiscard]] bool HasAmbiguous() const;
  /// Adds what another entry, or an earlier process, has reported.
  void Merge(const std::vector<StreamVersionReport>& reports);
  /// @returns the versions of services whose streams have to be known one by
  ///   one, with this entry's streams in progress that the others may not know.
  [[nodiscard]] std::vector<StreamVersionReport> MakeReports();
  /// @returns the same with all entries' streams that may still be in progress.
  [[nodiscard]] std::vector<StreamVersionReport> Snapshot() const;
  /// @param services  those that the stream's route uses now.
  /// @returns the origin at which the stream may go on.
  [[nodiscard]] std::variant<StreamOrigin, StreamObstacle> Find(
      const std::vector<ServiceName>& services, StreamKey stream) const;
  /// Forgets versions, shared services and streams of the past.
  void RemoveExpired();

 private:
  struct Stream {
    StreamOrigin origin;
    /// Whether it is in progress at this entry.
    bool is_own = false;
    /// When it was last known to be in progress.
    TimePoint seen_at{};
    /// When this entry last reported it, if it did.
    std::optional<TimePoint> reported_at;
  };
  /// When an upstream of a version was last listed, as far as any entry knows.
  using ListedAt = std::map<SoftwareVersion, TimePoint>;

  /// @returns whether several origins may have begun a stream of the service.
  [[nodiscard]] bool IsAmbiguous(const ServiceName& service) const;
  /// @returns reports without streams, by service and version.
  [[nodiscard]] std::map<std::pair<ServiceName, SoftwareVersion>,
                         StreamVersionReport>
  MakeEmptyReports() const;

  const Clock& m_clock;
  std::function<bool()> m_is_current;
  bool m_is_loaded = false;
  std::map<ServiceName, ListedAt> m_versions;
  /// The services that share streams with another one, and when that one last
  /// got some.
  std::map<ServiceName, TimePoint> m_shared;
  std::unordered_map<std::uint64_t, Stream> m_streams;
};

}  // namespace bambooquay
