// Tests of the agent's answers to requests for room.
#include "bambooquay/serving/engine_rooms.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An engine of unknown rate takes all calls, so the places bound the room in
/// these tests.
struct Fixture {
  EventLoop loop;
  Metrics metrics;
  EngineWorkEstimator estimator{loop.clock()};
  std::vector<RoomReply> replies;
  EngineRooms rooms{loop, metrics, estimator,
                    [this](const Endpoint& /*entry*/, const RoomReply& reply) {
                      replies.push_back(reply);
                    }};

  void Ask(std::uint64_t number, const std::string& call,
           Duration max_wait = seconds(5)) {
    RoomRequest request;
    request.request_id = number;
    request.call = RequestId(call);
    request.prompt_tokens = 4000;
    request.unread_tokens = 4000;
    request.prompt = {{1, 3000}, {number + 100, 1000}};
    request.max_wait = max_wait;
    rooms.HandleRequest({"127.0.0.1", 1}, request);
  }
};

BOOST_FIXTURE_TEST_SUITE(engine_rooms, Fixture)

BOOST_AUTO_TEST_CASE(a_call_gets_room_at_once_if_the_rate_is_unknown) {
  Ask(1, "a");
  BOOST_REQUIRE(replies.size() == 1U);
  BOOST_TEST(replies.front().granted);
  BOOST_TEST(replies.front().request_id == 1U);
}

BOOST_AUTO_TEST_CASE(an_announced_call_gets_no_reply) {
  Ask(1, "a", Duration::zero());
  BOOST_TEST(replies.empty());
  BOOST_TEST(rooms.TotalWork().unread_prompt_tokens > 0.0);
}

// The parts that another call has sent to the engine count as kept.
BOOST_AUTO_TEST_CASE(prompts_of_all_entries_are_taken_into_account) {
  Ask(1, "a");
  const double first = rooms.TotalWork().unread_prompt_tokens;
  Ask(2, "b");
  const double both = rooms.TotalWork().unread_prompt_tokens;
  BOOST_TEST(both - first < 1500.0);
}

BOOST_AUTO_TEST_CASE(a_call_that_ends_is_no_work_any_more) {
  Ask(1, "a");
  rooms.HandleRelease({UpstreamId("i"), RequestId("a"), false});
  BOOST_TEST(rooms.TotalWork().unread_prompt_tokens == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
