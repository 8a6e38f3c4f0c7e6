// Raw TCP peers for tests of the HTTP code: a server whose responses a test
// scripts byte by byte, and a client that sends arbitrary bytes.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay::testing {

/// The bytes that a scripted server sends for a request, and what it does with
/// the connection once they are written.
struct ScriptedResponse {
  std::string bytes;
  enum class ConnectionAction {
    kKeepOpen,
    kClose,
    kReset
  } action = ConnectionAction::kKeepOpen;
};

/// Listens on loopback and calls a script with the bytes of each request to get
/// the response.
class ScriptedServer {
 public:
  using Script = std::function<ScriptedResponse(const std::string& request)>;

  ScriptedServer(EventLoop& loop, Script script)
      : m_loop(loop), m_script(std::move(script)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener = evconnlistener_new_bind(
        loop.base(), &ScriptedServer::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr*>(&address), &length);
    m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  ~ScriptedServer() {
    evconnlistener_free(m_listener);
    for (const auto& connection : m_connections) {
      if (connection->stream != nullptr) {
        bufferevent_free(connection->stream);
      }
    }
  }

  [[nodiscard]] const Endpoint& endpoint() const { return m_endpoint; }
  /// @returns the bytes of every request so far, over all connections.
  [[nodiscard]] const std::vector<std::string>& requests() const {
    return m_requests;
  }
  /// @returns the number of connections accepted so far.
  [[nodiscard]] std::size_t connection_count() const {
    return m_connections.size();
  }
  [[nodiscard]] std::size_t closed_by_peer_count() const {
    return m_closed_by_peer_count;
  }
  /// Closes the newest connection with a TCP reset.
  void ResetNewestConnection() {
    Connection& newest = *m_connections.back();
    newest.action = ScriptedResponse::ConnectionAction::kReset;
    ApplyAction(newest);
  }
  /// Sends bytes on the newest connection that are not a response to a request.
  void SendUnsolicited(std::string_view bytes) {
    bufferevent_write(m_connections.back()->stream, bytes.data(), bytes.size());
  }

 private:
  struct Connection {
    ScriptedServer* server = nullptr;
    bufferevent* stream = nullptr;
    std::string received;
    ScriptedResponse::ConnectionAction action =
        ScriptedResponse::ConnectionAction::kKeepOpen;
  };

  static void OnAccept(evconnlistener* /*listener*/, int socket,
                       sockaddr* /*address*/, int /*length*/, void* self) {
    auto* server = static_cast<ScriptedServer*>(self);
    auto connection = std::make_unique<Connection>();
    connection->server = server;
    connection->stream =
        bufferevent_socket_new(server->m_loop.base(), socket,
                               BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(connection->stream, &ScriptedServer::OnRead,
                      &ScriptedServer::OnWritten, &ScriptedServer::OnEvent,
                      connection.get());
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
    server->m_connections.push_back(std::move(connection));
  }

  /// @returns the size of the first request in `bytes`, in bytes; 0 while it is
  ///   incomplete.
  static std::size_t RequestSize(const std::string& bytes) {
    const auto head = bytes.find("\r\n\r\n");
    if (head == std::string::npos) {
      return 0;
    }
    std::size_t body = 0;
    const auto length_field = bytes.find("Content-Length: ");
    if (length_field != std::string::npos && length_field < head) {
      body = std::strtoul(bytes.c_str() + length_field + 16, nullptr, 10);
    }
    return bytes.size() >= head + 4 + body ? head + 4 + body : 0;
  }

  static void OnRead(bufferevent* stream, void* self) {
    auto* connection = static_cast<Connection*>(self);
    ScriptedServer& server = *connection->server;
    evbuffer* input = bufferevent_get_input(stream);
    const std::size_t length = evbuffer_get_length(input);
    const std::size_t before = connection->received.size();
    connection->received.resize(before + length);
    evbuffer_remove(input, connection->received.data() + before, length);
    for (auto size = RequestSize(connection->received); size > 0;
         size = RequestSize(connection->received)) {
      server.m_requests.push_back(connection->received.substr(0, size));
      connection->received.erase(0, size);
      const ScriptedResponse response =
          server.m_script(server.m_requests.back());
      connection->action = response.action;
      bufferevent_write(stream, response.bytes.data(), response.bytes.size());
      if (response.bytes.empty()) {
        ApplyAction(*connection);
        return;
      }
    }
  }

  static void OnWritten(bufferevent* stream, void* self) {
    if (evbuffer_get_length(bufferevent_get_output(stream)) == 0) {
      ApplyAction(*static_cast<Connection*>(self));
    }
  }

  static void ApplyAction(Connection& connection) {
    if (connection.action == ScriptedResponse::ConnectionAction::kKeepOpen ||
        connection.stream == nullptr) {
      return;
    }
    if (connection.action == ScriptedResponse::ConnectionAction::kReset) {
      const linger reset{1, 0};
      setsockopt(bufferevent_getfd(connection.stream), SOL_SOCKET, SO_LINGER,
                 &reset, sizeof(reset));
    }
    bufferevent_free(connection.stream);
    connection.stream = nullptr;
  }

  static void OnEvent(bufferevent* stream, short events, void* self) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      auto* connection = static_cast<Connection*>(self);
      ++connection->server->m_closed_by_peer_count;
      bufferevent_free(stream);
      connection->stream = nullptr;
    }
  }

  EventLoop& m_loop;
  Script m_script;
  evconnlistener* m_listener = nullptr;
  Endpoint m_endpoint;
  std::vector<std::unique_ptr<Connection>> m_connections;
  std::vector<std::string> m_requests;
  std::size_t m_closed_by_peer_count = 0;
};

/// Connects to a loopback port, sends bytes and collects what is received.
class RawClient {
 public:
  RawClient(EventLoop& loop, const Endpoint& endpoint, std::string_view bytes)
      : m_stream(bufferevent_socket_new(
            loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
    bufferevent_setcb(m_stream, &RawClient::OnRead, nullptr,
                      &RawClient::OnEvent, this);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(endpoint.port);
    bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    Send(bytes);
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  ~RawClient() { bufferevent_free(m_stream); }

  void Send(std::string_view bytes) {
    bufferevent_write(m_stream, bytes.data(), bytes.size());
  }
  /// Stops or resumes reading.
  void SetPaused(bool paused) {
    (paused ? bufferevent_disable : bufferevent_enable)(m_stream, EV_READ);
  }
  [[nodiscard]] const std::string& received() const { return m_received; }
  [[nodiscard]] bool closed() const { return m_closed; }

 private:
  static void OnRead(bufferevent* stream, void* self) {
    auto* client = static_cast<RawClient*>(self);
    evbuffer* input = bufferevent_get_input(stream);
    const std::size_t length = evbuffer_get_length(input);
    const std::size_t before = client->m_received.size();
    client->m_received.resize(before + length);
    evbuffer_remove(input, client->m_received.data() + before, length);
  }
  static void OnEvent(bufferevent* stream, short events, void* self) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      OnRead(stream, self);
      static_cast<RawClient*>(self)->m_closed = true;
    }
  }

  bufferevent* m_stream;
  std::string m_received;
  bool m_closed = false;
};

}  // namespace bambooquay::testing
