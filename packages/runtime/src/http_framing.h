// What the HTTP server and client share: collecting header fields from
// http-parser's callbacks, writing messages, and socket options.
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
  void OnField(std::string_view fragment);
  void OnValue(std::string_view fragment);
  void Clear();
  [[nodiscard]] HttpHeaders& headers() noexcept { return m_headers; }
  /// @returns the bytes of names and values seen since Clear().
  [[nodiscard]] std::size_t size() const noexcept { return m_size; }

 private:
  HttpHeaders m_headers;
  std::size_t m_size = 0;
  bool m_in_value = false;
};

/// @returns whether `headers` are names without blanks that frame a body in one
/// unambiguous way: at most one Content-Length, or Transfer-Encoding `chunked`
/// and nothing else.
[[nodiscard]] bool HasSoundFraming(const HttpHeaders& headers) noexcept;

void AppendHeader(std::string& text, std::string_view name,
                  std::string_view value);
/// Appends one chunk of a chunked body.
void AddChunk(evbuffer* output, std::string_view bytes);
void AddBytes(evbuffer* output, std::string_view bytes);

/// Disables Nagle's algorithm and enables keep-alive probes, which find a
/// connection that has gone silent.
/// @param unacknowledged_limit  drops a connection whose bytes stay
///   unacknowledged for so long; zero keeps the system's default.
void SetSocketOptions(int socket, Duration unacknowledged_limit) noexcept;

}  // namespace bambooquay
