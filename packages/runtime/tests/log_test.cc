// Bounds on the log: lines of each event, and a reader that stalls.
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "log_budget.h"
#include "non_blocking_appender.h"

namespace bambooquay {

BOOST_AUTO_TEST_SUITE(log)

BOOST_AUTO_TEST_CASE(each_event_has_a_budget_of_lines_and_losses_are_told) {
  LogBudget budget(10.0);
  TimePoint now{};
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    allowed += budget.Take("event=busy", now).allowed ? 1 : 0;
  }
  BOOST_TEST(allowed == 10);
  BOOST_TEST(budget.Take("event=other", now).allowed);
  now += std::chrono::seconds(1);
  const LogBudget::Verdict next = budget.Take("event=busy", now);
  BOOST_TEST(next.allowed);
  BOOST_TEST(next.left_out == 90U);
  BOOST_TEST(budget.left_out() == 90U);
}

BOOST_AUTO_TEST_CASE(a_reader_that_stalls_costs_lines_not_time) {
  std::array<int, 2> pipe_ends{};
  BOOST_REQUIRE(pipe(pipe_ends.data()) == 0);
  LogWriter writer(pipe_ends[1]);
  const std::string line(100, 'x');
  // Far more than a pipe and the bound hold; a blocking write would hang.
  for (int i = 0; i < 20000; ++i) {
    writer.Write(line + "\n");
  }
  BOOST_TEST(writer.lost() > 0U);
  // What was kept arrives in whole lines once the reader goes on.
  std::array<char, 65536> buffer{};
  std::size_t read_bytes = 0;
  while (read_bytes < 300000) {
    const ssize_t size = read(pipe_ends[0], buffer.data(), buffer.size());
    BOOST_REQUIRE(size > 0);
    read_bytes += static_cast<std::size_t>(size);
    writer.Write("");
  }
  BOOST_TEST(20000 - writer.lost() >= read_bytes / (line.size() + 1));
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
