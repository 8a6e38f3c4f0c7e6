// Functions shared by the HTTP server and client: collecting header fields from
// the callbacks of http-parser, serialising messages, and socket options.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "bambooquay/core/clock.h"
#include "bambooquay/runtime/http_types.h"

struct bufferevent;
struct evbuffer;

namespace bambooquay {

/// Collects header fields that http-parser delivers in fragments.
class HeaderCollector {
 public:
  /// Adds a fragment of a field name.
  void OnField(std::string_view fragment);
  /// Adds a fragment of a field value.
  void OnValue(std::string_view fragment);
  void Clear();
  [[nodiscard]] HttpHeaders& headers() noexcept { return m_headers; }
  /// @returns the total size of the names and values received since Clear().
  [[nodiscard]] std::size_t total_bytes() const noexcept {
    return m_total_bytes;
  }

 private:
  HttpHeaders m_headers;
  std::size_t m_total_bytes = 0;
  /// Whether the last fragment belonged to a value; the next name then starts a
  /// new field.
  bool m_in_value = false;
};

/// @returns whether all field names consist of visible ASCII characters other
///   than ':' and the length of the body is unambiguous: there is either at
///   most one Content-Length, or a single Transfer-Encoding with the value
///   `chunked` and no Content-Length. Other combinations allow request
///   smuggling.
[[nodiscard]] bool HasUnambiguousFraming(const HttpHeaders& headers) noexcept;

/// Appends `name: value` and a line break.
void AppendHeader(std::string& text, std::string_view name,
                  std::string_view value);
/// Appends one chunk of a chunked body.
void AppendChunk(evbuffer* output, std::string_view bytes);
void AppendBytes(evbuffer* output, std::string_view bytes);

/// Disables Nagle's algorithm and enables TCP keep-alive probes, which detect a
/// connection whose peer is no longer reachable.
/// @param tcp_user_timeout  closes a connection whose sent bytes stay
///   unacknowledged for this long; zero keeps the system's default.
void SetSocketOptions(int socket, Duration tcp_user_timeout) noexcept;

/// Makes the close of `socket` reset its connection and drop unsent bytes.
void ResetOnClose(int socket) noexcept;

}  // namespace bambooquay
