// Datagrams between entries and agents, independent of their encoding.
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
#include "bambooquay/core/engine_work.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"
#include "bambooquay/core/upstream_run.h"
#include "bambooquay/quarantine/survival.h"

namespace bambooquay {

/// Demand of callers for one model.
struct ModelDemand {
  ServiceName service;
  ModelName model;
  double requests_per_second = 0.0;
  double prompt_tokens_per_second = 0.0;
  /// Rate at which engines read prompts of the model, in tokens per
  /// millisecond; 0 if it is not known.
  double reading_rate = 0.0;
};

/// Calls with these parts broke as their upstream ended. Without parts, only
/// the end of the run is known. Ages are those at the time of sending.
struct PartCrash {
  std::vector<PromptPartId> parts;
  std::uint64_t upstream_run = 0;  ///< Identifies the upstream and its start.
  Duration begun_age{};
  Duration crash_age{};
  /// Of the call that had come the least far.
  CallProgress progress = kNoEvent;
  /// Whether the run of the upstream is known to have ended.
  bool is_certain = false;
};

/// A call with this part has sent an event, or its whole response.
struct PartSurvival {
  PromptPartId part{};
  Duration begun_age{};
  Duration lasted{};  ///< Since its first event, or kCompleteCall.
};

/// Prompts with this part are not sent to upstreams.
struct PartQuarantine {
  PromptPartId part{};
  int round = 1;  ///< Quarantines in a row.
  Duration last_crash_age{};
  Duration time_left{};  ///< Negative once it has expired.
  /// Parts that may be the cause instead. Prompts without one of them are
  /// allowed.
  std::vector<PromptPartId> companions;
  /// How far calls had come that broke in the crashes.
  CallProgress progress = kNoEvent;
  /// Time since a trial began at the sender; nothing if none is under way.
  std::optional<Duration> trial_age;
};

/// What an entry knows of parts that crash engines.
struct PromptPartReports {
  std::vector<PartCrash> crashes;
  std::vector<PartSurvival> survivals;
  std::vector<PartQuarantine> quarantines;
};

/// What a response of an upstream has said about its call limit.
struct CallLimitReport {
  UpstreamRun run;
  /// Calls per second that it takes from all entries together; nothing if it
  /// has stopped to name a limit.
  std::optional<CallsPerSecond> limit;
  Duration age{};  ///< Age of the response at the time of sending.
};

/// Identifies a stream by the request that brought its first event.
struct StreamKey {
  std::uint64_t value = 0;
  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
};

/// A software version of a service, and streams that it began. Sent while the
/// service has several versions, or shares streams with another service.
struct StreamVersionReport {
  ServiceName service;
  SoftwareVersion version;
  /// Time since an upstream of this version was last listed.
  Duration listed_age{};
  std::vector<StreamKey> streams;
  /// If the service shares streams of its routes with another one, the time
  /// since that one last got some.
  std::optional<Duration> shared_age = std::nullopt;
};

/// Sent by each entry to the other entries.
struct EntryStatus {
  bool leaving = false;  ///< Whether the entry is draining before it stops.
  /// Version of the configuration that the entry applies; 0 if it has none.
  std::uint64_t configuration = 0;
  /// Version of the newest change that the entry knows of in the operators'
  /// table; 0 if it does not say.
  std::uint64_t operators_version = 0;
  Duration uptime{};
  PromptPartReports prompt_parts;
  std::vector<CallLimitReport> call_limits;
  /// Of services whose streams have to be known one by one.
  std::vector<StreamVersionReport> stream_versions;
  /// Identifies which services get the streams of which routes; 0 if the sender
  /// does not say.
  std::uint64_t stream_routes = 0;
  DataCentreId data_centre;  ///< Empty if the sender does not say.
  /// Tokens spent since the entry started. An organisation whose total has not
  /// changed since the last messages may be omitted.
  std::map<OrganisationId, Tokens> spent;
  /// Empty except in messages to the entry that plans placement.
  std::vector<ModelDemand> demand;
};

/// Sent by each entry to each agent. The agent sends its engine's status to the
/// entries from which it receives targets.
struct EngineTarget {
  UpstreamId upstream;
  /// Models that the engine is to have loaded; set only by the entry that plans
  /// placement.
  std::optional<std::vector<ModelName>> models;
  /// Time between two reports that the entry asks for; 0 for all reports.
  Duration report_period{};
};

/// The leading parts of a prompt, up to and including one of them.
struct AnnouncedPrefix {
  std::uint64_t hash = 0;    ///< Over model, adapter and these parts.
  std::uint32_t tokens = 0;  ///< Tokens of its last part.

