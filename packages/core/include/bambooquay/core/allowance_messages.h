// Messages that move shares of an allowance from one entry (the giver) to
// another (the asker).
#pragma once

#include <cstdint>

#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

/// Reply to an AllowanceAsk: part of a share that moves from giver to asker.
/// The giver has already reduced its own share; the asker applies each sequence
/// number once.
struct AllowanceTransfer {
  /// Number of this transfer from the giver to the asker, counted from 1
  /// within an epoch; 0 means that nothing is given.
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;
  IncarnationId giver;
  /// Fraction of the organisation's rate and burst that moves, from 0 to 1.
  double fraction = 0.0;
  /// Tokens that move; at most `fraction` of the burst.
  Tokens level;
};

/// A request for part of the giver's share. It also acknowledges the last
/// transfer that the asker applied.
struct AllowanceAsk {
  OrganisationId organisation;
  IncarnationId asker;
  /// Incarnation of the giver as far as the asker knows; empty if unknown.
  IncarnationId giver;
  std::uint64_t epoch = 0;
  /// Sequence number of the last transfer applied from `giver`.
  std::uint64_t last_applied = 0;
  /// Tokens that the asker needs at once.
  Tokens need;
  /// Recent demand of callers at the asker.
  TokensPerSecond demand;
  /// Fraction of the allowance that the asker holds.
  double held = 0.0;
};

}  // namespace bambooquay
