// Pool of connections to other processes.
#include "bambooquay/peers/node_pool.h"

#include <utility>

#include "bambooquay/peers/peer_runtime.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {
namespace {

constexpr Duration kSweepPeriod = std::chrono::seconds(1);
constexpr Duration kMaxIdleTime = std::chrono::seconds(30);

}  // namespace

NodePool::NodePool(PeerRuntime& runtime)
    : m_runtime(runtime),
      m_sweep_timer(runtime.loop().Every(kSweepPeriod, [this] { Sweep(); })) {}

NodePool::~NodePool() = default;

NodeClient& NodePool::Get(const Endpoint& endpoint) {
  PooledClient& pooled = m_clients[endpoint];
  if (pooled.client != nullptr && pooled.client->failed()) {
    m_failed_clients.push_back(std::move(pooled.client));
  }
  if (pooled.client == nullptr) {
    pooled.client = ConnectNode(m_runtime, endpoint);
  }
  pooled.last_used_at = m_runtime.loop().clock().Now();
  return *pooled.client;
}

void NodePool::Sweep() {
  const TimePoint now = m_runtime.loop().clock().Now();
  std::erase_if(m_failed_clients,
                [](const auto& client) { return client->idle(); });
  std::erase_if(m_clients, [&](const auto& item) {
    const PooledClient& pooled = item.second;
    return pooled.client == nullptr ||
           (pooled.client->idle() &&
            (pooled.client->failed() ||
             now - pooled.last_used_at > kMaxIdleTime));
  });
}

}  // namespace bambooquay
