// An HTTP/1.1 server based on http-parser and bufferevents. It limits header
// and body sizes, connections and slow callers, and applies back-pressure to
// streamed replies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "bambooquay/core/clock.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_types.h"

struct evconnlistener;
struct sockaddr;

namespace bambooquay {

class HttpServerConnection;

/// Size and time limits of one server.
struct HttpServerLimits {
  /// Bytes of the request target and of all header names and values.
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  /// While this many connections are open, no others are accepted.
  std::size_t max_connections = 4096;
  /// A connection without any bytes sent or received for this long is closed,
  /// unless it waits for its handler to write the reply.
  Duration idle_timeout = std::chrono::seconds(60);
  /// A request whose header is not complete this long after its first byte is
  /// answered with 408.
  Duration header_timeout = std::chrono::seconds(30);
};

/// One request and its reply. Destroying it before a reply was started sends
/// 500; destroying it during a streamed reply closes the connection.
class HttpExchange {
 public:
  HttpExchange(HttpServerConnection* connection, HttpRequest request);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  [[nodiscard]] const HttpRequest& request() const noexcept {
    return m_request;
  }
  /// @returns whether the reply is complete or the connection is closed.
  [[nodiscard]] bool closed() const noexcept { return m_connection == nullptr; }
  /// @returns whether a reply or the head of a streamed reply was sent.
  [[nodiscard]] bool started() const noexcept { return m_started; }
  /// Sets a callback for a caller that disconnects, or stays idle beyond the
  /// limit, before the reply is complete.
  void OnDisconnect(std::function<void()> handler) {
    m_on_disconnect = std::move(handler);
  }

  /// Sends a complete reply. Does nothing if a reply was started before.
  void Reply(int status, const HttpHeaders& headers, std::string_view body);
  /// Sends the status and headers of a streamed reply.
  void StartStream(int status, const HttpHeaders& headers);
  /// Sends a part of the body of a streamed reply.
  /// @param written  runs once the output buffer has been written to the
  ///   socket; not called if the caller disconnects first.
  void SendPart(std::string_view part, std::function<void()> written);
  /// Completes a streamed reply.
  void EndStream();
  /// Closes the connection at once, so that the caller sees that the reply is
  /// incomplete.
  void Abort();

 private:
  friend class HttpServerConnection;

  /// Null once the reply is complete or the connection is closed.
  HttpServerConnection* m_connection;
  HttpRequest m_request;
  std::function<void()> m_on_written;
  std::function<void()> m_on_disconnect;
  bool m_started = false;
};

/// Listens on one address and hands every request to a handler.
///
/// @code
/// HttpServer server(loop, {}, [](std::shared_ptr<HttpExchange> exchange) {
///   exchange->Reply(200, {}, "hello\n");
/// });
/// const bool bound = server.Listen({.host = "127.0.0.1", .port = 8080});
/// @endcode
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop& loop, const HttpServerLimits& limits, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Starts accepting connections; port 0 selects a free port.
  /// @returns whether the address could be bound.
  [[nodiscard]] bool Listen(const Endpoint& endpoint);
  /// @returns the port that was bound, or 0 if the server does not listen.
  [[nodiscard]] std::uint16_t port() const;
  /// Stops accepting connections; open connections continue.
  void StopListening();
  /// Closes idle connections now and every other connection after its current
  /// reply. New connections are still accepted and serve one request each.
  void CloseAfterReplies();
  /// Replaces the limits, also for open connections.
  void SetLimits(const HttpServerLimits& limits) { m_limits = limits; }
  [[nodiscard]] std::size_t connection_count() const noexcept {
    return m_connections.size();
  }
  /// @returns the number of connections with a partly received or unanswered
  ///   request, or with a reply that is not fully written to the socket.
  [[nodiscard]] std::size_t busy_connection_count() const noexcept;

 private:
  friend class HttpServerConnection;

  static void HandleAccept(evconnlistener* listener, int socket,
                           sockaddr* address, int length, void* self);
  void Remove(HttpServerConnection& connection);
  void EnforceConnectionLimit();
  void CloseExpired();

  EventLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  evconnlistener* m_listener = nullptr;
  std::list<std::unique_ptr<HttpServerConnection>> m_connections;
  std::unique_ptr<Timer> m_sweep;
  bool m_is_closing = false;
};

}  // namespace bambooquay
