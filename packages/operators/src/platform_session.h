// Blocking access to the platform's services, for commands.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/core/documents.h"
#include "bambooquay/platform/document_repository.h"
#include "bambooquay/platform/platform_client.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"

namespace bambooquay {

/// Sends one request at a time and runs the event loop until the response
/// arrives or the request times out.
class PlatformSession {
 public:
  explicit PlatformSession(const PlatformEndpoints& endpoints);

  /// Loads a document; retries a few times while the platform is unavailable.
  [[nodiscard]] LoadResult Load(DocumentKind kind);
  [[nodiscard]] PublishResult Publish(const Document& document);
  [[nodiscard]] InstanceListResult FetchInstances();
  /// @returns the state of the process with this admin address as JSON, or ""
  ///   if there is no response.
  [[nodiscard]] std::string FetchStatus(const Endpoint& admin);

 private:
  [[nodiscard]] LoadResult LoadOnce(DocumentKind kind);

  EventLoop m_loop;
  std::unique_ptr<TableService> m_table;
  std::unique_ptr<ObjectStore> m_objects;
  std::unique_ptr<InstanceList> m_instances;
  DocumentRepository m_repository;
};

}  // namespace bambooquay
