// An HTTP/1.1 server based on http-parser and bufferevents. It limits the sizes
// of headers and bodies, the number of connections, the memory that all of them
// take and the time that callers may take, and applies back-pressure to
// streamed responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "bambooquay/core/clock.h"
#include "bambooquay/runtime/connection_budget.h"
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
  /// While this many connections are open, another one is accepted only if one
  /// gives way that is idle or whose request has not arrived completely.
  std::size_t max_connections = 4096;
  /// Bytes that all connections may hold together: requests, responses that are
  /// not written yet, and buffers. At least kMinHeldBodies times max_body_bytes
  /// are allowed, so that a single request can always be served.
  std::size_t max_held_bytes = std::size_t{64} * 1024 * 1024;
  static constexpr std::size_t kMinHeldBodies = 4;
  /// A connection that sends and receives no bytes for this long is closed,
  /// unless it waits for its handler to write the response.
  Duration idle_timeout = std::chrono::seconds(60);
  /// A request whose header is not complete this long after its first byte is
  /// answered with 408.
  Duration header_timeout = std::chrono::seconds(30);
};

/// One request and its response. Destroying it before a response was started
/// sends 500; destroying it during a streamed response closes the connection.
class HttpExchange {
 public:
  HttpExchange(HttpServerConnection* connection, HttpRequest request);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  [[nodiscard]] const HttpRequest& request() const noexcept {
    return m_request;
  }
  /// @returns whether the response is complete or the connection is closed.
  [[nodiscard]] bool closed() const noexcept { return m_connection == nullptr; }
  /// @returns whether a response or the head of a streamed response was sent.
  [[nodiscard]] bool started() const noexcept { return m_started; }
  /// Sets a callback that runs if the caller disconnects, or exceeds the idle
  /// timeout, before the response is complete.
  void OnDisconnect(std::function<void()> handler) {
    m_on_disconnect = std::move(handler);
  }

  /// Sends a complete response. Does nothing if a response was started before.
  void Respond(int status, const HttpHeaders& headers, std::string_view body);
  /// Sends the status and headers of a streamed response.
  void StartStream(int status, const HttpHeaders& headers);
  /// Sends a part of the body of a streamed response.
  /// @param on_written  runs when the whole output buffer has been written
  ///   to the socket; not called if the caller disconnects first.
  void SendPart(std::string_view part, std::function<void()> on_written);
  /// Completes a streamed response.
  void EndStream();
  /// Closes the connection at once, so that the caller sees that the response
  /// is incomplete.
  void Abort();

 private:
  friend class HttpServerConnection;

  /// Null once the response is complete or the connection is closed.
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
///   exchange->Respond(200, {}, "hello\n");
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
  /// Accepts the connections that wait for it, and no more. Open connections
  /// continue.
  void StopListening();
  /// From now on each response says that its connection closes after it. Idle
  /// connections stay open, and new ones are accepted.
  void CloseAfterResponses() noexcept { m_is_closing = true; }
  /// Closes the connections on which no request has arrived and nothing was
  /// sent or received for `min_rest`: the first request of a new connection is
  /// on its way. A request that crosses the close is not read, so its caller
  /// may repeat it.
  void CloseIdleConnections(Duration min_rest);
  /// Replaces the limits, also for open connections. A request that has begun
  /// to arrive keeps a larger limit, and a connection a longer idle timeout
  /// until its next response.
  void SetLimits(const HttpServerLimits& limits);
  /// Sets a function that returns the organisation whose headers a request has,
  /// or an empty string. Connections of one organisation are charged together,
  /// others by their addresses. Called only for requests that arrive in parts.
  void SetOrganisationSource(
      std::function<std::string(const HttpHeaders&)> source) {
    m_organisation_of = std::move(source);
  }
  /// Sets a callback that runs for each connection that is closed, or whose
  /// request is refused, because of a limit on what callers may send or hold.
  /// Gets a word for the limit, as used in metrics.
  void OnLimitExceeded(std::function<void(std::string_view)> handler) {
    m_on_limit_exceeded = std::move(handler);
  }
  /// Sets a callback that runs for each connection that the server ends while
  /// its caller could still use it. Gets the reason, as used in metrics.
  void OnConnectionClosed(std::function<void(std::string_view)> handler) {
    m_on_connection_closed = std::move(handler);
  }
  /// @returns the number of bytes that all connections hold.
  [[nodiscard]] std::size_t held_bytes() const noexcept {
    return m_budget.held();
  }
  [[nodiscard]] std::size_t connection_count() const noexcept {
    return m_connections.size();
  }
  /// @returns the number of connections with a partly received or unanswered
  ///   request, or with a response that is not fully written to the socket.
  [[nodiscard]] std::size_t busy_connection_count() const noexcept;

 private:
  friend class HttpServerConnection;

  static void HandleAccept(evconnlistener* listener, int socket,
                           sockaddr* address, int length, void* self);
  static void HandleAcceptError(evconnlistener* listener, void* self);
  void Add(int socket, const sockaddr* address, int length);
  /// Accepts connections that wait for it, as far as there is room.
  void AcceptWaiting();
  void Remove(HttpServerConnection& connection);
  /// @param action  may remove its connection.
  void ForEachConnection(
      const std::function<void(HttpServerConnection&)>& action);
  /// Accepts connections as long as there is room for another one.
  void UpdateListener();
  /// Lets connections give way until there is room for another one.
  void MakeRoom();
  /// Logs and counts that a connection exceeds a limit.
  void ReportLimitExceeded(const HttpServerConnection& connection,
                           std::string_view limit);
  void CountClosedConnection(std::string_view reason) const {
    if (m_on_connection_closed) {
      m_on_connection_closed(reason);
    }
  }
  /// Checks all connections against the time limits.
  /// @param now  by which the limits are judged. All input that had arrived
  ///   by then was handled.
  void CloseExpired(TimePoint now);

  EventLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  ConnectionBudget m_budget;
  std::function<std::string(const HttpHeaders&)> m_organisation_of;
  std::function<void(std::string_view)> m_on_limit_exceeded;
  std::function<void(std::string_view)> m_on_connection_closed;
  evconnlistener* m_listener = nullptr;
  std::list<std::unique_ptr<HttpServerConnection>> m_connections;
  std::unique_ptr<Timer> m_sweep_timer;
  TimePoint m_last_sweep_at;
  /// How much later than planned the last sweep began.
  Duration m_sweep_delay{};
  bool m_is_closing = false;
};

}  // namespace bambooquay
