// Tests of the settings of scheduling.
#include <boost/test/unit_test.hpp>
#include <string>

#include "bambooquay/serving/serving_settings.h"

namespace bambooquay {
namespace {

/// @returns the settings of an agent with this section, if they are valid.
std::optional<ServingSettings> Parse(const std::string& scheduling) {
  const auto parsed = ParseServingSettings(
      "[process]\nid = a\ndatacentre = dc\n"
      "[listen]\npeers = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"
      "[store]\naddress = 127.0.0.1:3\n"
      "[engine]\naddress = 127.0.0.1:4\nservice = s\n" +
          scheduling,
      "agent.ini", ServingRole::kAgent);
  const auto* settings = std::get_if<ServingSettings>(&parsed);
  return settings == nullptr ? std::nullopt : std::optional(*settings);
}

bool PredictsWork(const std::string& scheduling) {
  const auto settings = Parse(scheduling);
  BOOST_REQUIRE(settings.has_value());
  return settings->predicted_work;
}

BOOST_AUTO_TEST_SUITE(serving_settings)

BOOST_AUTO_TEST_CASE(work_is_predicted_where_no_data_centre_may_be_lost) {
  BOOST_TEST(!PredictsWork(""));
  BOOST_TEST(!PredictsWork("[scheduling]\n"));
  BOOST_TEST(!PredictsWork("[scheduling]\ntolerated_datacentre_losses =\n"));
  BOOST_TEST(!PredictsWork("[scheduling]\ntolerated_datacentre_losses = 1\n"));
  BOOST_TEST(PredictsWork("[scheduling]\ntolerated_datacentre_losses = 0\n"));
}

BOOST_AUTO_TEST_CASE(the_setting_goes_before_the_tolerated_losses) {
  BOOST_TEST(
      PredictsWork("[scheduling]\npredicted_work = yes\n"
                   "tolerated_datacentre_losses = 2\n"));
  BOOST_TEST(
      !PredictsWork("[scheduling]\npredicted_work = no\n"
                    "tolerated_datacentre_losses = 0\n"));
}

BOOST_AUTO_TEST_CASE(odd_values_are_errors) {
  BOOST_TEST(
      !Parse("[scheduling]\ntolerated_datacentre_losses = -1\n").has_value());
  BOOST_TEST(
      !Parse("[scheduling]\ntolerated_datacentre_losses = 0.5\n").has_value());
  BOOST_TEST(!Parse("[scheduling]\npredicted_work = maybe\n").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
