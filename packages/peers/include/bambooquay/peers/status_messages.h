// Datagrams between entries and agents, as plain data.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/engine_report.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

struct ModelDemand {
  ServiceName service;
  ModelName model;
  double requests_per_second = 0.0;
  double prompt_tokens_per_second = 0.0;
};

/// From each entry to the other entries.
struct EntryStatus {
  bool leaving = false;
  std::uint64_t configuration = 0;  ///< Version in force.
  Duration uptime{};
  /// Since the entry's start. Organisations without spending since the last
  /// statuses may be left out.
  std::map<OrganisationId, Tokens> spent;
  /// Sent to the entry that plans placement.
  std::vector<ModelDemand> demand;
};

/// From each entry to each agent.
struct EngineTarget {
  UpstreamId upstream;
  /// Models to hold; set only by the entry that plans placement.
  std::optional<std::vector<ModelName>> models;
};

/// From each agent to the entries that it hears from.
struct EngineStatus {
  UpstreamId upstream;
  /// Without the number of orders and the adapters on their way, which only
  /// the agent needs.
  EngineReport report;
  /// Changes whenever the report's lists do.
  std::uint64_t lists = 0;
  /// The lists are left out: they are those last sent with this number.
  bool brief = false;
};

/// From an entry to an agent, repeated until answered.
struct AdapterRequest {
  std::uint64_t number = 0;
  UpstreamId upstream;
  ModelName model;
  AdapterName adapter;
};

struct AdapterReply {
  std::uint64_t number = 0;
  bool loaded = false;
};

/// From an entry to an agent: may one request be sent to the cold engine? It is
/// not repeated; without a reply there is no permit.
struct PermitRequest {
  std::uint64_t number = 0;
  UpstreamId upstream;
};

struct PermitReply {
  std::uint64_t number = 0;
  bool granted = false;
  Duration wait{};  ///< Until asking again is worth it.
};

struct StatusMessage {
  InstanceId sender;
  /// One life of the sender.
  std::uint64_t incarnation = 0;
  std::variant<EntryStatus, EngineTarget, EngineStatus, AdapterRequest,
               AdapterReply, PermitRequest, PermitReply>
      body;
};

[[nodiscard]] std::string EncodeStatus(const StatusMessage& message);
/// @returns the message, or nothing if `bytes` are not one.
[[nodiscard]] std::optional<StatusMessage> DecodeStatus(std::string_view bytes);

}  // namespace bambooquay
