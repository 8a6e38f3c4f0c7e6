// A UDP socket on the event loop.
#pragma once

#include <functional>
#include <string_view>

#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// Sends and receives datagrams. Sending never blocks: a datagram that the
/// system does not accept at once is dropped, and datagrams can be lost on the
/// network in any case.
class DatagramSocket {
 public:
  /// Called with the sender and the content of each datagram received.
  using Handler = std::function<void(const Endpoint& sender, std::string_view)>;

  DatagramSocket(EventLoop& loop, Handler handler);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  ~DatagramSocket();

  /// Binds the socket and starts receiving.
  /// @returns whether the address could be bound.
  [[nodiscard]] bool Bind(const Endpoint& endpoint);
  /// Sends one datagram. Errors are ignored.
  void Send(const Endpoint& to, std::string_view bytes);

 private:
  static void HandleReadable(int socket, short events, void* self);
  void Receive();

  EventLoop& m_loop;
  Handler m_handler;
  int m_socket = -1;
  event* m_event = nullptr;
};

}  // namespace bambooquay
