// Ports for tests of sockets that can't tell which one they are bound to.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace bambooquay::testing {

/// @returns a port on which no datagram socket is bound at the moment.
inline std::uint16_t FreeDatagramPort() {
  const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  socklen_t length = sizeof(address);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) !=
          0) {
    std::abort();
  }
  close(descriptor);
  return ntohs(address.sin_port);
}

}  // namespace bambooquay::testing
