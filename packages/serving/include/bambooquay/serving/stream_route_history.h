// Which services share the streams of a route, now or in the recent past.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/serving/active_configuration.h"

namespace bambooquay {

/// Remembers to which services the configurations of the recent past sent the
/// streams of the same path. While that is more than one, an unknown stream may
/// have begun at any of them.
///
/// Load it answers: configurations that divide routes over services and move
/// them, while callers take up their streams.
///
/// @code
/// StreamRouteHistory routes(clock);
/// routes.Apply(configuration);
/// for (const auto& [service, shared_at] : routes.SharedServices()) { ... }
/// @endcode
class StreamRouteHistory {
 public:
  explicit StreamRouteHistory(const Clock& clock) noexcept : m_clock(clock) {}

  /// Records that a configuration replaces the one before.
  void Apply(std::shared_ptr<const ActiveConfiguration> configuration);
  /// @returns the services that share streams with another service, with the
  ///   time at which that one last got streams of the same path.
  [[nodiscard]] std::map<ServiceName, TimePoint> SharedServices() const;
  /// @returns a number that identifies which services get the streams of which
  ///   routes now, the same in every process; 0 without a configuration.
  [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }
  /// Forgets what is older than any stream that may be taken up.
  void RemoveExpired();

 private:
  /// Host and path prefix of a route. All paths with the same longest match
  /// among the routes of several configurations get the same services in each.
  using PathKey = std::pair<std::string, std::string>;
  using UsedAt = std::map<ServiceName, TimePoint>;

  /// @returns the keys of all routes.
  static std::set<PathKey> KeysOf(const ActiveConfiguration& configuration);
  static std::uint64_t DigestOf(const ActiveConfiguration& configuration);
  /// @returns the services that get streams of these paths.
  static std::set<ServiceName> ServicesAt(
      const ActiveConfiguration& configuration, const PathKey& key);

  const Clock& m_clock;
  std::shared_ptr<const ActiveConfiguration> m_present;
  /// Of m_present.
  std::uint64_t m_digest = 0;
  /// The services before the present configuration, and when each was last in
  /// use. Has only paths whose services have changed.
  std::map<PathKey, UsedAt> m_past;
};

}  // namespace bambooquay
