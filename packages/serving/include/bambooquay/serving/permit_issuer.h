// Grants permits for requests to one upstream, within the bounds on its rate.
#pragma once

#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/permit_bucket.h"

namespace bambooquay {

/// Issues the permits for one upstream to all entries. It is kept by the agent
/// beside an engine, and by one of the entries for a plain service.
///
/// Load it answers: an upstream takes fewer calls per second than the entries
/// have for it, because it is cold or names a limit. What one entry does not
/// need is there for the others.
///
/// @code
/// PermitIssuer issuer(clock);
/// issuer.SetColdRate({8.0});
/// if (issuer.TryIssue({.is_cold = true, .call_limit = {}})) { ... }
/// @endcode
class PermitIssuer {
 public:
  explicit PermitIssuer(const Clock& clock) noexcept
      : m_cold(clock), m_limited(clock) {}

  /// @param rate  calls per second that the upstream can take while it is
  ///   cold; 0 means no limit.
  void SetColdRate(CallsPerSecond rate) noexcept { m_cold.SetRate(rate); }
  /// Issues a permit if all bounds that apply leave one.
  /// @param share  the share of the upstream's call limit that this issuer may
  ///   use, from 0 to 1.
  [[nodiscard]] bool TryIssue(const PermitBounds& bounds,
                              double share = 1.0) noexcept;
  /// @returns the time until a permit can be issued within the bounds.
  [[nodiscard]] Duration TimeUntilNext(
      const PermitBounds& bounds) const noexcept;

 private:
  PermitBucket m_cold;
  PermitBucket m_limited;
};

}  // namespace bambooquay
