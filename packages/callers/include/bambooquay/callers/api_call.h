// Parses callers' HTTP requests into calls.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "bambooquay/callers/api_error.h"
#include "bambooquay/core/configuration.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"
#include "bambooquay/core/work.h"
#include "bambooquay/runtime/http_types.h"

namespace bambooquay {

/// A call to be forwarded to an upstream.
struct UpstreamCall {
  const ServiceSettings* service = nullptr;
  /// Empty for plain services, which don't serve models.
  ModelName model;
  AdapterName adapter;  ///< Empty for the base model.
  std::string target;   ///< Request target that is sent upstream.
  bool is_streaming = false;
  bool idempotent = true;
  /// Tokens to reserve: the estimated tokens of the prompt plus the maximum
  /// that may be generated.
  Tokens cost;
  Priority priority = Priority::kInteractive;
  /// Time that the caller allows for the request; zero means no limit.
  Duration time_limit = Duration::zero();
  /// Identifies a non-idempotent action across retries; empty for none.
  std::string idempotency_key;
};

/// A request for the list of models.
struct ListModelsCall {};

using ApiCall = std::variant<UpstreamCall, ListModelsCall, ApiError>;

/// Parses a request and resolves its model or route in `configuration`. Doesn't
/// check the caller's key.
///
/// @returns the call, or the error to send to the caller.
[[nodiscard]] ApiCall ParseApiCall(const HttpRequest& request,
                                   const Configuration& configuration);

/// @returns the key in `Authorization: Bearer KEY`, or "".
[[nodiscard]] std::string ExtractBearerKey(const HttpRequest& request);

/// @returns the body of the response to `GET /v1/models`.
[[nodiscard]] std::string ModelListJson(const Configuration& configuration);

}  // namespace bambooquay
