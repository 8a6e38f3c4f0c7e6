// The calls that a process accepts from other processes. NodeServer receives
// them over Cap'n Proto RPC.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bambooquay/core/allowance_messages.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/core/work.h"
#include "bambooquay/peers/node_messages.h"

namespace bambooquay {

/// Sends the response of one piece of work to the entry.
class WorkSink {
 public:
  WorkSink() = default;
  WorkSink(const WorkSink&) = delete;
  WorkSink& operator=(const WorkSink&) = delete;
  virtual ~WorkSink() = default;

  virtual void SendHead(int status, std::string_view content_type) = 0;
  virtual void SendPart(std::string_view bytes) = 0;
  /// Called last. Further calls of Finish() are ignored.
  virtual void Finish(const WorkResult& result) = 0;
  /// @returns the number of bytes sent that the entry has not consumed yet.
  [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;
  /// Sets a callback that is run whenever the entry has consumed some bytes.
  virtual void OnBytesConsumed(std::function<void()> callback) = 0;
};

/// Work started by NodeService::Execute. Destroying it cancels the work.
class WorkHandle {
 public:
  WorkHandle() = default;
  WorkHandle(const WorkHandle&) = delete;
  WorkHandle& operator=(const WorkHandle&) = delete;
  virtual ~WorkHandle() = default;
};

/// Implemented by entries and agents; see the interface Node in peer.capnp. By
/// default, Execute refuses the work, and the other optional calls do nothing.
class NodeService {
 public:
  NodeService() = default;
  NodeService(const NodeService&) = delete;
  NodeService& operator=(const NodeService&) = delete;
  virtual ~NodeService() = default;

  /// @param sender_versions  versions of the documents that the sender has.
  virtual ExchangeReply Exchange(const DocumentVersions& sender_versions) = 0;
  [[nodiscard]] virtual std::optional<Document> FetchDocument(
      DocumentKind kind) = 0;
  /// @param sender_versions  versions of the documents that the sender has. A
  ///   process with older ones fetches the newer documents before it accepts or
  ///   refuses the work.
  /// @returns a handle, or nullptr if the work was refused at once.
  virtual std::unique_ptr<WorkHandle> Execute(
      const Work& work, const DocumentVersions& sender_versions,
      const std::shared_ptr<WorkSink>& sink);
  virtual SettleReply Settle(const RequestId& id,
                             const IncarnationId& incarnation);
  virtual void Fence(std::uint64_t epoch);
  virtual AllowanceTransfer AskAllowance(const AllowanceAsk& ask);
};

}  // namespace bambooquay
