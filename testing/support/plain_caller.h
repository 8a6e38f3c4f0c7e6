// A blocking socket whose bytes a test sends and receives from outside the
// event loop, so also while that is held up.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <string>
#include <string_view>

#include "bambooquay/runtime/endpoint.h"
#include "support/hold_up.h"

namespace bambooquay::testing {

/// A connection to an IPv4 address.
class PlainCaller {
 public:
  explicit PlainCaller(const Endpoint& server)
      : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    BOOST_REQUIRE(inet_pton(AF_INET, server.host.c_str(), &address.sin_addr) ==
                  1);
    BOOST_REQUIRE(connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0);
  }
  PlainCaller(const PlainCaller&) = delete;
  PlainCaller& operator=(const PlainCaller&) = delete;
  ~PlainCaller() { close(m_socket); }

  void Send(std::string_view bytes) const {
    BOOST_REQUIRE(send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }
  /// Sends as much as the socket takes at once.
  /// @returns the number of bytes, or -1 if the connection is broken.
  [[nodiscard]] ssize_t SendSome(std::string_view bytes) const {
    const ssize_t length =
        send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return length < 0 && (errno == EAGAIN || errno == EINTR) ? 0 : length;
  }
  /// @returns everything received so far.
  const std::string& Received() {
    std::array<char, 4096> bytes{};
    ssize_t length = 0;
    while ((length = recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT)) >
           0) {
      m_received.append(bytes.data(), static_cast<std::size_t>(length));
    }
    m_was_reset = m_was_reset || (length < 0 && errno == ECONNRESET);
    m_closed = m_closed || length == 0 || (errno != EAGAIN && errno != EINTR);
    return m_received;
  }
  /// Reads and drops at most `max_bytes`.
  /// @returns the number of bytes.
  [[nodiscard]] std::size_t Skip(std::size_t max_bytes) const {
    std::string bytes(max_bytes, '\0');
    const ssize_t length =
        recv(m_socket, bytes.data(), max_bytes, MSG_DONTWAIT);
    return static_cast<std::size_t>(std::max<ssize_t>(length, 0));
  }
  /// @returns whether the server has closed the connection, as of Received().
  [[nodiscard]] bool closed() const { return m_closed; }
  /// @returns whether the server has closed the connection by now.
  [[nodiscard]] bool HasClosed() {
    static_cast<void>(Received());
    return m_closed;
  }
  /// @returns whether that was a reset, which no complete response ends with.
  [[nodiscard]] bool was_reset() const { return m_was_reset; }

 private:
  int m_socket;
  std::string m_received;
  bool m_closed = false;
  bool m_was_reset = false;
};

}  // namespace bambooquay::testing
