// The drain document: data centres and upstreams that operators have drained.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "bambooquay/core/ids.h"

namespace bambooquay {

/// The drained data centres and upstreams. They receive no new work.
struct DrainSet {
  std::set<DataCentreId> data_centres;
  std::set<UpstreamId> upstreams;

  /// @returns the set parsed from JSON, or nothing if malformed.
  [[nodiscard]] static std::optional<DrainSet> Parse(std::string_view json);
  [[nodiscard]] std::string Serialize() const;
  /// @returns whether the upstream or its data centre is drained.
  [[nodiscard]] bool IsDrained(const UpstreamId& upstream,
                               const DataCentreId& data_centre) const noexcept;
};

}  // namespace bambooquay
