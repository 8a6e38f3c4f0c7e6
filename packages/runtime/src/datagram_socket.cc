// A UDP socket on the event loop.
#include "bambooquay/runtime/datagram_socket.h"

#include <event2/event.h>
#include <event2/util.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "socket_address.h"

namespace bambooquay {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
// Maximum number of datagrams handled in one callback, so that other events are
// not starved.
constexpr int kMaxDatagramsPerCallback = 64;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop, Handler handler)
    : m_loop(loop), m_handler(std::move(handler)) {}

DatagramSocket::~DatagramSocket() {
  if (m_event != nullptr) {
    event_free(m_event);
  }
  if (m_socket >= 0) {
    close(m_socket);
  }
}

bool DatagramSocket::Bind(const Endpoint& endpoint) {
  const auto address = ToSocketAddress(endpoint);
  if (!address.has_value()) {
    return false;
  }
  m_socket = socket(address->storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (m_socket < 0 || evutil_make_socket_nonblocking(m_socket) != 0 ||
      bind(m_socket, address->get(), address->length) != 0) {
    return false;
  }
  m_event = event_new(m_loop.base(), m_socket, EV_READ | EV_PERSIST,
                      &DatagramSocket::HandleReadable, this);
  return event_add(m_event, nullptr) == 0;
}

void DatagramSocket::Send(const Endpoint& to, std::string_view bytes) {
  const auto address = ToSocketAddress(to);
  if (address.has_value()) {
    // Senders tolerate loss: later datagrams replace lost ones.
    static_cast<void>(sendto(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                             address->get(), address->length));
  }
}

void DatagramSocket::HandleReadable(int /*socket*/, short /*events*/,
                                    void* self) {
  static_cast<DatagramSocket*>(self)->Receive();
}

void DatagramSocket::Receive() {
  static std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerCallback; ++i) {
    SocketAddress sender;
    const ssize_t size = recvfrom(m_socket, buffer.data(), buffer.size(),
                                  MSG_DONTWAIT, sender.get(), &sender.length);
    if (size < 0) {
      return;
    }
    m_handler(ToEndpoint(sender),
              {buffer.data(), static_cast<std::size_t>(size)});
  }
  m_loop.NoteUnreadInput();
}

}  // namespace bambooquay
