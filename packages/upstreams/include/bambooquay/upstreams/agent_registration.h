// Registers an agent in the platform's table.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "bambooquay/core/documents.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/platform/document_repository.h"
#include "bambooquay/platform/table_service.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// Writes the agent's row and then reads the allowance document. The order
/// matters: a process that starts a new epoch writes the epoch first and then
/// reads the rows, so either it finds this agent or this agent finds the epoch.
/// Each agent process of an upstream increments the version of the upstream's
/// row; the version that the process wrote is its fencing token.
class AgentRegistration {
 public:
  AgentRegistration(EventLoop& loop, TableService& table,
                    DocumentRepository& repository, DocumentSet& documents);

  /// Registers the agent, retrying until it succeeds, then calls `done` with
  /// the fencing token.
  /// @param peer  the agent's address, which becomes the body of the row.
  void Start(const UpstreamId& upstream, const Endpoint& peer,
             std::function<void(std::uint64_t)> done);

 private:
  void ReadRow();
  void WriteRow(std::uint64_t version);
  void ReadEpoch(std::uint64_t version);
  void ScheduleRetry();

  EventLoop& m_loop;
  TableService& m_table;
  DocumentRepository& m_repository;
  DocumentSet& m_documents;
  UpstreamId m_upstream;
  Endpoint m_peer;
  std::function<void(std::uint64_t)> m_on_registered;
  std::unique_ptr<Timer> m_retry_timer;
};

}  // namespace bambooquay
