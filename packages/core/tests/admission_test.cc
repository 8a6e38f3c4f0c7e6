// Tests the concurrency limit of cold and warm upstreams and the fairness of
// the admission queue.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>

#include "bambooquay/core/admission_queue.h"
#include "bambooquay/core/concurrency_limit.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr ConcurrencySettings kSettings{2, 16, milliseconds(20)};

AdmissionRequest MakeRequest(const std::string& id,
                             const std::string& organisation,
                             Priority priority = Priority::kInteractive,
                             double weight = 1.0) {
  return {RequestId(id), OrganisationId(organisation),
          weight,        priority,
          {100.0},       Duration::zero()};
}

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(a_cold_upstream_stays_at_the_cold_limit) {
  ConcurrencyLimit limit(kSettings);
  for (int i = 0; i < 100; ++i) {
    limit.RecordPace(milliseconds(80), limit.limit());
    BOOST_REQUIRE(limit.limit() == kSettings.cold);
  }
}

BOOST_AUTO_TEST_CASE(the_limit_grows_only_while_it_is_in_use) {
  ConcurrencyLimit limit(kSettings);
  for (int i = 0; i < 100; ++i) {
    limit.RecordPace(milliseconds(20), 0);
  }
  BOOST_TEST(limit.limit() == kSettings.cold);
  for (int i = 0; i < 20; ++i) {
    limit.RecordPace(milliseconds(20), limit.limit());
  }
  BOOST_TEST(limit.limit() == kSettings.warm);
}

BOOST_AUTO_TEST_CASE(slow_samples_restore_the_cold_limit) {
  ConcurrencyLimit limit(kSettings);
  for (int i = 0; i < 40; ++i) {
    limit.RecordPace(milliseconds(20), limit.limit());
  }
  limit.RecordPace(milliseconds(80), 16);
  limit.RecordPace(milliseconds(80), 16);
  BOOST_TEST(limit.limit() == kSettings.warm);
  limit.RecordPace(milliseconds(80), 16);
  BOOST_TEST(limit.limit() == kSettings.cold);
}

BOOST_AUTO_TEST_CASE(interactive_work_goes_before_batch) {
  ManualClock clock;
  AdmissionQueue queue(clock, 8);
  std::optional<RequestId> displaced;
  queue.Enqueue(MakeRequest("b", "org", Priority::kBatch), displaced);
  queue.Enqueue(MakeRequest("i", "org"), displaced);
  BOOST_TEST(queue.Dequeue()->value() == "i");
  BOOST_TEST(queue.Dequeue()->value() == "b");
}

BOOST_AUTO_TEST_CASE(organisations_share_in_proportion_to_their_weights) {
  ManualClock clock;
  AdmissionQueue queue(clock, 1000);
  std::optional<RequestId> displaced;
  for (int i = 0; i < 300; ++i) {
    queue.Enqueue(
        MakeRequest("x" + std::to_string(i), "x", Priority::kInteractive, 3.0),
        displaced);
    queue.Enqueue(MakeRequest("y" + std::to_string(i), "y"), displaced);
  }
  std::map<char, int> served;
  for (int i = 0; i < 200; ++i) {
    ++served[queue.Dequeue()->value().front()];
  }
  BOOST_TEST(served['x'] == 150);
}

BOOST_AUTO_TEST_CASE(work_that_would_miss_its_deadline_is_refused) {
  ManualClock clock;
  AdmissionQueue queue(clock, 100);
  std::optional<RequestId> displaced;
  for (int i = 0; i < 20; ++i) {
    queue.RecordCompletion({10.0});  // 100 tokens per second.
    clock.Advance(milliseconds(100));
  }
  queue.Enqueue(MakeRequest("first", "org"), displaced);
  AdmissionRequest urgent = MakeRequest("urgent", "org");
  urgent.time_left = milliseconds(500);
  BOOST_TEST((queue.Enqueue(urgent, displaced) == Refusal::kDeadline));
  urgent.time_left = milliseconds(1500);
  BOOST_TEST((queue.Enqueue(urgent, displaced) == Refusal::kNone));
  clock.Advance(milliseconds(1500));
  BOOST_TEST(queue.RemoveExpired().size() == 1U);
}

// A flood of requests from one organisation ("loud") must not keep out the
// requests of another ("quiet") that has fewer waiting.
BOOST_AUTO_TEST_CASE(a_full_queue_admits_organisations_with_fewer_waiting) {
  rc::detail::checkBoostTest([] {
    ManualClock clock;
    AdmissionQueue queue(clock, 10);
    std::map<std::string, int> waiting;
    const int steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
      const std::string organisation =
          *rc::gen::inRange(0, 10) < 8 ? "loud" : "quiet";
      std::optional<RequestId> displaced;
      const Refusal refusal = queue.Enqueue(
          MakeRequest(organisation + std::to_string(i), organisation),
          displaced);
      waiting[organisation] += refusal == Refusal::kNone ? 1 : 0;
      if (displaced.has_value()) {
        const bool was_loud = displaced->value().starts_with("loud");
        --waiting[was_loud ? "loud" : "quiet"];
      }
      RC_ASSERT(queue.size() <= 10U);
      RC_ASSERT(static_cast<int>(queue.size()) ==
                waiting["loud"] + waiting["quiet"]);
      RC_ASSERT(organisation != "quiet" || refusal == Refusal::kNone ||
                waiting["quiet"] >= 4);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
