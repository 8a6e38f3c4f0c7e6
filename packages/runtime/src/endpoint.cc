// Parsing of endpoints and conversion to and from socket addresses.
#include "bambooquay/runtime/endpoint.h"

#include <arpa/inet.h>
#include <event2/util.h>

#include <array>

#include "socket_address.h"

namespace bambooquay {

std::string Endpoint::ToString() const {
  const bool is_ipv6 = host.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  SocketAddress address;
  int length = sizeof(address.storage);
  if (evutil_parse_sockaddr_port(std::string(text).c_str(), address.get(),
                                 &length) != 0) {
    return std::nullopt;
  }
  Endpoint endpoint = ToEndpoint(address);
  if (endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

std::optional<SocketAddress> ToSocketAddress(const Endpoint& endpoint) {
  SocketAddress address;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(address.get());
  if (inet_pton(AF_INET, endpoint.host.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(endpoint.port);
    address.length = sizeof(sockaddr_in);
    return address;
  }
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(address.get());
  if (inet_pton(AF_INET6, endpoint.host.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(endpoint.port);
    address.length = sizeof(sockaddr_in6);
    return address;
  }
  return std::nullopt;
}

Endpoint ToEndpoint(const SocketAddress& address) {
  std::array<char, INET6_ADDRSTRLEN> host{};
  Endpoint endpoint;
  if (address.storage.ss_family == AF_INET) {
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(address.get());
    evutil_inet_ntop(AF_INET, &ipv4->sin_addr, host.data(), host.size());
    endpoint.port = ntohs(ipv4->sin_port);
  } else {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(address.get());
    evutil_inet_ntop(AF_INET6, &ipv6->sin6_addr, host.data(), host.size());
    endpoint.port = ntohs(ipv6->sin6_port);
  }
  endpoint.host = host.data();
  return endpoint;
}

}  // namespace bambooquay
