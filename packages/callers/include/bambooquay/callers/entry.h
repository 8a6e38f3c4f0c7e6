// The entry: authenticates callers, reserves tokens of the organisation's
// allowance, selects an upstream and relays its complete response.
#pragma once

#include <opentracing/tracer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "bambooquay/callers/allowance_coordinator.h"
#include "bambooquay/callers/dispatch.h"
#include "bambooquay/callers/placement_controller.h"
#include "bambooquay/callers/upstream_directory.h"
#include "bambooquay/core/configuration.h"
#include "bambooquay/core/key_set.h"
#include "bambooquay/core/upstream_selector.h"
#include "bambooquay/peers/document_sync.h"
#include "bambooquay/peers/node_service.h"
#include "bambooquay/runtime/http_server.h"
#include "bambooquay/runtime/metrics.h"

namespace bambooquay {

class CallerRequest;

/// Dependencies of an entry; all must outlive it.
struct EntryContext {
  EventLoop& loop;
  DocumentSet& documents;
  DocumentSync& sync;
  Membership& membership;
  NodePool& pool;
  DocumentRepository& repository;
  TableService& table;
  Metrics& metrics;
  RandomSource& random;
  const opentracing::Tracer& tracer;
};

/// Identifies an entry process.
struct EntryIdentity {
  InstanceId instance;
  IncarnationId incarnation;
  DataCentreId data_centre;
};

/// Serves callers' requests and RPC calls from other processes.
class Entry final : public NodeService {
 public:
  Entry(const EntryIdentity& identity, const EntryContext& context);
  ~Entry() override;

  /// Handles one caller's HTTP request.
  void HandleRequest(std::shared_ptr<HttpExchange> exchange);

  ExchangeReply Exchange(const DocumentVersions& sender_versions) override;
  std::optional<Document> FetchDocument(DocumentKind kind) override;
  AllowanceTransfer AskAllowance(const AllowanceAsk& ask) override;

  /// Makes the entry not ready, so that new requests are refused.
  /// @param on_drained  called once no request is in progress.
  void Drain(std::function<void()> on_drained);
  /// @returns why requests are refused, or "" if the entry is ready.
  [[nodiscard]] std::string NotReadyReason() const;
  /// @returns the entry's state as JSON, for operators.
  [[nodiscard]] std::string StatusJson();

 private:
  friend class CallerRequest;

  void HandleDocument(const Document& document);
  void CancelRequestsWithWithdrawnKeys();
  /// Removes a finished request.
  void RemoveRequest(std::uint64_t id);

  EntryIdentity m_identity;
  EntryContext m_context;
  std::optional<Configuration> m_configuration;
  std::optional<KeySet> m_keys;
  UpstreamDirectory m_directory;
  UpstreamSelector m_selector;
  AllowanceCoordinator m_allowance_coordinator;
  PlacementController m_placement_controller;
  std::unordered_map<UpstreamId, IncarnationId> m_incarnations;
  std::uint64_t m_next_request_id = 0;
  std::map<std::uint64_t, std::shared_ptr<CallerRequest>> m_requests;
  bool m_is_draining = false;
  std::function<void()> m_on_drained;
};

}  // namespace bambooquay
