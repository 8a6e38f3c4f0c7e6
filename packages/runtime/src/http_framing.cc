// Functions shared by the HTTP server and client.
#include "http_framing.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace bambooquay {
namespace {

// TCP keep-alive probes of an idle connection: the first one after 1 s, then
// one a second. The connection is closed when two are unanswered, so that an
// unreachable peer is detected after about three seconds. Where
// TCP_USER_TIMEOUT is set, Linux closes the connection after that time instead
// of after this number of probes.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// Each field takes far more memory than an empty one has bytes.
constexpr std::size_t kMaxHeaderFields = 256;

void SetOption(int socket, int level, int option, int value) noexcept {
  // Errors are ignored: without the option the socket still works, but has more
  // latency or detects failures later.
  static_cast<void>(setsockopt(socket, level, option, &value, sizeof(value)));
}

}  // namespace

bool HeaderCollector::Reserve(std::size_t size) {
  m_total_bytes += size;
  m_has_overflowed = m_has_overflowed || m_total_bytes > m_max_bytes ||
                     m_headers.items.size() > kMaxHeaderFields;
  return !m_has_overflowed;
}

bool HeaderCollector::OnField(std::string_view fragment) {
  if (m_in_value || m_headers.items.empty()) {
    m_headers.items.emplace_back();
    m_in_value = false;
  }
  if (!Reserve(fragment.size())) {
    return false;
  }
  m_headers.items.back().name += fragment;
  return true;
}

bool HeaderCollector::OnValue(std::string_view fragment) {
  m_in_value = true;
  if (!Reserve(fragment.size())) {
    return false;
  }
  m_headers.items.back().value += fragment;
  return true;
}

void HeaderCollector::Clear() {
  m_headers.items.clear();
  m_total_bytes = 0;
  m_has_overflowed = false;
  m_in_value = false;
}

bool HasUnambiguousFraming(const HttpHeaders& headers) noexcept {
  // http-parser accepts blanks in names, which other implementations interpret
  // differently.
  const bool names_are_tokens =
      std::ranges::all_of(headers.items, [](const HttpHeader& item) {
        return std::ranges::all_of(item.name, [](unsigned char c) {
          return c > ' ' && c < 0x7f && c != ':';
        });
      });
  if (!names_are_tokens) {
    return false;
  }
  const auto count = [&](std::string_view name) {
    return std::ranges::count_if(headers.items, [&](const HttpHeader& item) {
      return EqualsIgnoringCase(item.name, name);
    });
  };
  const auto lengths = count("Content-Length");
  const auto encodings = count("Transfer-Encoding");
  if (encodings == 0) {
    return lengths <= 1;
  }
  return encodings == 1 && lengths == 0 &&
         EqualsIgnoringCase(headers.Get("Transfer-Encoding"), "chunked");
}

void AppendHeader(std::string& text, std::string_view name,
                  std::string_view value) {
  text += name;
  text += ": ";
  text += value;
  text += "\r\n";
}

void AppendChunk(evbuffer* output, std::string_view bytes) {
  std::array<char, 24> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  evbuffer_add(output, size.data(), static_cast<std::size_t>(length));
  evbuffer_add(output, bytes.data(), bytes.size());
  evbuffer_add(output, "\r\n", 2);
}

void AppendBytes(evbuffer* output, std::string_view bytes) {
  evbuffer_add(output, bytes.data(), bytes.size());
}

void SetSocketOptions(int socket, Duration tcp_user_timeout) noexcept {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  const auto limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(tcp_user_timeout);
  if (limit.count() > 0) {
    SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(limit.count()));
  }
}

void SetResetOnClose(int socket, bool resets) noexcept {
  const linger option{resets ? 1 : 0, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace bambooquay
