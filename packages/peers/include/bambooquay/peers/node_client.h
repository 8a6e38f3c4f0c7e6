// Client of the RPC protocol between the processes of the system.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "bambooquay/core/allowance_messages.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/core/work.h"
#include "bambooquay/peers/node_messages.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

class PeerRuntime;

/// A call in progress. Destroying it cancels the call.
class RpcCall {
 public:
  RpcCall() = default;
  RpcCall(const RpcCall&) = delete;
  RpcCall& operator=(const RpcCall&) = delete;
  virtual ~RpcCall() = default;
};

/// Receives the response of work that was sent to an agent.
class WorkObserver {
 public:
  WorkObserver() = default;
  WorkObserver(const WorkObserver&) = delete;
  WorkObserver& operator=(const WorkObserver&) = delete;
  virtual ~WorkObserver() = default;

  virtual void OnHead(int status, std::string_view content_type) = 0;
  /// @param on_consumed  to be run once the bytes have been sent to the caller.
  ///   While too many bytes are outstanding, the agent stops reading from the
  ///   upstream.
  virtual void OnPart(std::string_view bytes,
                      std::function<void()> on_consumed) = 0;
  /// Called once, as the last call for this work.
  virtual void OnResult(const RpcResult<WorkResult>& result) = 0;
};

/// A connection to another process. It sends heartbeats while calls are
/// outstanding. If the peer does not reply to them, the connection is closed
/// and every call on it fails.
class NodeClient {
 public:
  NodeClient() = default;
  NodeClient(const NodeClient&) = delete;
  NodeClient& operator=(const NodeClient&) = delete;
  virtual ~NodeClient() = default;

  /// @returns whether the connection has failed. It is not opened again.
  [[nodiscard]] virtual bool failed() const noexcept = 0;
  /// @returns whether no call is outstanding.
  [[nodiscard]] virtual bool idle() const noexcept = 0;

  // The methods below make the calls of the interface Node in peer.capnp.
  // `sender_versions` are the versions of the documents that this process has.
  // `done` is run from the event loop, but not after the call was destroyed.

  [[nodiscard]] virtual std::unique_ptr<RpcCall> Exchange(
      const DocumentVersions& sender_versions,
      std::function<void(RpcResult<ExchangeReply>)> done) = 0;
  [[nodiscard]] virtual std::unique_ptr<RpcCall> FetchDocument(
      DocumentKind kind, std::function<void(RpcResult<Document>)> done) = 0;
  /// `observer` must outlive the returned call.
  [[nodiscard]] virtual std::unique_ptr<RpcCall> Execute(
      const Work& work, const DocumentVersions& sender_versions,
      WorkObserver& observer) = 0;
  [[nodiscard]] virtual std::unique_ptr<RpcCall> Settle(
      const RequestId& id, const IncarnationId& incarnation,
      std::function<void(RpcResult<SettleReply>)> done) = 0;
  [[nodiscard]] virtual std::unique_ptr<RpcCall> Fence(
      std::uint64_t epoch, std::function<void(RpcResult<bool>)> done) = 0;
  [[nodiscard]] virtual std::unique_ptr<RpcCall> AskAllowance(
      const AllowanceAsk& ask,
      std::function<void(RpcResult<AllowanceTransfer>)> done) = 0;
};

/// Opens a connection. Calls that are made before it is established are sent
/// afterwards.
[[nodiscard]] std::unique_ptr<NodeClient> ConnectNode(PeerRuntime& runtime,
                                                      const Endpoint& endpoint);

}  // namespace bambooquay
