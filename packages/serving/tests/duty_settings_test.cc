// Tests of the settings of duties.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "bambooquay/serving/serving_settings.h"

namespace bambooquay {
namespace {

constexpr const char* kEntry =
    "[process]\nid = e1\ndatacentre = north\n[listen]\npeers = 10.0.0.1:7600\n"
    "admin = 10.0.0.1:7615\ncallers = 10.0.0.1:80\n"
    "readiness = 10.0.0.1:81\n[store]\naddress = 10.0.0.9:8225\n";

std::variant<ServingSettings, std::vector<IniError>> Parse(
    const std::string& duties, ServingRole role = ServingRole::kEntry) {
  return ParseServingSettings(kEntry + duties, "entry.ini", role);
}

/// @returns the first error as text; empty if there is none.
std::string ErrorOf(const std::string& duties,
                    ServingRole role = ServingRole::kEntry) {
  const auto parsed = Parse(duties, role);
  const auto* errors = std::get_if<std::vector<IniError>>(&parsed);
  return errors == nullptr || errors->empty() ? "" : errors->front().ToString();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(serving_settings)

BOOST_AUTO_TEST_CASE(without_the_section_there_are_no_duties) {
  const auto parsed = Parse("");
  BOOST_REQUIRE(std::holds_alternative<ServingSettings>(parsed));
  BOOST_TEST(!std::get<ServingSettings>(parsed).duties.has_value());
}

BOOST_AUTO_TEST_CASE(the_duties_of_the_platform_are_read) {
  const auto parsed = Parse(
      "[duties]\naddress = 10.0.0.8:8781\nnames = usage_report,other\n\n"
      "calls_per_second = 50.0\nlease_milliseconds = 3500\n"
      "usage_window_seconds = 4\nusage_lateness_seconds = 9\n");
  BOOST_REQUIRE(std::holds_alternative<ServingSettings>(parsed));
  const DutySettings& duties = *std::get<ServingSettings>(parsed).duties;
  BOOST_TEST(duties.platform.ToString() == "10.0.0.8:8781");
  BOOST_TEST(duties.reports_usage);
  BOOST_TEST(!duties.orders_servers);
  BOOST_TEST(duties.unknown_names.size() == 1U);
  BOOST_TEST(duties.call_limit.value == 50.0);
  BOOST_TEST((duties.lease_time == std::chrono::milliseconds(3500)));
  BOOST_TEST((duties.usage_window == std::chrono::seconds(4)));
  BOOST_TEST((duties.usage_lateness == std::chrono::seconds(9)));
}

BOOST_AUTO_TEST_CASE(duties_that_are_not_known_start_nothing) {
  const auto parsed =
      Parse("[duties]\naddress = 10.0.0.8:8781\nnames = other\n");
  BOOST_REQUIRE(std::holds_alternative<ServingSettings>(parsed));
  BOOST_TEST(!std::get<ServingSettings>(parsed).duties->has_duty());
}

BOOST_AUTO_TEST_CASE(errors_in_the_duties_have_their_position) {
  const std::string start = "[duties]\naddress = 10.0.0.8:8781\n";
  BOOST_TEST(ErrorOf("[duties]\nnames = usage_report\n")
                 .starts_with("entry.ini:11: [duties] address"));
  BOOST_TEST(ErrorOf(start + "calls_per_second = 0\n")
                 .starts_with("entry.ini:13: [duties] calls_per_second"));
  BOOST_TEST(ErrorOf(start + "lease_milliseconds = 100\n")
                 .starts_with("entry.ini:13: [duties] lease_milliseconds"));
  BOOST_TEST(ErrorOf(start + "usage_window_seconds = x\n")
                 .starts_with("entry.ini:13: [duties] usage_window_seconds"));
  BOOST_TEST(ErrorOf(start + "usage_lateness_seconds = -1\n")
                 .starts_with("entry.ini:13: [duties] usage_lateness_seconds"));
  BOOST_TEST(ErrorOf(start + "windows = 1\n")
                 .starts_with("entry.ini:13: [duties] windows"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
