// Which entries are sent an engine's lists, and when.
#include "bambooquay/serving/report_subscribers.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

const InstanceId kFirstEntry("entry-1");
const InstanceId kSecondEntry("entry-2");
const Endpoint kFirstAddress{"127.0.0.1", 1};
const Endpoint kSecondAddress{"127.0.0.1", 2};

}  // namespace

BOOST_AUTO_TEST_SUITE(report_subscribers)

// An entry that has just started cannot use a report without lists. It must be
// sent them at once, not up to a second later because other entries have been
// sent them already.
BOOST_AUTO_TEST_CASE(a_new_entry_is_sent_the_lists_at_once) {
  ManualClock clock;
  ReportSubscribers subscribers(clock);
  BOOST_TEST(subscribers.Subscribe(kFirstEntry, kFirstAddress));
  BOOST_TEST(subscribers.MarkListsSentIfDue(subscribers.all()[kFirstEntry], 1));
  clock.Advance(milliseconds(200));
  BOOST_TEST(!subscribers.Subscribe(kFirstEntry, kFirstAddress));
  BOOST_TEST(
      !subscribers.MarkListsSentIfDue(subscribers.all()[kFirstEntry], 1));
  BOOST_TEST(subscribers.Subscribe(kSecondEntry, kSecondAddress));
  BOOST_TEST(
      subscribers.MarkListsSentIfDue(subscribers.all()[kSecondEntry], 1));
}

BOOST_AUTO_TEST_CASE(lists_are_sent_again_when_changed_or_after_a_second) {
  ManualClock clock;
  ReportSubscribers subscribers(clock);
  subscribers.Subscribe(kFirstEntry, kFirstAddress);
  auto& first = subscribers.all()[kFirstEntry];
  BOOST_TEST(subscribers.MarkListsSentIfDue(first, 1));
  BOOST_TEST(subscribers.MarkListsSentIfDue(first, 2));
  BOOST_TEST(!subscribers.MarkListsSentIfDue(first, 2));
  clock.Advance(milliseconds(1000));
  BOOST_TEST(subscribers.MarkListsSentIfDue(first, 2));
  subscribers.InvalidateLists();
  BOOST_TEST(subscribers.MarkListsSentIfDue(first, 2));
}

BOOST_AUTO_TEST_CASE(an_entry_without_renewal_is_removed) {
  ManualClock clock;
  ReportSubscribers subscribers(clock);
  subscribers.Subscribe(kFirstEntry, kFirstAddress);
  clock.Advance(milliseconds(2000));
  subscribers.Subscribe(kSecondEntry, kSecondAddress);
  clock.Advance(milliseconds(1500));
  subscribers.RemoveExpired();
  BOOST_TEST(subscribers.all().size() == 1U);
  BOOST_TEST(subscribers.all().contains(kSecondEntry));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
