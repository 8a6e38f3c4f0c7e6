// Tests the versions of documents, and the key, drain and placement documents.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "bambooquay/core/configuration.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/core/drain_set.h"
#include "bambooquay/core/key_set.h"
#include "bambooquay/core/placement.h"

namespace bambooquay {
namespace {

BOOST_AUTO_TEST_SUITE(fleet_documents)

BOOST_AUTO_TEST_CASE(the_highest_version_is_kept) {
  rc::detail::checkBoostTest([] {
    DocumentSet documents;
    std::uint64_t highest = 0;
    const int steps = *rc::gen::inRange(1, 50);
    for (int i = 0; i < steps; ++i) {
      const auto version = *rc::gen::inRange<std::uint64_t>(1, 20);
      const bool adopted = documents.Adopt(
          {DocumentKind::kKeys, version, std::to_string(version)});
      RC_ASSERT(adopted == (version > highest));
      highest = std::max(highest, version);
      RC_ASSERT(documents.Find(DocumentKind::kKeys)->text ==
                std::to_string(highest));
    }
  });
}

BOOST_AUTO_TEST_CASE(keys_are_kept_as_digests_only) {
  KeySet keys;
  BOOST_TEST(keys.Add({DigestOfKey("secret-key"), OrganisationId("o"), "a"}));
  BOOST_TEST(!keys.Add({DigestOfKey("other"), OrganisationId("o"), "a"}));
  BOOST_TEST(keys.Serialize().find("secret-key") == std::string::npos);
  auto parsed = KeySet::Parse(keys.Serialize());
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->Find(DigestOfKey("secret-key")) != nullptr);
  BOOST_TEST(parsed->Find(DigestOfKey("secret-kez")) == nullptr);
  BOOST_TEST(parsed->Remove("a"));
  BOOST_TEST(parsed->Find(DigestOfKey("secret-key")) == nullptr);
}

BOOST_AUTO_TEST_CASE(malformed_documents_are_rejected) {
  for (const char* text : {"", "[]", "{\"keys\":[{\"digest\":\"x\"}]}"}) {
    BOOST_TEST(!KeySet::Parse(text).has_value());
  }
  BOOST_TEST(!DrainSet::Parse("{\"upstreams\":[1]}").has_value());
}

BOOST_AUTO_TEST_CASE(every_model_is_placed_within_memory) {
  rc::detail::checkBoostTest([] {
    std::string text =
        "[fleet]\nname = f\n[datacentre a]\nregion = r\n"
        "[datacentre b]\nregion = r\n";
    std::string models;
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      const std::string name = "m" + std::to_string(i);
      models += (models.empty() ? "" : ",") + name;
      text += "[model " + name +
              "]\nmemory_mib = " + std::to_string(*rc::gen::inRange(5, 20)) +
              "\n";
    }
    text += "[service s]\nmodels = " + models + "\n";
    for (int i = 0; i < 6; ++i) {
      text += "[upstream u" + std::to_string(i) +
              "]\nservice = s\nmemory_mib = 60\ndatacentre = " +
              (i % 2 == 0 ? "a" : "b") + "\n";
    }
    const auto parsed = ParseConfiguration(text, "t");
    const auto& configuration = std::get<Configuration>(parsed);
    std::set<ModelName> placed;
    for (const auto& [upstream, names] :
         ComputeStaticPlacement(configuration)) {
      MebiBytes used;
      for (const ModelName& name : names) {
        used += configuration.Find(name)->memory;
        placed.insert(name);
      }
      RC_ASSERT(used <= configuration.Find(upstream)->memory);
    }
    RC_ASSERT(placed.size() == configuration.models.size());
  });
}

// Upstreams become available and unavailable. Whatever the placement was
// before, after the repair every model that fits somewhere has an available
// replica, and a second repair changes nothing.
BOOST_AUTO_TEST_CASE(a_repaired_placement_makes_every_model_available) {
  rc::detail::checkBoostTest([] {
    const int models = *rc::gen::inRange(1, 9);
    constexpr int kUpstreams = 6;
    std::string text = "[fleet]\nname = f\n[datacentre a]\nregion = r\n";
    std::string list;
    for (int i = 0; i < models; ++i) {
      const std::string name = "m" + std::to_string(i);
      list += (list.empty() ? "" : ",") + name;
      text += "[model " + name + "]\nmemory_mib = 20\n";
    }
    text += "[service s]\nmodels = " + list + "\n";
    for (int i = 0; i < kUpstreams; ++i) {
      text += "[upstream u" + std::to_string(i) +
              "]\nservice = s\ndatacentre = a\nmemory_mib = 70\n";
    }
    const auto parsed = ParseConfiguration(text, "t");
    const auto& configuration = std::get<Configuration>(parsed);
    Placement placement = ComputeStaticPlacement(configuration);
    for (int round = 0; round < 6; ++round) {
      // Each upstream has memory for three models, so the three upstreams that
      // are always available can hold nine; there are at most eight.
      std::set<UpstreamId> available;
      for (int i = 0; i < kUpstreams; ++i) {
        if (i % 2 == round % 2 || *rc::gen::arbitrary<bool>()) {
          available.insert(UpstreamId("u" + std::to_string(i)));
        }
      }
      placement = RepairPlacement(configuration, placement, available);
      RC_ASSERT(RepairPlacement(configuration, placement, available) ==
                placement);
      std::set<ModelName> available_models;
      for (const auto& [upstream, names] : placement) {
        RC_ASSERT(names.size() <= 3U);
        if (available.contains(upstream)) {
          available_models.insert(names.begin(), names.end());
        }
      }
      RC_ASSERT(available_models.size() == static_cast<std::size_t>(models));
    }
    RC_ASSERT(ParsePlacement(SerializePlacement(placement)) == placement);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
