// Ports for tests of sockets that can't tell which one they are bound to.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace bambooquay::testing {

/// @param type  SOCK_STREAM or SOCK_DGRAM.
/// @returns whether no socket of this type is bound to a port of the machine.
inline bool IsFree(std::uint16_t port, int type) {
  const int descriptor = socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  const bool is_free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0;
  close(descriptor);
  return is_free;
}

/// @returns a port that no socket of this machine is bound to at the moment,
///   and that the system does not give to sockets without one.
inline std::uint16_t FreePort() {
  constexpr int kFirst = 31'200;
  constexpr int kCount = 1'500;
  static int number = getpid();
  for (int i = 0; i < kCount; ++i) {
    const auto port = static_cast<std::uint16_t>(kFirst + (++number % kCount));
    if (IsFree(port, SOCK_STREAM) && IsFree(port, SOCK_DGRAM)) {
      return port;
    }
  }
  std::abort();
}

}  // namespace bambooquay::testing