  friend bool operator==(const AnnouncedPrefix&,
                         const AnnouncedPrefix&) = default;
};

/// Sent by each agent to the entries from which it receives targets.
struct EngineStatus {
  UpstreamId upstream;
  /// The number of accepted orders and the incoming adapters are not sent, as
  /// only the agent needs them.
  EngineReport report;
  /// Version of the lists in the report; changes whenever they do.
  std::uint64_t lists_version = 0;
  /// Whether the report omits the lists, which are then the same as in the last
  /// message that included them with this version.
  bool omits_lists = false;
  /// Unset if the agent does not estimate work.
  std::optional<EngineWork> work;
  /// Shared parts of prompts that were announced a moment ago, in order; the
  /// engine has them in its prompt cache now. Sent only with `work`.
  std::vector<AnnouncedPrefix> read_prefixes;
};

/// Sent by an entry to an agent to have an adapter loaded, and sent again until
/// the agent replies or the entry gives up.
struct AdapterRequest {
  std::uint64_t request_id = 0;
  UpstreamId upstream;
  ModelName model;
  AdapterName adapter;
};

/// Reply to the AdapterRequest with the same request id.
struct AdapterReply {
  std::uint64_t request_id = 0;
  bool loaded = false;
};

/// The bounds on the rate of an upstream that a permit has to be within.
struct PermitBounds {
  bool is_cold = false;  ///< The service's cold rate applies.
  /// Calls per second that the upstream takes from all entries together, more
  /// than zero; nothing if it names no limit.
  std::optional<CallsPerSecond> call_limit;
};

/// Sent by an entry to get permission to send one request to an upstream: to
/// the agent of an engine, or to the entry that issues the permits for a plain
/// service. The message is not sent again; without a reply the permit counts as
/// denied.
struct PermitRequest {
  std::uint64_t request_id = 0;
  UpstreamId upstream;
  PermitBounds bounds;
};

/// Reply to the PermitRequest with the same request id.
struct PermitReply {
  std::uint64_t request_id = 0;
  bool granted = false;
  Duration wait{};  ///< Time until another request may be granted.
};

/// Sent by an entry to an agent to get room on its engine for one call. The
/// agent replies at once, and once more if the call has to wait. The message is
/// not sent again.
struct RoomRequest {
  std::uint64_t request_id = 0;  ///< Number of this message.
  UpstreamId upstream;
  RequestId call;
  OrganisationId organisation;  ///< Empty on routes that need no API key.
  std::uint32_t prompt_tokens = 0;
  /// One for each part of the prompt, in order. The agent has seen the prompts
  /// of all entries, and so knows better what its engine has kept.
  std::vector<AnnouncedPrefix> prompt;
  /// Of the tokens, those that the engine has to read by what the entry knows.
  std::uint32_t unread_tokens = 0;
  std::uint32_t output_tokens = 0;  ///< Estimate.
  int priority = 0;                 ///< 0 is the most urgent.
  /// Time left until the call's first event is late.
  Duration target_wait{};
  /// How long the call can wait for room. Zero only announces the call, which
  /// is sent at once; there is no reply.
  Duration max_wait{};
};

/// Reply to the RoomRequest with the same request id.
struct RoomReply {
  std::uint64_t request_id = 0;
  bool granted = false;
  /// Time until room is expected; if it is granted, from the call's arrival to
  /// its first event, or zero if that is not known.
  Duration wait{};
  /// The call waits for room, and another reply follows.
  bool queued = false;
};

/// Sent by an entry when a call does not use its room, or not any longer.
struct RoomRelease {
  UpstreamId upstream;
  RequestId call;
  /// The call has sent its first event, so that its prompt has been read.
  bool begun = false;
};

/// What the holder of the duties tells the other entries of its lease, so that
/// they need not read the store.
struct LeaseNotice {
  std::uint64_t fencing_token = 0;
  std::uint64_t row_version = 0;  ///< After the last confirmed write.
  bool released = false;

  friend bool operator==(const LeaseNotice&, const LeaseNotice&) = default;
};

/// Number of a window of true time: window k begins k windows after the start
/// of 1970.
enum class UsageWindow : std::uint64_t {};

/// Requests of each organisation.
using RunCounts = std::map<OrganisationId, std::uint64_t>;

/// Sent by the entry that holds the duties to the other entries.
struct DutyNotice {
  LeaseNotice lease;
  /// Newest window whose usage is settled; 0 if the sender does not know of
  /// any.
  UsageWindow settled_through{};
};

/// Sent by each entry to the holder of the duties: requests that upstreams
/// began to run in one window. The counts of a window only grow. Final ones are
/// sent again until the holder confirms them.
struct UsageCounts {
  UsageWindow window{};
  bool is_final = false;  ///< The window is over, or the sender stops.
  RunCounts counts;
};

/// Reply to final UsageCounts.
struct UsageReceipt {
  UsageWindow window{};
  std::uint64_t fencing_token = 0;
};

/// One datagram.
struct StatusMessage {
  InstanceId sender;
  /// Identifies one run of the sender's process.
  std::uint64_t incarnation = 0;
  std::variant<EntryStatus, EngineTarget, EngineStatus, AdapterRequest,
               AdapterReply, PermitRequest, PermitReply, RoomRequest, RoomReply,
               RoomRelease, DutyNotice, UsageCounts, UsageReceipt>
      body;
};

[[nodiscard]] std::string EncodeStatus(const StatusMessage& message);
/// @returns the message, or nothing if `bytes` cannot be decoded.
[[nodiscard]] std::optional<StatusMessage> DecodeStatus(std::string_view bytes);

}  // namespace bambooquay
