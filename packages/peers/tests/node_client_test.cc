// When a process takes another one for lost.
#include "bambooquay/peers/node_client.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

#include "bambooquay/peers/node_service.h"
#include "bambooquay/peers/peer_runtime.h"
#include "bambooquay/runtime/event_loop.h"
#include "support/free_port.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTestTimeout = std::chrono::seconds(10);
// Period of the heartbeats.
constexpr Duration kHeartbeatPeriod = milliseconds(400);
// Longer than the time after which a peer without a reply is lost.
constexpr Duration kPause = milliseconds(2000);

/// Takes work, and never finishes it.
class IdleService final : public NodeService {
 public:
  ExchangeReply Exchange(const DocumentVersions& /*sender*/) override {
    return {};
  }
  [[nodiscard]] std::optional<Document> FetchDocument(
      DocumentKind /*kind*/) override {
    return std::nullopt;
  }
  std::unique_ptr<WorkHandle> Execute(
      const Work& /*work*/, const DocumentVersions& /*sender*/,
      const std::shared_ptr<WorkSink>& sink) override {
    return std::make_unique<Handle>(*this, sink);
  }
  [[nodiscard]] bool has_work() const { return m_work_count > 0; }

 private:
  class Handle final : public WorkHandle {
   public:
    Handle(IdleService& service, std::shared_ptr<WorkSink> sink)
        : m_service(service), m_sink(std::move(sink)) {
      ++m_service.m_work_count;
    }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;
    ~Handle() override { --m_service.m_work_count; }

   private:
    IdleService& m_service;
    std::shared_ptr<WorkSink> m_sink;
  };

  int m_work_count = 0;
};

/// A peer with an event loop of its own.
class Peer {
 public:
  Peer() {
    m_thread = std::thread([this] { Run(); });
    while (!m_is_listening) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;
  ~Peer() {
    m_is_frozen = false;
    m_has_ended = true;
    m_thread.join();
  }

  void Freeze() { m_is_frozen = true; }

  const Endpoint endpoint{"127.0.0.1", testing::FreePort()};

 private:
  void Run() {
    EventLoop loop;
    PeerRuntime runtime(loop);
    IdleService service;
    NodeServer server(runtime, service);
    m_is_listening = server.Listen(endpoint);
    const auto freezer = loop.Every(milliseconds(5), [this] {
      while (m_is_frozen) {
        std::this_thread::sleep_for(milliseconds(5));
      }
    });
    while (!m_has_ended) {
      loop.RunUntil([this] { return m_has_ended.load(); }, kTestTimeout);
    }
    // The connection closes.
    loop.RunUntil([&] { return !service.has_work(); }, kTestTimeout);
  }

  std::atomic<bool> m_is_listening = false;
  std::atomic<bool> m_is_frozen = false;
  std::atomic<bool> m_has_ended = false;
  std::thread m_thread;
};

class IgnoringObserver final : public WorkObserver {
 public:
  void OnHead(int /*status*/, std::string_view /*content_type*/) override {}
  void OnPart(std::string_view /*bytes*/,
              std::function<void()> on_consumed) override {
    on_consumed();
  }
  void OnResult(const RpcResult<WorkResult>& /*result*/) override {}
};

/// A connection on which work is in progress.
struct BusyConnection {
  Peer peer;
  EventLoop loop;
  PeerRuntime runtime{loop};
  std::unique_ptr<NodeClient> client = ConnectNode(runtime, peer.endpoint);
  IgnoringObserver observer;
  std::unique_ptr<RpcCall> work = client->Execute({}, {}, observer);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(node_client)

BOOST_AUTO_TEST_CASE(work_is_not_given_up_because_this_process_stood_still) {
  BusyConnection test;
  test.loop.RunUntil([] { return false; }, 2 * kHeartbeatPeriod);
  BOOST_REQUIRE(!test.client->failed());
  // The next heartbeat is due in the same turn of the loop.
  const auto first = test.loop.After(Duration::zero(), [] {
    std::this_thread::sleep_for(kHeartbeatPeriod + milliseconds(10));
  });
  const auto second = test.loop.After(
      milliseconds(5), [] { std::this_thread::sleep_for(kPause); });
  test.loop.RunUntil([] { return false; }, 4 * kHeartbeatPeriod + kPause);
  BOOST_TEST(!test.client->failed());
}

BOOST_AUTO_TEST_CASE(work_at_a_peer_that_stands_still_is_given_up) {
  BusyConnection test;
  test.loop.RunUntil([] { return false; }, 2 * kHeartbeatPeriod);
  BOOST_REQUIRE(!test.client->failed());
  test.peer.Freeze();
  BOOST_TEST(
      test.loop.RunUntil([&] { return test.client->failed(); }, kTestTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
