// Tests which configuration files are accepted and how errors are reported.
#include "bambooquay/core/configuration.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace bambooquay {
namespace {

constexpr const char* kValid = R"([fleet]
name = test
[datacentre north]
region = r
[organisation clerks]
rate = 100
burst = 500
weight = 2
[model small]
memory_mib = 10
adapters = small-a,
           small-b
[service names]
models = small
[upstream one]
service = names
datacentre = north
memory_mib = 20
)";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string FirstError(const std::string& text) {
  const auto parsed = ParseConfiguration(text, "t.ini");
  const auto* errors = std::get_if<ConfigurationErrors>(&parsed);
  return errors == nullptr ? "" : errors->front().ToString();
}

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(reads_every_section) {
  const auto parsed = ParseConfiguration(kValid, "t.ini");
  const auto& configuration = std::get<Configuration>(parsed);
  BOOST_TEST(configuration.organisations.at(0).burst.count == 500);
  BOOST_TEST(configuration.models.at(0).adapters.size() == 2U);
  BOOST_TEST(configuration.Resolve("small-b")->name.value() == "small");
  BOOST_TEST(configuration.Resolve("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(reports_file_line_section_and_key) {
  BOOST_TEST(FirstError(Replace(kValid, "rate = 100", "rate = fast")) ==
             "t.ini:6: [organisation clerks] rate: expected a number, found "
             "'fast'");
  BOOST_TEST(FirstError(Replace(kValid, "rate = 100", "rote = 100")) ==
             "t.ini:5: [organisation clerks] rate: a number is required");
  BOOST_TEST(FirstError(Replace(kValid, "weight = 2", "weight")) ==
             "t.ini:8: [organisation clerks]: expected '[section]' or 'key = "
             "value'");
}

BOOST_AUTO_TEST_CASE(reports_all_errors_at_once) {
  const auto parsed =
      ParseConfiguration(Replace(Replace(kValid, "rate = 100", "rate = -1"),
                                 "region = r", "regoin = r"),
                         "t.ini");
  const auto& errors = std::get<ConfigurationErrors>(parsed);
  BOOST_TEST(errors.size() == 3U);
  BOOST_TEST(std::ranges::is_sorted(errors, {}, &IniError::line));
}

BOOST_AUTO_TEST_CASE(rejects_dangling_references) {
  BOOST_TEST(FirstError(Replace(kValid, "models = small",
                                "models = small\ndepends_on = ledger")) ==
             "t.ini:15: [service names] depends_on: no service 'ledger' is "
             "listed");
  BOOST_TEST(
      FirstError(Replace(kValid, "datacentre = north", "datacentre = south")) ==
      "t.ini:17: [upstream one] datacentre: no datacentre 'south' is "
      "listed");
}

BOOST_AUTO_TEST_CASE(rejects_a_model_too_large_for_every_upstream) {
  BOOST_TEST(FirstError(Replace(kValid, "memory_mib = 10", "memory_mib = 30"))
                 .starts_with("t.ini:10: [model small] memory_mib: the model "
                              "fits on no upstream"));
}

BOOST_AUTO_TEST_CASE(rejects_repeated_sections_keys_and_overlong_lines) {
  BOOST_TEST(FirstError(std::string(kValid) + "[model small]\n") ==
             "t.ini:19: [model small]: the section is given twice");
  BOOST_TEST(FirstError(Replace(kValid, "rate = 100", "rate = 1\nrate = 2")) ==
             "t.ini:7: [organisation clerks] rate: the key is given twice");
  BOOST_TEST(FirstError(Replace(kValid, "name = test",
                                "name = " + std::string(300, 'x')))
                 .starts_with("t.ini:2: [fleet]: the line is longer than"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
