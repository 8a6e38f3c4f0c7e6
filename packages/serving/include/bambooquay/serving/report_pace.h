// How often an entry asks the agents of engines for reports.
#pragma once

#include <cstddef>

#include "bambooquay/core/clock.h"
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {

/// Load it answers: each agent reports to each entry, so that reports grow with
/// the product of the two. An entry needs all reports only of the engines that
/// it sends calls to; of the others it gets about the same number of reports a
/// second in a fleet of any size.
class ReportPace {
 public:
  explicit ReportPace(std::size_t engine_count) noexcept
      : m_engine_count(engine_count) {}

  /// @returns whether calls were sent to the engine a moment ago.
  [[nodiscard]] bool IsInUse(const Upstream& upstream, TimePoint now) const;
  /// @returns the time between two reports of an engine that is not in use.
  [[nodiscard]] Duration IdleReportPeriod() const;
  /// @returns the time after which an unchanged subscription is renewed.
  [[nodiscard]] Duration RenewalPeriod() const;

 private:
  std::size_t m_engine_count;
};

}  // namespace bambooquay
