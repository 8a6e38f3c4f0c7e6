// Tests the guarantees for the whole fleet: planned stops, disabled data
// centres, drained upstreams, configuration changes and model placement, also
// during outages and races.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>

#include "deployment.h"

namespace bambooquay::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kSlowTokens = {"--token-ms", "20"};

BOOST_AUTO_TEST_SUITE(fleet_promises)

BOOST_AUTO_TEST_CASE(planned_stop_of_an_entry_interrupts_no_request) {
  Deployment fleet({.entries = 2,
                    .engines = 2,
                    .plain_services = 1,
                    .engine_options = kSlowTokens,
                    .expected_pace_ms = "20"});
  const auto stream = fleet.StartCompletion(0, "stop", 100, true);
  const auto non_streaming = fleet.StartCompletion(0, "stop2", 100, false);
  BOOST_REQUIRE(
      fleet.WaitUntil([&] { return !stream->response().body.empty(); }));
  fleet.Signal("entry-0", SIGTERM);
  BOOST_TEST(fleet.WaitForExit("entry-0", seconds(30)) == 0);
  BOOST_REQUIRE(fleet.WaitUntil(
      [&] { return stream->ended() && non_streaming->ended(); }, seconds(5)));
  BOOST_TEST(stream->response().complete);
  BOOST_TEST(stream->response().body.ends_with("data: [DONE]\n\n"));
  BOOST_TEST(non_streaming->response().status == 200);
}

BOOST_AUTO_TEST_CASE(planned_stop_of_an_agent_interrupts_no_request) {
  Deployment fleet({.entries = 1,
                    .engines = 2,
                    .plain_services = 1,
                    .engine_options = kSlowTokens,
                    .expected_pace_ms = "20"});
  std::vector<std::shared_ptr<PendingResponse>> pending;
  for (int i = 0; i < 12; ++i) {
    pending.push_back(
        fleet.StartCompletion(0, "a" + std::to_string(i), 40, i % 2 == 0));
  }
  fleet.RunFor(milliseconds(300));
  fleet.Signal("agent-0", SIGTERM);
  BOOST_TEST(fleet.WaitForExit("agent-0", seconds(30)) == 0);
  BOOST_REQUIRE(fleet.WaitUntil([&] {
    return std::ranges::all_of(pending,
                               [](const auto& call) { return call->ended(); });
  }));
  for (const auto& call : pending) {
    BOOST_TEST(call->response().complete);
    BOOST_TEST(call->response().status == 200);
  }
}

BOOST_AUTO_TEST_CASE(disabled_data_centre_gets_no_new_requests) {
  Deployment fleet({.entries = 3, .engines = 3, .plain_services = 1});
  BOOST_TEST(fleet.RunCommand({"datacentre", "out", "nowhere"}) == 65);
  BOOST_TEST(fleet.RunCommand({"datacentre", "out", "north"}) == 0);
  fleet.RunFor(seconds(3));
  const Json before = fleet.GetUpstreamState(0);
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST(fleet.SendCompletion(i % 3, "out", 2, false).status == 200);
  }
  BOOST_TEST(fleet.GetUpstreamState(0)["requests"] == before["requests"]);
  BOOST_TEST(fleet.RunCommand({"datacentre", "in", "north"}) == 0);
  BOOST_TEST(fleet.WaitUntil([&] {
    fleet.SendCompletion(0, "in", 2, false);
    return fleet.GetUpstreamState(0)["requests"] > before["requests"];
  }));
}

BOOST_AUTO_TEST_CASE(drained_or_leaving_upstream_gets_no_new_requests) {
  Deployment fleet({.entries = 2, .engines = 3, .plain_services = 1});
  BOOST_TEST(fleet.RunCommand({"upstream", "drain", "engine-0"}) == 0);
  fleet.MarkInstanceLeaving(1);
  fleet.RunFor(seconds(3));
  const Json drained = fleet.GetUpstreamState(0);
  const Json leaving = fleet.GetUpstreamState(1);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(fleet.SendCompletion(i % 2, "leave", 2, false).status == 200);
  }
  BOOST_TEST(fleet.GetUpstreamState(0)["requests"] == drained["requests"]);
  BOOST_TEST(fleet.GetUpstreamState(1)["requests"] == leaving["requests"]);
  BOOST_TEST(fleet.GetUpstreamState(2)["requests"].get<int>() >= 20);
}

