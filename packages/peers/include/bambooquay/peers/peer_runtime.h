// Runs Cap'n Proto's event loop (kj) within the process's libevent loop.
#pragma once

#include <memory>

#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

class NodeService;

/// One per process. All RPC clients and servers of the process need it.
class PeerRuntime {
 public:
  explicit PeerRuntime(EventLoop& loop);
  PeerRuntime(const PeerRuntime&) = delete;
  PeerRuntime& operator=(const PeerRuntime&) = delete;
  ~PeerRuntime();

  [[nodiscard]] EventLoop& loop() noexcept { return m_loop; }

 private:
  class Impl;

  EventLoop& m_loop;
  std::unique_ptr<Impl> m_impl;
};

/// Accepts connections at one address and serves a NodeService on them.
class NodeServer {
 public:
  NodeServer(PeerRuntime& runtime, NodeService& service);
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;
  ~NodeServer();

  /// @returns false if the address is invalid or cannot be bound.
  [[nodiscard]] bool Listen(const Endpoint& endpoint);

 private:
  class Impl;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace bambooquay
