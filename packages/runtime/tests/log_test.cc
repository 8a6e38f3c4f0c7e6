// Tests of the rate limit for each log event, and of logging while the reader
// of the output has stalled.
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "log_budget.h"
#include "non_blocking_appender.h"

namespace bambooquay {

BOOST_AUTO_TEST_SUITE(log)

BOOST_AUTO_TEST_CASE(
    each_event_has_a_rate_limit_and_suppressed_lines_are_counted) {
  LogRateLimiter rate_limiter(10.0);
  TimePoint now{};
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    allowed += rate_limiter.TryAcquire("event=busy", now).allowed ? 1 : 0;
  }
  BOOST_TEST(allowed == 10);
  BOOST_TEST(rate_limiter.TryAcquire("event=other", now).allowed);
  now += std::chrono::seconds(1);
  const LogRateLimiter::Decision decision =
      rate_limiter.TryAcquire("event=busy", now);
  BOOST_TEST(decision.allowed);
  BOOST_TEST(decision.suppressed == 90U);
  BOOST_TEST(rate_limiter.suppressed() == 90U);
}

BOOST_AUTO_TEST_CASE(lines_are_dropped_without_blocking_if_the_reader_stalls) {
  std::array<int, 2> pipe_ends{};
  BOOST_REQUIRE(pipe(pipe_ends.data()) == 0);
  LogWriter writer(pipe_ends[1]);
  const std::string line(100, 'x');
  // Far more lines than the pipe and the buffer can hold; a blocking write
  // would hang.
  for (int i = 0; i < 20000; ++i) {
    writer.Write(line + "\n");
  }
  BOOST_TEST(writer.dropped() > 0U);
  // The buffered lines arrive complete once the reader continues.
  std::array<char, 65536> buffer{};
  std::size_t read_bytes = 0;
  while (read_bytes < 300000) {
    const ssize_t size = read(pipe_ends[0], buffer.data(), buffer.size());
    BOOST_REQUIRE(size > 0);
    read_bytes += static_cast<std::size_t>(size);
    writer.Write("");
  }
  BOOST_TEST(20000 - writer.dropped() >= read_bytes / (line.size() + 1));
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
