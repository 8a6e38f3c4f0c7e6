// Selects the upstream for a request: prefers the local data centre, and within
// it the less loaded of two random candidates.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/random.h"
#include "bambooquay/core/work.h"

namespace bambooquay {

/// An upstream that could serve a request.
struct Candidate {
  UpstreamId upstream;
  DataCentreId data_centre;
};

/// Tracks the load of each upstream, from this entry's own requests in flight
/// and from the last report of the upstream's agent, and selects upstreams by
/// it.
class UpstreamSelector {
 public:
  /// @param data_centre  the data centre of this entry.
  UpstreamSelector(const Clock& clock, RandomSource& random,
                   DataCentreId data_centre) noexcept;

  /// Selects an upstream.
  /// @param excluded  upstreams that must not be chosen, as the request was
  ///   already tried on them.
  /// @returns the upstream, or nothing if every candidate is excluded.
  [[nodiscard]] std::optional<UpstreamId> Choose(
      const std::vector<Candidate>& candidates,
      const std::set<UpstreamId>& excluded);

  /// Records that this entry sends a request to the upstream.
  void RecordStart(const UpstreamId& upstream);
  /// Records that a request passed to RecordStart has ended.
  void RecordEnd(const UpstreamId& upstream);
  /// Records the load that the upstream's agent reported.
  void RecordLoad(const UpstreamId& upstream, const AgentLoad& load);
  /// Records a failed request. The upstream is avoided for a while, as long as
  /// other candidates are left.
  void RecordFailure(const UpstreamId& upstream);
  /// Records that the upstream has run a request.
  void RecordSuccess(const UpstreamId& upstream);
  /// @returns whether every request to the upstream has failed for at least
  ///   `duration`.
  [[nodiscard]] bool IsFailing(const UpstreamId& upstream,
                               Duration duration) const;

 private:
  struct UpstreamState {
    /// Requests that this entry has in flight.
    std::uint32_t entry_in_flight = 0;
    AgentLoad last_report;
    TimePoint reported_at{};
    TimePoint avoid_until{};
    /// First failure since the last success; TimePoint::max() if none.
    TimePoint failing_since = TimePoint::max();
  };

  /// @returns the number of requests at the upstream divided by its limit; at 1
  ///   or more, the upstream is full.
  [[nodiscard]] double LoadScore(const UpstreamId& upstream);
  /// @returns the less loaded of two random candidates, or nullptr if there are
  ///   none.
  [[nodiscard]] const Candidate* PickLessLoaded(
      const std::vector<const Candidate*>& candidates);

  const Clock& m_clock;
  RandomSource& m_random;
  DataCentreId m_data_centre;
  std::unordered_map<UpstreamId, UpstreamState> m_states;
};

}  // namespace bambooquay
