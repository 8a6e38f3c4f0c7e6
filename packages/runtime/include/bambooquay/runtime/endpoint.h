// A numeric IP address with a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bambooquay {

/// A numeric IPv4 or IPv6 address with a port, for TCP or UDP.
struct Endpoint {
  std::string host;  ///< Without brackets, also for IPv6.
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
  /// @returns `host:port`, with an IPv6 host in brackets.
  [[nodiscard]] std::string ToString() const;
};

/// Parses `IP:PORT`, with IPv6 addresses in brackets.
///
/// @returns nullopt if `text` is malformed, names a host instead of an IP
///   address, or has port 0 or none.
///
/// @code
/// ParseEndpoint("127.0.0.1:8080")->port;  // 8080
/// ParseEndpoint("localhost:8080");        // nullopt: not an IP address
/// @endcode
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace bambooquay
