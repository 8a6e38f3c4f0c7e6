// Error responses to callers.
#pragma once

#include <string>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/work.h"
#include "bambooquay/runtime/http_types.h"

namespace bambooquay {

/// An error response. `outcome` tells the caller reliably whether the request
/// has run, or that this isn't known.
struct ApiError {
  HttpStatus status = HttpStatus::kInternalError;
  std::string code;
  std::string message;
  Outcome outcome = Outcome::kNotRun;
  /// Sent as Retry-After when positive.
  Duration retry_after = Duration::zero();

  /// @returns `{"error":{"code":...,"message":...,"outcome":...}}`.
  [[nodiscard]] std::string ToJson() const;
  [[nodiscard]] HttpHeaders Headers() const;
};

/// @returns the error response for work that was not completed: refused by an
///   agent, not delivered, or failed at the upstream.
[[nodiscard]] ApiError ToApiError(const WorkResult& result);

}  // namespace bambooquay
