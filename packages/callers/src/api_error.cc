// Error responses to callers.
#include "bambooquay/callers/api_error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bambooquay {

std::string ApiError::ToJson() const {
  return nlohmann::json{{"error",
                         {{"code", code},
                          {"message", message},
                          {"outcome", std::string(ToString(outcome))}}}}
      .dump();
}

HttpHeaders ApiError::Headers() const {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  if (retry_after > Duration::zero()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    headers.Add("Retry-After", std::to_string(std::max<long>(seconds, 1)));
  }
  return headers;
}

ApiError ToApiError(const WorkResult& result) {
  ApiError error;
  error.outcome = result.outcome;
  error.message = result.message;
  error.code = std::string(ToString(result.refusal));
  if (result.refusal == Refusal::kKeyWithdrawn) {
    error.status = HttpStatus::kUnauthorized;
    error.message = "the key is not valid";
  } else if (result.outcome == Outcome::kNotRun) {
    error.status = HttpStatus::kServiceUnavailable;
    error.retry_after = std::chrono::seconds(1);
    if (error.message.empty()) {
      error.message = "no upstream took the request";
    }
  } else {
    error.status = HttpStatus::kBadGateway;
    error.code = "upstream_failed";
  }
  return error;
}

}  // namespace bambooquay
