// Tests of the table that `bambooquay status` prints.
#include "bambooquay/operators/status_table.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace bambooquay {
namespace {

using Json = nlohmann::json;

Json Instance(const std::string& id, const Json& state) {
  return {{"instance", id},
          {"datacentre", "south"},
          {"leaving", false},
          {"answers", state.is_object()},
          {"state", state}};
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

BOOST_AUTO_TEST_SUITE(status_table)

BOOST_AUTO_TEST_CASE(unhealthy_instances_come_first) {
  const Json instances = {
      Instance("entry-1",
               {{"role", "entry"}, {"configuration", 3}, {"requests", 12}}),
      Instance("agent-1", {{"role", "agent"},
                           {"configuration", 2},
                           {"in_flight", 4},
                           {"queued", 1},
                           {"models", {"on", "off"}}}),
      Instance("agent-2", {{"role", "agent"},
                           {"configuration", 3},
                           {"not_ready", "not registered in the table"}}),
      Instance("entry-2", Json())};
  const auto lines = SplitLines(RenderStatusTable(instances));
  BOOST_REQUIRE(lines.size() == 5U);
  BOOST_TEST(lines[1].starts_with("entry-2"));
  BOOST_TEST(lines[1].ends_with("no answer"));
  BOOST_TEST(lines[2].starts_with("agent-2"));
  BOOST_TEST(lines[2].ends_with("not registered in the table"));
  BOOST_TEST(lines[3].starts_with("agent-1"));
  BOOST_TEST(lines[3].find("behind") != std::string::npos);
  BOOST_TEST(lines[3].ends_with("2 models"));
  BOOST_TEST(lines[4].starts_with("entry-1"));
  BOOST_TEST(lines[4].find("ok") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(columns_are_aligned) {
  const Json state = {{"role", "entry"}, {"configuration", 1}, {"requests", 5}};
  const auto lines = SplitLines(RenderStatusTable(
      {Instance("a", state), Instance("an-instance-with-a-long-name", state)}));
  BOOST_REQUIRE(lines.size() == 3U);
  for (const std::string& line : lines) {
    BOOST_TEST(line.back() != ' ');
  }
  const std::size_t role = lines[0].find("ROLE");
  BOOST_TEST(lines[1].substr(role, 5) == "entry");
  BOOST_TEST(lines[2].substr(role, 5) == "entry");
}

BOOST_AUTO_TEST_CASE(no_instances_render_only_the_headings) {
  BOOST_TEST(SplitLines(RenderStatusTable(Json::array())).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
