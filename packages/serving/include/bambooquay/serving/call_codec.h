// A caller's request as the serving path uses it, and the interface that
// translates HTTP requests and responses of a wire protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_types.h"

namespace bambooquay {

/// A part of a prompt. Requests with the same leading parts can share what an
/// engine has cached for them.
struct PromptPart {
  PromptPartId id{};
  double tokens = 0.0;
};

/// A decoded request of a caller.
struct ServingCall {
  RequestId id;
  std::string host;
  /// The request as the caller sent it. Must outlive this object.
  const HttpRequest* http_request = nullptr;
  /// Set by the caller; the route's timeout applies as well.
  std::optional<Duration> time_limit;
  std::string api_key;
  ModelName model;      ///< Empty for plain services.
  AdapterName adapter;  ///< Empty for the base model.
  /// Whether the names of the model and the adapter are valid text.
  bool has_valid_names = true;
  std::optional<Tokens> tokens;  ///< Prompt plus the largest allowed output.
  double prompt_tokens = 0.0;
  /// In order. The last part is specific to this request, the ones before it
  /// may be shared with others.
  std::vector<PromptPart> prompt;
  /// Not empty if the caller takes up a stream that broke off.
  std::string last_event_id;
  /// The request that brought the first event of that stream; empty if the
  /// caller does not say.
  RequestId resumed_request;
};

/// Headers that one attempt adds to the caller's request for the upstream.
struct AttemptMetadata {
  UpstreamId upstream;
  OrganisationId organisation;  ///< Empty on routes that need no API key.
  Duration time_left{};
  std::optional<int> priority;  ///< 0 is the most urgent.
  std::string last_event_id;
};

/// The response names no call limit, so an earlier one has ended.
struct NoCallLimit {};
/// The response names a call limit that cannot be read.
struct UnreadableCallLimit {};
/// What a response says about the calls per second that its upstream takes from
/// all entries together.
using CallLimitNotice =
    std::variant<NoCallLimit, CallsPerSecond, UnreadableCallLimit>;

/// What the status line and headers of a response say.
struct ResponseInfo {
  /// The response carries the upstream's signature, so that it comes from the
  /// upstream and not from something in between.
  bool authentic = false;
  /// The upstream has proved that it has not run the request and never will.
  bool not_run = false;
  /// Another instance has the address, or the model is not loaded there.
  bool misdirected = false;
  /// Set if `misdirected` and another instance answered.
  UpstreamId answered_by;
  CallLimitNotice call_limit;
  /// The upstream is leaving and wants no further calls.
  bool is_leaving = false;
  /// The upstream has turned the request away and wants none from this entry
  /// for so long; zero if it does not say.
  Duration turned_away_for{};
};

/// Translates between a wire protocol and the types of the serving path. Makes
/// no decisions on routing or retries.
class CallCodec {
 public:
  CallCodec() = default;
  CallCodec(const CallCodec&) = delete;
  CallCodec& operator=(const CallCodec&) = delete;
  virtual ~CallCodec() = default;

  [[nodiscard]] virtual ServingCall DecodeCall(
      const HttpRequest& request) const = 0;
  [[nodiscard]] virtual HttpRequest EncodeAttempt(
      const ServingCall& call, const AttemptMetadata& metadata) const = 0;
  /// @returns whether a response with these headers belongs to request `id`.
  ///   One without an id is unidentified.
  [[nodiscard]] virtual ResponseMatch MatchResponse(
      const HttpHeaders& headers, const RequestId& id) const = 0;
  [[nodiscard]] virtual ResponseInfo InspectResponse(
      int status, const HttpHeaders& headers) const = 0;
  /// @returns the headers of an upstream's response that are passed on to the
  ///   caller.
  [[nodiscard]] virtual HttpHeaders CallerHeaders(
      const HttpHeaders& upstream_headers) const = 0;
};

}  // namespace bambooquay
