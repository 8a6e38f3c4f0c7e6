// Identifies one run of an upstream.
#pragma once

#include <compare>
#include <cstdint>

#include "bambooquay/core/ids.h"

namespace bambooquay {

/// One run of an upstream, from a start to its end. A restarted upstream may
/// keep its id; what was known of the earlier run does not apply to it.
struct UpstreamRun {
  UpstreamId id;
  /// Start of the run, Unix milliseconds; 0 if unknown.
  std::int64_t started_at_ms = 0;

  friend auto operator<=>(const UpstreamRun&, const UpstreamRun&) = default;
};

}  // namespace bambooquay
