// The number of orders that an engine has accepted.
#include "bambooquay/serving/order_count.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(order_count)

// The reply to an order was lost; a report counted it, and its repeat was
// answered that it holds already. Counted twice, every later order named a
// number that the engine never had.
BOOST_AUTO_TEST_CASE(an_order_that_is_repeated_counts_once) {
  ManualClock clock;
  OrderCount orders(clock);
  orders.NoteReport(28);
  clock.Advance(milliseconds(700));
  orders.NoteReport(29);
  orders.NoteAccepted(28);
  BOOST_TEST(orders.count() == 29U);
}

BOOST_AUTO_TEST_CASE(a_count_that_is_too_high_is_corrected_by_reports) {
  ManualClock clock;
  OrderCount orders(clock);
  orders.NoteReport(7);
  // The engine held what was ordered, and has accepted nothing.
  orders.NoteAccepted(7);
  BOOST_TEST(orders.count() == 8U);
  orders.NoteReport(7);
  BOOST_TEST(orders.count() == 8U);
  orders.NoteRefused();
  orders.NoteReport(7);
  BOOST_TEST(orders.count() == 7U);
}

BOOST_AUTO_TEST_CASE(a_report_that_lags_takes_nothing_back) {
  ManualClock clock;
  OrderCount orders(clock);
  orders.NoteAccepted(0);
  orders.NoteAccepted(1);
  clock.Advance(milliseconds(200));
  orders.NoteReport(0);
  BOOST_TEST(orders.count() == 2U);
  BOOST_TEST(orders.ReportsLag());
  clock.Advance(milliseconds(400));
  orders.NoteReport(2);
  BOOST_TEST(orders.count() == 2U);
  orders.Reset();
  BOOST_TEST(orders.count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
