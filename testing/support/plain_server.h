// A server of plain sockets, which acts while the event loop of a test is held
// up.
#pragma once

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

#include "bambooquay/core/clock.h"
#include "bambooquay/runtime/endpoint.h"
#include "support/hold_up.h"

namespace bambooquay::testing {

/// Accepts one connection after another. All calls return at once.
class PlainServer {
 public:
  PlainServer() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address),
                       sizeof(address)) == 0);
    BOOST_REQUIRE(listen(m_listener, SOMAXCONN) == 0);
    socklen_t length = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
  }
  PlainServer(const PlainServer&) = delete;
  PlainServer& operator=(const PlainServer&) = delete;
  ~PlainServer() {
    Close();
    close(m_listener);
  }

  [[nodiscard]] const Endpoint& endpoint() const { return m_endpoint; }
  /// @returns whether a whole request head has arrived.
  [[nodiscard]] bool HasRequest() {
    return Received().find("\r\n\r\n") != std::string::npos;
  }
  /// @returns everything received on the newest connection.
  const std::string& Received() {
    if (IsReadable(m_listener)) {
      Close();
      m_connection = accept(m_listener, nullptr, nullptr);
      m_received.clear();
    }
    std::array<char, 4096> bytes{};
    ssize_t length = 1;
    while (m_connection >= 0 && length > 0) {
      length = recv(m_connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
      m_received.append(bytes.data(),
                        static_cast<std::size_t>(length > 0 ? length : 0));
    }
    return m_received;
  }
  /// Sends bytes that fit into the system's buffers.
  void Send(std::string_view bytes) const {
    BOOST_REQUIRE(send(m_connection, bytes.data(), bytes.size(),
                       MSG_NOSIGNAL | MSG_DONTWAIT) ==
                  static_cast<ssize_t>(bytes.size()));
  }
  /// Ends the output on the newest connection, which still receives.
  void EndOutput() const { shutdown(m_connection, SHUT_WR); }
  /// Closes the newest connection with a reset.
  void Reset() {
    const linger reset{1, 0};
    setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    Close();
  }
  /// Closes the newest connection. Input that was not received resets it.
  void Close() {
    if (m_connection >= 0) {
      close(m_connection);
      m_connection = -1;
    }
  }

 private:
  static bool IsReadable(int descriptor) {
    pollfd readable{descriptor, POLLIN, 0};
    return poll(&readable, 1, 0) > 0;
  }

  int m_listener;
  int m_connection = -1;
  std::string m_received;
  Endpoint m_endpoint;
};

}  // namespace bambooquay::testing