BOOST_AUTO_TEST_CASE(accepted_configuration_reaches_every_process) {
  Deployment fleet({.entries = 3, .engines = 2, .plain_services = 1});
  const std::vector<std::string> processes = {"entry-0", "entry-1", "entry-2",
                                              "agent-0", "agent-1", "agent-2"};
  const auto is_applied_everywhere = [&](const std::string& document,
                                         int version) {
    fleet.RunFor(milliseconds(50));
    return std::ranges::all_of(processes, [&](const std::string& name) {
      const Json status = fleet.GetStatus(name);
      return status.is_object() && status.value(document, 0) == version;
    });
  };
  // Two operators change the same version: the second gets a conflict.
  BOOST_TEST(fleet.ApplyConfiguration(fleet.DefaultConfiguration(),
                                      {"--expect", "1"}) == 0);
  BOOST_TEST(fleet.ApplyConfiguration(fleet.DefaultConfiguration(),
                                      {"--expect", "1"}) == 75);
  BOOST_TEST(fleet.ApplyConfiguration("[fleet]\n") == 65);
  BOOST_TEST(fleet.WaitUntil(
      [&] { return is_applied_everywhere("configuration", 2); }, seconds(5)));
  // The configuration is accepted although the store's responses to the write
  // are lost, and it spreads although the store fails right after.
  fleet.SetPlatformFaults({{"lose_answers", 2}});
  BOOST_TEST(fleet.ApplyConfiguration(fleet.DefaultConfiguration()) == 0);
  BOOST_REQUIRE(fleet.WaitUntil([&] {
    fleet.RunFor(milliseconds(50));
    return std::ranges::any_of(processes, [&](const std::string& name) {
      return fleet.GetStatus(name).value("configuration", 0) == 3;
    });
  }));
  fleet.SetPlatformFaults({{"outage", true}});
  BOOST_TEST(fleet.WaitUntil(
      [&] { return is_applied_everywhere("configuration", 3); }, seconds(5)));
  // Without the store no configuration is accepted, and no process falls back
  // to an older one.
  BOOST_TEST(fleet.ApplyConfiguration(fleet.DefaultConfiguration()) == 69);
  fleet.RunFor(seconds(2));
  BOOST_TEST(is_applied_everywhere("configuration", 3));
}

// A process that was frozen gets the newest documents from its peers while the
// store is unavailable.
BOOST_AUTO_TEST_CASE(resumed_process_catches_up_from_its_peers) {
  Deployment fleet({.entries = 2, .engines = 1, .plain_services = 1});
  fleet.Signal("agent-0", SIGSTOP);
  BOOST_TEST(fleet.RunCommand({"key", "give", "owners", "late"}) == 0);
  BOOST_REQUIRE(fleet.WaitUntil([&] {
    fleet.RunFor(milliseconds(50));
    return fleet.GetStatus("entry-0").value("keys", 0) == 2;
  }));
  fleet.SetPlatformFaults({{"outage", true}});
  fleet.Signal("agent-0", SIGCONT);
  BOOST_TEST(fleet.WaitUntil(
      [&] {
        fleet.RunFor(milliseconds(50));
        const Json status = fleet.GetStatus("agent-0");
        return status.is_object() && status.value("keys", 0) == 2;
      },
      seconds(5)));
}

BOOST_AUTO_TEST_CASE(memory_is_never_overcommitted_while_plans_change) {
  Deployment fleet({.entries = 1, .engines = 3, .plain_services = 1});
  const std::string text = fleet.DefaultConfiguration();
  // With a third model, each engine has memory for two of the three.
  std::string with_third_model = text;
  with_third_model.replace(with_third_model.find("models = tide, reef"), 19,
                           "models = tide, reef, kelp");
  with_third_model += "[model kelp]\nmemory_mib = 50\n";
  fleet.SetUpstreamFaults(0, {{"order_delay_ms", 900}});
  fleet.SetUpstreamFaults(1, {{"order_delay_ms", 1500}});
  for (const std::string& next :
       {with_third_model, text, with_third_model, text, with_third_model}) {
    BOOST_TEST(fleet.ApplyConfiguration(next) == 0);
    fleet.RunFor(milliseconds(700));
    fleet.Signal("agent-1", SIGKILL);
    fleet.StartAgent(1);
  }
  BOOST_TEST(fleet.WaitUntil(
      [&] {
        const ReceivedResponse response = fleet.SendRequest(
            0, "POST", "/v1/completions",
            R"({"model":"kelp","max_tokens":1,"prompt":"x"})");
        fleet.RunFor(milliseconds(200));
        return response.status == 200;
      },
      seconds(40)));
  for (const int engine : {0, 1, 2}) {
    BOOST_TEST(!fleet.GetUpstreamState(engine)["overcommitted"].get<bool>());
  }
}

// Four models on three engines with memory for two models each, so that the
// loss of an engine can remove the last replica of a model.
BOOST_AUTO_TEST_CASE(model_is_served_again_after_its_last_replica_is_lost) {
  Deployment fleet({.entries = 2, .engines = 3, .plain_services = 1});
  std::string text = fleet.DefaultConfiguration();
  text.replace(text.find("models = tide, reef"), 19,
               "models = tide, reef, kelp, sand");
  text += "[model kelp]\nmemory_mib = 40\n[model sand]\nmemory_mib = 40\n";
  BOOST_TEST(fleet.ApplyConfiguration(text) == 0);
  const auto is_served = [&](const std::string& model) {
    return fleet
               .SendRequest(
                   0, "POST", "/v1/completions",
                   Json{{"model", model}, {"max_tokens", 1}, {"prompt", "x"}}
                       .dump())
               .status == 200;
  };
  const auto all_served = [&] {
    return std::ranges::all_of(
        std::vector<std::string>{"tide", "reef", "kelp", "sand"}, is_served);
  };
  BOOST_REQUIRE(fleet.WaitUntil(all_served));
  fleet.Signal("engine-1", SIGKILL);
  BOOST_TEST(fleet.WaitUntil(all_served, seconds(40)));
  fleet.Signal("agent-2", SIGKILL);
  fleet.StartAgent(2);
  fleet.StartUpstream(1, {});
  BOOST_TEST(fleet.WaitUntil(all_served, seconds(60)));
  for (const int engine : {0, 1, 2}) {
    BOOST_TEST(!fleet.GetUpstreamState(engine)["overcommitted"].get<bool>());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay::testing
