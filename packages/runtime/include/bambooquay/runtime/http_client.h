// An HTTP/1.1 client based on http-parser and bufferevents. It pools
// connections, streams response bodies, and reports for a failed call whether
// the server may have processed the request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string_view>
#include <variant>

#include "bambooquay/core/clock.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_types.h"

namespace bambooquay {

class HttpClientConnection;

/// How a call ended. Tells whether the server may have processed the request.
enum class HttpOutcome : std::uint8_t {
  kComplete,  ///< The whole response arrived.
  kNotSent,   ///< No connection was established: the server cannot have
              ///< received the request.
  kBroken,    ///< The connection failed or the response was malformed after
              ///< the request may have been sent.
  kTimedOut,  ///< Reading or writing made no progress for the idle timeout.
};

/// Whether a response belongs to the call that is waiting on its connection.
enum class ResponseMatch : std::uint8_t {
  kOwn,
  /// It belongs to another call, such as a late second response to an earlier
  /// one. The client discards it.
  kOther,
  /// It does not say which call it belongs to. It is the call's own if it is
  /// the first response on its connection; if not, the call is broken.
  kUnidentified,
};

/// Receives one response as it arrives.
class HttpObserver {
 public:
  HttpObserver() = default;
  HttpObserver(const HttpObserver&) = delete;
  HttpObserver& operator=(const HttpObserver&) = delete;
  virtual ~HttpObserver() = default;

  /// @returns whether a response with these headers belongs to this call.
  [[nodiscard]] virtual ResponseMatch Match(const HttpHeaders& /*headers*/) {
    return ResponseMatch::kOwn;
  }
  /// Called with the status code and headers, before any part of the body.
  virtual void OnHead(int status, const HttpHeaders& headers) = 0;
  /// Called with consecutive bytes of the body, as they arrive.
  virtual void OnPart(std::string_view bytes) = 0;
  /// Called once, after all other callbacks for this response.
  virtual void OnEnd(HttpOutcome outcome) = 0;
};

/// A call in progress. Destroying it cancels the call, closes its connection
/// and suppresses OnEnd().
class HttpCall {
 public:
  HttpCall() = default;
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  virtual ~HttpCall() = default;

  /// Pauses or resumes reading the response, to apply back-pressure.
  virtual void SetPaused(bool paused) = 0;
  /// @returns whether bytes or the end of the connection have arrived that the
  ///   observer has not heard of yet, as after a pause of the event loop.
  [[nodiscard]] virtual bool HasUnreadInput() const = 0;
};

/// Timeouts and limits of the connections of one client.
struct HttpClientSettings {
  /// A call whose connection is not established within this time ends with
  /// kNotSent.
  Duration connect_timeout = std::chrono::seconds(5);
  /// TCP_USER_TIMEOUT: a connection fails if sent bytes stay unacknowledged for
  /// this long. Zero keeps the system's default.
  Duration tcp_user_timeout = std::chrono::seconds(5);
  /// A connection that has been idle for this long is closed.
  Duration max_idle_time = std::chrono::seconds(10);
  /// Maximum number of idle connections for each endpoint.
  std::size_t max_idle_connections = 32;
};

/// Whether a call may reuse a pooled connection.
enum class ConnectionReuse : std::uint8_t {
  kAllowed,
  /// Allowed only if the connection was in use a moment ago. Meant for calls
  /// that must not be repeated: if the peer closed an idle connection just as
  /// the request was sent, the client could not tell whether the request was
  /// processed.
  kRecentlyUsedOnly,
  /// The call opens a new connection, which is closed after it.
  kNone,
};

/// Makes HTTP calls over a pool of connections.
///
/// @code
/// HttpClient client(loop, {});
/// auto call = client.Start(endpoint, request, std::chrono::seconds(2),
///                          ConnectionReuse::kAllowed, observer);
/// @endcode
class HttpClient {
 public:
  HttpClient(EventLoop& loop, const HttpClientSettings& settings);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Starts a call. `observer` and the client must outlive the returned call.
  /// @param idle_timeout  longest time for which reading or writing makes no
  ///   progress.
  [[nodiscard]] std::unique_ptr<HttpCall> Start(const Endpoint& endpoint,
                                                const HttpRequest& request,
                                                Duration idle_timeout,
                                                ConnectionReuse reuse,
                                                HttpObserver& observer);
  void CloseIdleConnections() noexcept;
  /// @returns the number of connections opened since construction.
  [[nodiscard]] std::size_t opened_connection_count() const noexcept {
    return m_opened_connection_count;
  }
  /// @returns whether a reusable idle connection to `endpoint` is available.
  [[nodiscard]] bool HasIdleConnection(const Endpoint& endpoint) const;
  [[nodiscard]] std::size_t idle_connection_count() const noexcept;
  [[nodiscard]] EventLoop& loop() noexcept { return m_loop; }

 private:
  friend class HttpClientConnection;
  friend class PooledCall;

  std::unique_ptr<HttpClientConnection> TakeIdle(const Endpoint& endpoint,
                                                 ConnectionReuse reuse);
  void AddIdle(std::unique_ptr<HttpClientConnection> connection);
  void RemoveIdle(HttpClientConnection& connection);
  void CloseExpired();

  EventLoop& m_loop;
  HttpClientSettings m_settings;
  std::map<Endpoint, std::list<std::unique_ptr<HttpClientConnection>>>
      m_idle_connections;
  std::unique_ptr<Timer> m_sweep_timer;
  std::size_t m_opened_connection_count = 0;
};

/// Starts a call on a new connection that is closed afterwards. `observer` must
/// outlive the returned call.
[[nodiscard]] std::unique_ptr<HttpCall> StartHttpCall(
    EventLoop& loop, const Endpoint& endpoint, const HttpRequest& request,
    Duration idle_timeout, HttpObserver& observer);

/// A complete response, or how the call failed (never kComplete).
using HttpResult = std::variant<HttpResponse, HttpOutcome>;

/// Makes a call on a new connection and buffers the response. Destroying the
/// returned call cancels it without running `done`.
[[nodiscard]] std::unique_ptr<HttpCall> FetchHttp(
    EventLoop& loop, const Endpoint& endpoint, const HttpRequest& request,
    Duration idle_timeout, std::function<void(HttpResult)> done);
/// Makes a call over a pooled connection and buffers the response.
[[nodiscard]] std::unique_ptr<HttpCall> FetchHttp(
    HttpClient& client, const Endpoint& endpoint, const HttpRequest& request,
    Duration idle_timeout, std::function<void(HttpResult)> done);

}  // namespace bambooquay
