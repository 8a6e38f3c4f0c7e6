// Tests of the settings of process limits.
#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/serving/serving_settings.h"

namespace bambooquay {
namespace {

const std::string kEntry =
    "[process]\nid = a\ndatacentre = b\n[listen]\ncallers = 127.0.0.1:1\n"
    "readiness = 127.0.0.1:2\npeers = 127.0.0.1:3\nadmin = 127.0.0.1:4\n"
    "seeds =\n[store]\naddress = 127.0.0.1:5\n";

auto Parse(const std::string& limits) {
  return ParseServingSettings(kEntry + limits, "file", ServingRole::kEntry);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(serving_settings)

BOOST_AUTO_TEST_CASE(limits_are_those_of_the_file_or_of_the_system) {
  const auto given = Parse("[limits]\nmemory_mb = 120\ndescriptors = 4100\n");
  const auto* settings = std::get_if<ServingSettings>(&given);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST(settings->limits.memory_bytes == std::size_t{120} * 1024 * 1024);
  BOOST_TEST(settings->limits.descriptors == 4100U);
  for (const std::string limits : {"", "[limits]\n"}) {
    const auto detected = Parse(limits);
    settings = std::get_if<ServingSettings>(&detected);
    BOOST_REQUIRE(settings != nullptr);
    BOOST_TEST(settings->limits.memory_bytes > 0U);
    BOOST_TEST(settings->limits.descriptors > 0U);
  }
}

BOOST_AUTO_TEST_CASE(limits_that_leave_no_room_are_errors) {
  for (const std::string line : {"memory_mb = 1", "descriptors = 3", "x = 1"}) {
    BOOST_TEST(std::holds_alternative<std::vector<IniError>>(
                   Parse("[limits]\n" + line + "\n")),
               line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
