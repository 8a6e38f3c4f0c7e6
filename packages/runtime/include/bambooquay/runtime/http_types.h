// HTTP messages as plain data, shared by the client and the server.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bambooquay {

/// Status codes that this project sends or interprets.
enum class HttpStatus : std::uint16_t {
  kOk = 200,
  kNoContent = 204,
  kNotModified = 304,
  kBadRequest = 400,
  kUnauthorized = 401,
  kForbidden = 403,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kRequestTimeout = 408,
  kConflict = 409,
  kPreconditionFailed = 412,
  kPayloadTooLarge = 413,
  kMisdirectedRequest = 421,
  kTooManyRequests = 429,
  kHeaderTooLarge = 431,
  kInternalError = 500,
  kBadGateway = 502,
  kServiceUnavailable = 503,
  kGatewayTimeout = 504,
};

/// @returns the numeric code of `status`.
[[nodiscard]] constexpr int ToCode(HttpStatus status) noexcept {
  return static_cast<int>(status);
}

/// @returns whether the two are the same but for the case of ASCII letters.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view a,
                                      std::string_view b) noexcept;

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Headers in order; look-up ignores letter case.
struct HttpHeaders {
  std::vector<HttpHeader> items;

  void Add(std::string name, std::string value);
  /// @returns the first value of `name`, or "".
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  /// @returns the bytes of all names and values.
  [[nodiscard]] std::size_t size() const noexcept;
};

struct HttpRequest {
  std::string method = "GET";
  /// Path with query, starting with '/'.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

}  // namespace bambooquay
