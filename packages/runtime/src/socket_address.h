// Conversion between endpoints and the system's socket addresses.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>

#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

/// An IPv4 or IPv6 socket address with its length.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = sizeof(sockaddr_storage);

  [[nodiscard]] sockaddr* get() noexcept {
    return reinterpret_cast<sockaddr*>(&storage);
  }
  [[nodiscard]] const sockaddr* get() const noexcept {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

/// @returns the socket address, or nullopt if the host is not an IP address.
[[nodiscard]] std::optional<SocketAddress> ToSocketAddress(
    const Endpoint& endpoint);
/// @returns the endpoint of an IPv4 or IPv6 socket address.
[[nodiscard]] Endpoint ToEndpoint(const SocketAddress& address);

}  // namespace bambooquay
