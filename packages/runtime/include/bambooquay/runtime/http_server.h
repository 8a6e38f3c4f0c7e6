// An HTTP/1.1 server over http-parser and bufferevents, with limits on
// headers, bodies, connections and slow callers, and back-pressure on streamed
// replies.
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

/// Limits of one server.
struct HttpServerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::size_t max_connections = 4096;
  /// A caller that neither sends nor reads for this long is cut off.
  Duration idle_timeout = std::chrono::seconds(60);
  /// A request's header must arrive within this time of its first byte.
  Duration header_timeout = std::chrono::seconds(30);
};

/// One request and its reply. Destroying it without a reply answers 500.
class HttpExchange {
 public:
  HttpExchange(HttpServerConnection* connection, HttpRequest message);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  [[nodiscard]] const HttpRequest& request() const noexcept {
    return m_message;
  }
  /// @returns whether the reply is complete or the connection is gone.
  [[nodiscard]] bool closed() const noexcept { return m_connection == nullptr; }
  /// @returns whether a reply or the head of a streamed reply was sent.
  [[nodiscard]] bool started() const noexcept { return m_started; }
  /// Calls `handler` when the caller goes before the reply is complete.
  void OnCallerGone(std::function<void()> handler) {
    m_caller_gone = std::move(handler);
  }

  /// Sends a whole reply.
  void Reply(int status, const HttpHeaders& headers, std::string_view body);
  /// Sends the head of a streamed reply.
  void StartStream(int status, const HttpHeaders& headers);
  /// Sends a part of a streamed reply; `written` runs once the connection has
  /// taken everything, and not at all when the caller goes first.
  void SendPart(std::string_view part, std::function<void()> written);
  /// Ends a streamed reply.
  void EndStream();
  /// Cuts the connection, so that the caller sees that the reply is not whole.
  void Abort();

 private:
  friend class HttpServerConnection;

  HttpServerConnection* m_connection;
  HttpRequest m_message;
  std::function<void()> m_written;
  std::function<void()> m_caller_gone;
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

  /// @returns whether the address could be bound.
  [[nodiscard]] bool Listen(const Endpoint& endpoint);
  /// @returns the port that is bound, also where Listen() was given port 0.
  [[nodiscard]] std::uint16_t port() const;
  /// Stops accepting connections; open ones go on.
  void StopListening();
  /// Ends each connection after the reply that it waits for, and idle ones at
  /// once. New connections are still served, one request each.
  void CloseAfterReplies();
  /// Replaces the limits, for open connections too.
  void SetLimits(const HttpServerLimits& limits) { m_limits = limits; }
  [[nodiscard]] std::size_t connection_count() const noexcept {
    return m_connections.size();
  }
  /// @returns the number of connections with a request that is read in part
  /// or unanswered, or a reply that has not left in full.
  [[nodiscard]] std::size_t busy_count() const noexcept;

 private:
  friend class HttpServerConnection;

  static void HandleAccept(evconnlistener* listener, int socket,
                           sockaddr* address, int length, void* self);
  void Remove(HttpServerConnection& connection);
  void LimitConnections();
  void CloseExpired();

  EventLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  evconnlistener* m_listener = nullptr;
  std::list<std::unique_ptr<HttpServerConnection>> m_connections;
  std::unique_ptr<Timer> m_sweep;
  bool m_closing = false;
};

}  // namespace bambooquay
