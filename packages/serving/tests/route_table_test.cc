// Tests for finding routes by host and longest prefix.
#include "bambooquay/serving/route_table.h"

#include <boost/test/unit_test.hpp>

namespace bambooquay {
namespace {

ServingRoute MakeRoute(std::string name, std::string prefix) {
  ServingRoute route;
  route.name = std::move(name);
  route.host = "Names.Example";
  route.prefix = std::move(prefix);
  return route;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(route_table)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_path_wins) {
  FleetConfiguration configuration;
  configuration.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/"),
                          MakeRoute("other", "/c/")};
  const RouteTable routes(configuration);
  BOOST_TEST(routes.FindRoute("names.example", "/a/b/c")->name == "long");
  BOOST_TEST(routes.FindRoute("names.example:8080", "/a/x")->name == "short");
  // A prefix ends at a slash, so "/a/bc" is not below "/a/b/".
  BOOST_TEST(routes.FindRoute("names.example", "/a/bc")->name == "short");
  BOOST_TEST(routes.FindRoute("names.example", "/a") == nullptr);
  BOOST_TEST(routes.FindRoute("other.example", "/a/b/") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_root_prefix_matches_paths_without_a_longer_prefix) {
  FleetConfiguration configuration;
  configuration.routes = {MakeRoute("root", "/"), MakeRoute("a", "/a/")};
  const RouteTable routes(configuration);
  BOOST_TEST(routes.FindRoute("names.example", "/zzz")->name == "root");
  BOOST_TEST(routes.FindRoute("names.example", "/a/1")->name == "a");
}

BOOST_AUTO_TEST_CASE(the_query_is_not_part_of_the_path) {
  BOOST_TEST(PathOf("/a/b?c=/d/") == "/a/b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
