// The work that an entry sends to an agent, and its result.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

enum class Priority : std::uint8_t { kInteractive, kBatch };

/// What is known about whether the upstream ran a request.
enum class Outcome : std::uint8_t {
  kNotRun,   ///< The upstream certainly has not run it and never will.
  kRan,      ///< The upstream has run it.
  kUnknown,  ///< The upstream may or may not have run it.
};

/// @returns `not_run`, `ran` or `unknown`, as reported to callers.
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

/// Why an agent did not run some work.
enum class Refusal : std::uint8_t {
  kNone,
  kQueueFull,
  kDeadline,    ///< It would have missed its deadline.
  kStaleEpoch,  ///< Its allowance epoch is no longer valid.
  kKeyWithdrawn,
  kNotLoaded,  ///< The model or adapter is not loaded on this upstream.
  kLeaving,    ///< The agent is shutting down or drained.
  kDuplicate,  ///< The request id was seen or cancelled before.
  kUpstreamDown,
  kNotReady,  ///< The agent has no configuration, keys or epoch yet.
};

/// @returns the name of `refusal` in logs, metrics and error codes.
[[nodiscard]] std::string_view ToString(Refusal refusal) noexcept;

/// One attempt to run a caller's request on an upstream.
struct Work {
  RequestId id;
  OrganisationId organisation;  ///< Empty for open services.
  KeyDigest key;                ///< Empty for open services.
  ServiceName service;
  ModelName model;      ///< Empty for plain services.
  AdapterName adapter;  ///< Empty for the base model.
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
  std::string traceparent;
  Priority priority = Priority::kInteractive;
  /// Time left until the caller's deadline; zero means no deadline.
  Duration time_left = Duration::zero();
  /// Whether the request may run more than once.
  bool idempotent = true;
  /// Incarnation of the agent that the work is meant for; an agent with another
  /// incarnation refuses it. Empty means any.
  IncarnationId agent;
  /// Epoch under which the tokens were reserved.
  std::uint64_t allowance_epoch = 0;
  /// Tokens reserved from the organisation's allowance.
  Tokens reserved;
};

/// An agent's load, included in each of its replies.
struct AgentLoad {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// Requests that may be in flight at the upstream.
  std::uint32_t limit = 1;
};

/// How an attempt ended.
struct WorkResult {
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  std::string message;
  /// Tokens that the upstream reported as used; 0 if it reported none.
  Tokens used;
  Duration retry_after = Duration::zero();
  AgentLoad load;
};

}  // namespace bambooquay
