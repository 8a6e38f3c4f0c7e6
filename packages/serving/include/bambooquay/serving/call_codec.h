// One caller's request in the project's own terms, and the interface that
// translates it from and to a wire dialect.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"
#include "bambooquay/runtime/http_types.h"

namespace bambooquay {

/// A part of a prompt that requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0.0;
};

/// A caller's request.
struct ServingCall {
  RequestId id;
  std::string host;
  /// As the caller sent it; outlives the call.
  const HttpRequest* message = nullptr;
  std::optional<Duration> time_limit;
  std::string api_key;
  ModelName model;               ///< Empty for plain services.
  AdapterName adapter;           ///< Empty for the base model.
  std::optional<Tokens> tokens;  ///< Prompt and longest output.
  double prompt_tokens = 0.0;
  std::vector<PromptPart> prompt;  ///< In order; the last one is its own.
  std::string last_event_id;
};

/// What one attempt tells the upstream beside the caller's request.
struct AttemptTerms {
  UpstreamId upstream;
  OrganisationId organisation;  ///< Empty on open routes.
  Duration time_left{};
  std::optional<int> priority;  ///< 0 is the most urgent.
  std::string last_event_id;
};

/// What a response's head says.
struct ResponseFacts {
  /// The upstream's signature is there: the response is its own.
  bool authentic = false;
  /// Proved: the upstream has not run the request and never will.
  bool not_run = false;
  /// Another instance has the address, or the model is not there.
  bool misdirected = false;
  /// Set with `misdirected`, where another instance answered.
  UpstreamId answered_by;
};

/// Translates between a wire dialect and the project's types. Decides nothing.
class CallCodec {
 public:
  CallCodec() = default;
  CallCodec(const CallCodec&) = delete;
  CallCodec& operator=(const CallCodec&) = delete;
  virtual ~CallCodec() = default;

  [[nodiscard]] virtual ServingCall DecodeCall(
      const HttpRequest& request) const = 0;
  [[nodiscard]] virtual HttpRequest EncodeAttempt(
      const ServingCall& call, const AttemptTerms& terms) const = 0;
  /// @returns whether a response with these headers answers request `id`.
  [[nodiscard]] virtual bool Answers(const HttpHeaders& headers,
                                     const RequestId& id) const = 0;
  [[nodiscard]] virtual ResponseFacts InspectResponse(
      int status, const HttpHeaders& headers) const = 0;
  /// @returns the headers of an upstream's response that the caller gets.
  [[nodiscard]] virtual HttpHeaders CallerHeaders(
      const HttpHeaders& upstream_headers) const = 0;
};

}  // namespace bambooquay
