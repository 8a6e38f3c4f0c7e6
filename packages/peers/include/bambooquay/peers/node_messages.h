// Replies of the RPC protocol between processes, independent of Cap'n Proto.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "bambooquay/core/documents.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/work.h"

namespace bambooquay {

/// A call failed: the request could not be sent, or no reply was received.
struct RpcFailure {
  std::string description;
  /// Whether the request was certainly not sent, so that it had no effect.
  bool never_sent = false;
};

/// Reply to a heartbeat.
struct ExchangeReply {
  /// The newest versions that the replying process has.
  DocumentVersions versions;
  IncarnationId incarnation;
  AgentLoad load;  ///< Set by agents only.
};

/// State of an attempt, as an agent reports it to an entry.
enum class AttemptState : std::uint8_t {
  kNeverStarted,  ///< Has not run; refused from now on.
  kRunning,
  kFinished,       ///< The reply has the stored result.
  kIndeterminate,  ///< Another incarnation may have run it.
};

/// Reply to NodeClient::Settle.
struct SettleReply {
  AttemptState state = AttemptState::kIndeterminate;
  WorkResult result;
  /// The stored response, if the attempt has finished; a status of 0 if the
  /// response was not stored.
  int status = 0;
  std::string content_type;
  std::string body;
};

template <typename Reply>
using RpcResult = std::variant<Reply, RpcFailure>;

}  // namespace bambooquay
