// Tests of how often entries ask for reports.
#include "bambooquay/serving/report_pace.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(report_pace)

BOOST_AUTO_TEST_CASE(idle_engines_report_less_often_in_a_large_fleet) {
  // Less than the period at which agents report anyway.
  BOOST_TEST((ReportPace(40).IdleReportPeriod() < milliseconds(200)));
  BOOST_TEST((ReportPace(180).IdleReportPeriod() == milliseconds(720)));
  // Reports must arrive within their lifetime in a fleet of any size.
  BOOST_TEST((ReportPace(700).IdleReportPeriod() == milliseconds(750)));
  BOOST_TEST((ReportPace(700).RenewalPeriod() == milliseconds(1200)));
}

BOOST_AUTO_TEST_CASE(an_engine_is_in_use_until_its_calls_are_long_over) {
  const ReportPace pace(180);
  Upstream upstream;
  upstream.last_attempt_at = TimePoint(seconds(10));
  BOOST_TEST(pace.IsInUse(upstream, TimePoint(milliseconds(11900))));
  BOOST_TEST(!pace.IsInUse(upstream, TimePoint(milliseconds(12100))));
  upstream.in_flight = 1;
  BOOST_TEST(pace.IsInUse(upstream, TimePoint(seconds(60))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
