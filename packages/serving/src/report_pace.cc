// How often an entry asks the agents of engines for reports.
#include "bambooquay/serving/report_pace.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Reports a second of engines that are not in use, and renewals a second.
constexpr double kMaxIdleReportsPerSecond = 250.0;
// Upper bounds: reports must arrive well within their lifetime of 1.5 s, and
// renewals within the subscription's 3 s, even if one is lost.
constexpr Duration kMaxIdleReportPeriod = std::chrono::milliseconds(750);
constexpr Duration kMaxRenewalPeriod = std::chrono::milliseconds(1200);
// An engine counts as in use for this long after the last call to it.
constexpr Duration kUseTime = std::chrono::seconds(2);

}  // namespace

bool ReportPace::IsInUse(const Upstream& upstream, TimePoint now) const {
  return upstream.in_flight > 0 || now - upstream.last_attempt_at < kUseTime;
}

Duration ReportPace::IdleReportPeriod() const {
  return std::min(kMaxIdleReportPeriod,
                  FromSeconds(static_cast<double>(m_engine_count) /
                              kMaxIdleReportsPerSecond));
}

Duration ReportPace::RenewalPeriod() const {
  return std::min(kMaxRenewalPeriod,
                  FromSeconds(static_cast<double>(m_engine_count) /
                              kMaxIdleReportsPerSecond));
}

}  // namespace bambooquay
