// HTTP messages as plain data structures, shared by the client and the server.
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

/// @returns whether `a` and `b` are equal, ignoring the case of ASCII letters.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view a,
                                      std::string_view b) noexcept;

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they were received or added. Lookup is
/// case-insensitive.
struct HttpHeaders {
  std::vector<HttpHeader> items;

  void Add(std::string name, std::string value);
  /// @returns the value of the first field called `name`, or "" if absent.
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  /// @returns the total size of all names and values.
  [[nodiscard]] std::size_t total_bytes() const noexcept;
  /// @returns the number of bytes of memory that the fields take.
  [[nodiscard]] std::size_t allocated_bytes() const noexcept;
};

struct HttpRequest {
  std::string method = "GET";
  /// Path and query, starting with '/'.
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
