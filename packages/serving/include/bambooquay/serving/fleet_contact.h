// Whether what an entry knows of the fleet is that of the present.
#pragma once

#include <cstddef>
#include <optional>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// What an entry has heard of the others and of the store lately.
struct FleetContact {
  std::size_t known_peers = 0;  ///< Other entries, silent ones included.
  std::size_t heard_peers = 0;  ///< Those that are not silent.
  /// Time since the store's last response on the list; nothing before it.
  std::optional<Duration> list_age = std::nullopt;
  /// Time since the process last stood still; nothing if it never has.
  std::optional<Duration> since_pause = std::nullopt;
  /// Whether a peer that is not silent sends streams to other services.
  bool has_other_routes = false;
};

/// @returns whether the entry would know by now of what the others have known
///   for a second: it hears most of them, or the store, and has had the time to
///   read what came while it stood still.
///
/// Load it answers: an entry that stood still or was cut off while the fleet
/// changed gets requests before the news.
[[nodiscard]] bool IsInTouch(const FleetContact& contact) noexcept;

}  // namespace bambooquay
