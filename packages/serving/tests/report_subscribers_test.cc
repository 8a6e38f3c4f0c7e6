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
  ReportSubscribers subscribers(clock, clock);
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
  ReportSubscribers subscribers(clock, clock);
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

// Load: an agent polls its engine each 100 ms, and each entry of a large fleet
// would get ten reports a second of every engine that it uses.
BOOST_AUTO_TEST_CASE(reports_are_sent_at_every_second_fast_poll) {
  ManualClock clock;
  ReportSubscribers subscribers(clock, clock);
  subscribers.Subscribe(kFirstEntry, kFirstAddress);
  auto& first = subscribers.all()[kFirstEntry];
  int sent = 0;
  for (int poll = 0; poll < 10; ++poll) {
    sent += subscribers.MarkReportSentIfDue(first, 1) ? 1 : 0;
    static_cast<void>(subscribers.MarkListsSentIfDue(first, 1));
    clock.Advance(milliseconds(100));
  }
  BOOST_TEST(sent == 5);
  // Lists that have changed are news.
  BOOST_TEST(subscribers.MarkReportSentIfDue(first, 2));
}

BOOST_AUTO_TEST_CASE(an_entry_without_renewal_is_removed) {
  ManualClock clock;
  ReportSubscribers subscribers(clock, clock);
  subscribers.Subscribe(kFirstEntry, kFirstAddress);
  clock.Advance(milliseconds(2000));
  subscribers.Subscribe(kSecondEntry, kSecondAddress);
  clock.Advance(milliseconds(1500));
  subscribers.RemoveExpired();
  BOOST_TEST(subscribers.all().size() == 1U);
  BOOST_TEST(subscribers.all().contains(kSecondEntry));
}

// Renewals that arrived in a pause of the agent are not handled yet.
BOOST_AUTO_TEST_CASE(an_entry_is_not_removed_because_the_agent_stood_still) {
  ManualClock clock;
  ManualClock input_clock;
  ReportSubscribers subscribers(clock, input_clock);
  subscribers.Subscribe(kFirstEntry, kFirstAddress);
  clock.Advance(milliseconds(4000));
  subscribers.RemoveExpired();
  BOOST_TEST(subscribers.all().contains(kFirstEntry));
  input_clock.Advance(milliseconds(4000));
  subscribers.RemoveExpired();
  BOOST_TEST(!subscribers.all().contains(kFirstEntry));
}

// Load: hundreds of entries, each of which sends calls to few of the engines.
BOOST_AUTO_TEST_CASE(an_entry_that_sends_no_calls_gets_fewer_reports) {
  ManualClock clock;
  ReportSubscribers subscribers(clock, clock);
  subscribers.Subscribe(kFirstEntry, kFirstAddress, milliseconds(900));
  auto& first = subscribers.all()[kFirstEntry];
  int reports = 0;
  for (int i = 0; i < 50; ++i) {
    if (subscribers.MarkReportSentIfDue(first, 1)) {
      ++reports;
      static_cast<void>(subscribers.MarkListsSentIfDue(first, 1));
    }
    clock.Advance(milliseconds(200));
  }
  BOOST_TEST(reports == 10);
  BOOST_TEST(subscribers.MarkReportSentIfDue(first, 1));
  static_cast<void>(subscribers.MarkListsSentIfDue(first, 1));
  // Changed lists are sent at once, and all reports once it sends calls.
  BOOST_TEST(!subscribers.MarkReportSentIfDue(first, 1));
  BOOST_TEST(subscribers.MarkReportSentIfDue(first, 2));
  static_cast<void>(subscribers.MarkListsSentIfDue(first, 2));
  subscribers.Subscribe(kFirstEntry, kFirstAddress, Duration::zero());
  BOOST_TEST(subscribers.MarkReportSentIfDue(first, 2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
