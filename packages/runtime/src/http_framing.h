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

/// Collects header fields that http-parser delivers in fragments. Load it
/// answers: a faulty peer sends fields without end, on many connections at
/// once.
///
/// Invariant: the headers stay within the limits on their number and size, also
/// with the trailers of a chunked body.
class HeaderCollector {
 public:
  /// @param max_bytes  limit on the total size of the names and values.
  explicit HeaderCollector(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  void SetLimit(std::size_t max_bytes) noexcept { m_max_bytes = max_bytes; }

  /// Adds a fragment of a field name.
  /// @returns whether it is within the limits; if not, it is left out.
  [[nodiscard]] bool OnField(std::string_view fragment);
  /// Adds a fragment of a field value.
  /// @returns whether it is within the limits; if not, it is left out.
  [[nodiscard]] bool OnValue(std::string_view fragment);
  void Clear();
  [[nodiscard]] HttpHeaders& headers() noexcept { return m_headers; }
  /// @returns the total size of the names and values received since Clear().
  [[nodiscard]] std::size_t total_bytes() const noexcept {
    return m_total_bytes;
  }
  /// @returns whether fragments were left out since Clear().
  [[nodiscard]] bool has_overflowed() const noexcept {
    return m_has_overflowed;
  }

 private:
  /// @returns whether a fragment of this size is within the limits.
  bool Reserve(std::size_t size);

  std::size_t m_max_bytes;
  HttpHeaders m_headers;
  std::size_t m_total_bytes = 0;
  bool m_has_overflowed = false;
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

/// Sets whether the close of `socket`, also by the end of the process, resets
/// its connection and drops unsent bytes.
void SetResetOnClose(int socket, bool resets) noexcept;

}  // namespace bambooquay
