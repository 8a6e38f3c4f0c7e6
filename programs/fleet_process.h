// The parts that entry and agent processes share.
#pragma once

#include <opentracing/tracer.h>

#include <functional>
#include <memory>

#include "bambooquay/core/documents.h"
#include "bambooquay/core/random.h"
#include "bambooquay/operators/process_settings.h"
#include "bambooquay/peers/document_sync.h"
#include "bambooquay/peers/membership.h"
#include "bambooquay/peers/node_pool.h"
#include "bambooquay/peers/peer_runtime.h"
#include "bambooquay/platform/document_repository.h"
#include "bambooquay/platform/platform_client.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/metrics.h"

namespace bambooquay {

/// The event loop, the clients of the platform's services, the connections to
/// other processes, and the documents. Members are declared in the order of
/// construction: a member may use those before it.
struct FleetProcess {
  explicit FleetProcess(const ProcessSettings& process_settings);
  FleetProcess(const FleetProcess&) = delete;
  FleetProcess& operator=(const FleetProcess&) = delete;
  ~FleetProcess();

  /// Calls `drain` on the first SIGTERM or SIGINT, and stops the loop at the
  /// latest when the drain limit of the settings has passed.
  void DrainOnSignal(std::function<void()> drain);
  /// Stops the loop after `delay`, which leaves time to send the last bytes.
  void StopAfter(Duration delay);

  ProcessSettings settings;
  EventLoop loop;
  PeerRuntime runtime;
  SystemRandom random;
  Metrics metrics;
  DocumentSet documents;
  std::unique_ptr<TableService> table;
  std::unique_ptr<ObjectStore> objects;
  std::unique_ptr<InstanceList> instances;
  DocumentRepository repository;
  NodePool pool;
  Membership membership;
  DocumentSync sync;
  std::shared_ptr<opentracing::Tracer> tracer;
  std::unique_ptr<Timer> drain_limit_timer;
  std::unique_ptr<Timer> stop_timer;
};

}  // namespace bambooquay
