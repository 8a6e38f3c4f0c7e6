// Permits for upstreams that no agent is beside, issued by one of the entries.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/permit_issuer.h"

namespace bambooquay {

/// For each upstream, one of the live entries issues the permits. All entries
/// agree on it by hash, so nothing is handed over when it dies.
///
/// Load it answers: a plain service in need names a call limit, and its calls
/// arrive at some entries only, or at other ones a moment later.
///
/// Invariant: the issuer of an upstream uses the parts of the limit of the
/// entries that it hears, and an entry that is asked without being the issuer
/// uses its own part only. So entries that cannot hear each other stay near the
/// limit together.
///
/// @code
/// EntryPermits permits(clock, self);
/// permits.SetEntries(live_entries, member_count);
/// if (permits.IssuerOf(upstream) == self) {
///   const PermitReply reply = permits.Issue(request);
/// }
/// @endcode
class EntryPermits {
 public:
  EntryPermits(const Clock& clock, InstanceId self);

  /// @param live_entries  the entries heard of lately, this one included.
  /// @param member_count  number of entries that may be serving, silent ones
  ///   included.
  void SetEntries(std::vector<InstanceId> live_entries,
                  std::size_t member_count);
  /// @returns the entry that issues the permits for `upstream`.
  [[nodiscard]] InstanceId IssuerOf(const UpstreamId& upstream) const;
  /// Issues a permit if the bounds leave one. A part of the limit is left to
  /// silent entries, which may issue permits among themselves.
  [[nodiscard]] PermitReply Issue(const PermitRequest& request);
  /// Drops issuers that were not asked for a while.
  void RemoveUnused();

 private:
  struct Issuer {
    PermitIssuer permits;
    TimePoint asked_at{};
  };

  const Clock& m_clock;
  InstanceId m_self;
  /// Not empty.
  std::vector<InstanceId> m_live_entries;
  std::size_t m_member_count = 1;
  std::unordered_map<UpstreamId, Issuer> m_issuers;
};

}  // namespace bambooquay
