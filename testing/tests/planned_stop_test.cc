// Tests the planned stop of an entry with its own interface.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>

#include "deployment.h"
#include "support/plain_caller.h"

namespace bambooquay::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(planned_stop)

BOOST_AUTO_TEST_CASE(each_request_on_a_kept_connection_is_answered) {
  Deployment fleet({.entries = 1, .engines = 2});
  const std::string body =
      R"({"model":"tide","prompt":"dawn","max_tokens":30})";
  const std::string request =
      "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " +
      fleet.key() + "\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  PlainCaller caller(fleet.EntryAddress(0));
  std::size_t answered_bytes = 0;
  const auto is_answered = [&] {
    const std::string& received = caller.Received();
    return caller.closed() ||
           received.find("dawn#30 ", answered_bytes) != std::string::npos;
  };
  int answered = 0;
  bool is_cut = false;
  bool is_announced = false;
  const auto ask = [&] {
    caller.Send(request);
    fleet.WaitUntil(is_answered, seconds(10));
    is_cut =
        caller.Received().find("dawn#30 ", answered_bytes) == std::string::npos;
    is_announced = caller.Received().find("Connection: close",
                                          answered_bytes) != std::string::npos;
    answered_bytes = caller.Received().size();
    answered += is_cut ? 0 : 1;
  };
  ask();
  BOOST_REQUIRE(answered == 1);
  fleet.Signal("entry-0", SIGTERM);
  fleet.RunFor(milliseconds(100));
  while (!is_cut && !is_announced && answered < 20) {
    ask();
  }
  BOOST_TEST(!is_cut);
  BOOST_TEST(is_announced);
  BOOST_TEST(answered > 1);
  BOOST_TEST(fleet.WaitForExit("entry-0", seconds(10)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay::testing
