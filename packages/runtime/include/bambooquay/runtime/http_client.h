// An HTTP/1.1 client over http-parser and bufferevents: pooled connections,
// bodies delivered in parts, and an ending that tells whether the request can
// have been run.
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

/// How a call ended.
enum class HttpEnding : std::uint8_t {
  kComplete,  ///< The whole response arrived.
  kNotSent,   ///< No connection was made: the request cannot have run.
  kBroken,    ///< The connection failed after the request may have been sent.
  kTimedOut,  ///< Nothing moved for the idle timeout.
};

/// Receives the parts of one response.
class HttpObserver {
 public:
  HttpObserver() = default;
  HttpObserver(const HttpObserver&) = delete;
  HttpObserver& operator=(const HttpObserver&) = delete;
  virtual ~HttpObserver() = default;

  /// @returns whether a response with these headers answers this call. The
  /// client skips a response that does not, such as a late second answer to
  /// an earlier call on the same connection.
  [[nodiscard]] virtual bool Accepts(const HttpHeaders& /*headers*/) {
    return true;
  }
  virtual void OnHead(int status, const HttpHeaders& headers) = 0;
  virtual void OnPart(std::string_view bytes) = 0;
  /// The last call for this response.
  virtual void OnEnd(HttpEnding ending) = 0;
};

/// A call under way; destroying it cancels it without an OnEnd and closes its
/// connection.
class HttpCall {
 public:
  HttpCall() = default;
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  virtual ~HttpCall() = default;

  /// Stops or resumes reading from the peer, for back-pressure.
  virtual void SetPaused(bool paused) = 0;
};

/// Timeouts and reuse of one client's connections.
struct HttpClientSettings {
  /// A connection that is not made within this time counts as kNotSent.
  Duration connect_timeout = std::chrono::seconds(5);
  /// Bytes that a peer does not acknowledge for this long break the
  /// connection; zero keeps the system's default.
  Duration unacknowledged_limit = std::chrono::seconds(5);
  /// An idle connection is kept for this long at most.
  Duration max_idle = std::chrono::seconds(10);
  /// Idle connections kept for each peer.
  std::size_t max_idle_connections = 32;
};

/// Whether a call may use a connection that has served other calls.
enum class ConnectionReuse : std::uint8_t {
  kAllowed,
  /// Only one that was used a moment ago: for calls that cannot be repeated,
  /// which a peer's close of an idle connection would leave in doubt.
  kRecent,
  /// A new connection, closed after the call.
  kNone,
};

/// Makes calls and keeps their connections for later ones.
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

  /// Starts a call. `observer` must outlive the returned call, and the call
  /// must not outlive the client.
  [[nodiscard]] std::unique_ptr<HttpCall> Start(const Endpoint& endpoint,
                                                const HttpRequest& request,
                                                Duration idle_timeout,
                                                ConnectionReuse reuse,
                                                HttpObserver& observer);
  void CloseAllIdle() noexcept;
  /// @returns the number of connections opened so far.
  [[nodiscard]] std::size_t opened() const noexcept { return m_opened; }
  /// @returns whether a call to `endpoint` needs no new connection.
  [[nodiscard]] bool HasIdle(const Endpoint& endpoint) const;
  [[nodiscard]] std::size_t idle_count() const noexcept;
  [[nodiscard]] EventLoop& loop() noexcept { return m_loop; }

 private:
  friend class HttpClientConnection;
  friend class PooledCall;

  std::unique_ptr<HttpClientConnection> TakeIdle(const Endpoint& endpoint,
                                                 ConnectionReuse reuse);
  void Keep(std::unique_ptr<HttpClientConnection> connection);
  void DropIdle(HttpClientConnection& connection);
  void CloseExpired();

  EventLoop& m_loop;
  HttpClientSettings m_settings;
  std::map<Endpoint, std::list<std::unique_ptr<HttpClientConnection>>> m_idle;
  std::unique_ptr<Timer> m_sweep;
  std::size_t m_opened = 0;
};

/// Starts a call on a connection of its own. `observer` must outlive the
/// returned call.
[[nodiscard]] std::unique_ptr<HttpCall> StartHttpCall(
    EventLoop& loop, const Endpoint& endpoint, const HttpRequest& request,
    Duration idle_timeout, HttpObserver& observer);

using HttpResult = std::variant<HttpResponse, HttpEnding>;

/// Fetches a whole response; destroying the returned call cancels it.
[[nodiscard]] std::unique_ptr<HttpCall> FetchHttp(
    EventLoop& loop, const Endpoint& endpoint, const HttpRequest& request,
    Duration idle_timeout, std::function<void(HttpResult)> done);
/// The same over a pooled connection.
[[nodiscard]] std::unique_ptr<HttpCall> FetchHttp(
    HttpClient& client, const Endpoint& endpoint, const HttpRequest& request,
    Duration idle_timeout, std::function<void(HttpResult)> done);

}  // namespace bambooquay
