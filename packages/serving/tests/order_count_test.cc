// The agent's estimate of the number of orders that its engine has accepted.
#include "bambooquay/serving/order_count.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(order_count)

// The reply to an order is lost, a report includes the order, and the order is
// then sent again, to which the engine replies that it is already done. If the
// order were counted twice, every later order would state a number that is too
// high and be refused.
BOOST_AUTO_TEST_CASE(a_repeated_order_is_counted_once) {
  ManualClock clock;
  OrderCount orders(clock);
  orders.RecordReport(28);
  clock.Advance(milliseconds(700));
  orders.RecordReport(29);
  orders.RecordAccepted(28);
  BOOST_TEST(orders.count() == 29U);
}

BOOST_AUTO_TEST_CASE(
    a_report_after_a_refusal_corrects_a_count_that_is_too_high) {
  ManualClock clock;
  OrderCount orders(clock);
  orders.RecordReport(7);
  // The engine replied that the order was already done. The agent counts it as
  // accepted earlier, but the engine has not accepted it.
  orders.RecordAccepted(7);
  BOOST_TEST(orders.count() == 8U);
  orders.RecordReport(7);
  BOOST_TEST(orders.count() == 8U);
  orders.RecordRefusal();
  orders.RecordReport(7);
  BOOST_TEST(orders.count() == 7U);
}

BOOST_AUTO_TEST_CASE(a_lagging_report_does_not_lower_the_count) {
  ManualClock clock;
  OrderCount orders(clock);
  orders.RecordAccepted(0);
  orders.RecordAccepted(1);
  clock.Advance(milliseconds(200));
  orders.RecordReport(0);
  BOOST_TEST(orders.count() == 2U);
  BOOST_TEST(orders.ReportsMayLag());
  clock.Advance(milliseconds(400));
  orders.RecordReport(2);
  BOOST_TEST(orders.count() == 2U);
  orders.Reset();
  BOOST_TEST(orders.count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
