// Pool of connections to other processes. They are opened on demand and closed
// when idle, so that their number depends on the traffic and not on the size of
// the fleet.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/peers/node_client.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

class PeerRuntime;
class Timer;

/// Has at most one usable connection per address. A failed connection is
/// replaced when the address is next used, and destroyed once no calls are left
/// on it.
class NodePool {
 public:
  explicit NodePool(PeerRuntime& runtime);
  NodePool(const NodePool&) = delete;
  NodePool& operator=(const NodePool&) = delete;
  ~NodePool();

  /// @returns a connection that has not failed. Calls made on it have to be
  ///   destroyed before the pool.
  [[nodiscard]] NodeClient& Get(const Endpoint& endpoint);
  [[nodiscard]] std::size_t size() const noexcept { return m_clients.size(); }

 private:
  struct PooledClient {
    std::unique_ptr<NodeClient> client;
    TimePoint last_used_at;
  };

  /// Destroys connections that were not used for a while, and failed ones on
  /// which no calls are left.
  void Sweep();

  PeerRuntime& m_runtime;
  std::map<Endpoint, PooledClient> m_clients;
  /// Failed connections on which calls are left.
  std::vector<std::unique_ptr<NodeClient>> m_failed_clients;
  std::unique_ptr<Timer> m_sweep_timer;
};

}  // namespace bambooquay
