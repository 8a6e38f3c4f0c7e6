// An HTTP/1.1 server based on http-parser and bufferevents.
#include "bambooquay/runtime/http_server.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "http_server_connection.h"
#include "socket_address.h"

namespace bambooquay {
namespace {

// Interval at which connections are checked against the time limits.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
// Maximum number of connections that wait to be accepted.
constexpr int kListenBacklog = 1024;

ConnectionBudgetLimits BudgetLimits(const HttpServerLimits& limits) {
  return {std::max(limits.max_held_bytes,
                   HttpServerLimits::kMinHeldBodies * limits.max_body_bytes),
          limits.max_connections};
}

}  // namespace

HttpExchange::HttpExchange(HttpServerConnection* connection,
                           HttpRequest request)
    : m_connection(connection), m_request(std::move(request)) {}

HttpExchange::~HttpExchange() {
  if (!m_started) {
    Respond(ToCode(HttpStatus::kInternalError), {}, "");
  }
  Abort();
}

void HttpExchange::Respond(int status, const HttpHeaders& headers,
                           std::string_view body) {
  if (m_started) {
    return;
  }
  m_started = true;
  if (auto* connection = std::exchange(m_connection, nullptr)) {
    connection->WriteResponse(status, headers, body);
  }
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers) {
  m_started = true;
  if (m_connection != nullptr) {
    m_connection->WriteStreamHead(status, headers);
  }
}

void HttpExchange::SendPart(std::string_view part,
                            std::function<void()> on_written) {
  if (m_connection != nullptr) {
    m_on_written = std::move(on_written);
    m_connection->WritePart(part);
  }
}

void HttpExchange::EndStream() {
  m_on_written = nullptr;
  if (auto* connection = std::exchange(m_connection, nullptr)) {
    connection->FinishStream();
  }
}

void HttpExchange::Abort() {
  m_started = true;
  m_on_written = nullptr;
  if (auto* connection = std::exchange(m_connection, nullptr)) {
    connection->AbortResponse();
  }
}

HttpServer::HttpServer(EventLoop& loop, const HttpServerLimits& limits,
                       Handler handler)
    : m_loop(loop),
      m_limits(limits),
      m_handler(std::move(handler)),
      m_budget(loop.clock(), BudgetLimits(limits)),
      m_sweep_timer(loop.EveryAfterInput(
          kSweepPeriod, [this](TimePoint now) { CloseExpired(now); })),
      m_last_sweep_at(loop.clock().Now()) {}

HttpServer::~HttpServer() {
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
}

bool HttpServer::Listen(const Endpoint& endpoint) {
  const auto address = ToSocketAddress(endpoint);
  if (!address.has_value()) {
    return false;
  }
  m_listener = evconnlistener_new_bind(
      m_loop.base(), &HttpServer::HandleAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kListenBacklog, address->get(),
      static_cast<int>(address->length));
  if (m_listener == nullptr) {
    return false;
  }
  evconnlistener_set_error_cb(m_listener, &HttpServer::HandleAcceptError);
  return true;
}

std::uint16_t HttpServer::port() const {
  SocketAddress address;
  if (m_listener == nullptr ||
      getsockname(evconnlistener_get_fd(m_listener), address.get(),
                  &address.length) != 0) {
    return 0;
  }
  return ToEndpoint(address).port;
}

void HttpServer::StopListening() {
  if (m_listener != nullptr) {
    // The close of the listening socket resets those that wait.
    AcceptWaiting();
    evconnlistener_free(std::exchange(m_listener, nullptr));
  }
}

void HttpServer::AcceptWaiting() {
  const int listening = evconnlistener_get_fd(m_listener);
  while (m_budget.HasDescriptor()) {
    SocketAddress peer;
    const int socket = accept4(listening, peer.get(), &peer.length,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
      Add(socket, peer.get(), static_cast<int>(peer.length));
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

void HttpServer::CloseIdleConnections(Duration min_rest) {
  ForEachConnection([min_rest](HttpServerConnection& connection) {
    connection.CloseIfIdle(min_rest);
  });
}

void HttpServer::ForEachConnection(
    const std::function<void(HttpServerConnection&)>& action) {
  for (auto it = m_connections.begin(); it != m_connections.end();) {
    // The connection may remove itself from the list.
    const auto current = it++;
    action(**current);
  }
}

std::size_t HttpServer::busy_connection_count() const noexcept {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_connections,
      [](const auto& connection) { return connection->IsBusy(); }));
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  m_limits = limits;
  std::ranges::for_each(m_connections, [](const auto& connection) {
    connection->UpdateLimits();
  });
  m_budget.SetLimits(BudgetLimits(limits));
}

void HttpServer::HandleAccept(evconnlistener* /*listener*/, int socket,
                              sockaddr* address, int length, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  server->Add(socket, address, length);
  server->MakeRoom();
  server->m_budget.Enforce();
}

void HttpServer::Add(int socket, const sockaddr* address, int length) {
  SocketAddress peer;
  peer.length = std::min(static_cast<socklen_t>(length), peer.length);
  std::memcpy(&peer.storage, address, peer.length);
  m_connections.push_back(std::make_unique<HttpServerConnection>(
      *this, socket, ToEndpoint(peer).host));
  m_connections.back()->m_list_position = std::prev(m_connections.end());
}

void HttpServer::HandleAcceptError(evconnlistener* listener, void* self) {
  const int error = EVUTIL_SOCKET_ERROR();
  auto* server = static_cast<HttpServer*>(self);
  const bool has_freed = server->m_budget.FreeDescriptor();
  LogEvent(LogLevel::kWarning, "accept_failed")
      .With("error", evutil_socket_error_to_string(error))
      .With("connections", server->m_connections.size())
      .With("closed", has_freed ? 1 : 0);
  if (!has_freed) {
    // Enabled again when a connection ends, or after a while.
    evconnlistener_disable(listener);
  }
}

void HttpServer::Remove(HttpServerConnection& connection) {
  m_connections.erase(connection.m_list_position);
  UpdateListener();
}

void HttpServer::UpdateListener() {
  if (m_listener == nullptr) {
    return;
  }
  if (m_budget.HasDescriptor()) {
    evconnlistener_enable(m_listener);
  } else {
    evconnlistener_disable(m_listener);
  }
}

void HttpServer::MakeRoom() {
  while (!m_budget.HasDescriptor() && m_budget.FreeDescriptor()) {
  }
  UpdateListener();
}

void HttpServer::ReportLimitExceeded(const HttpServerConnection& connection,
                                     std::string_view limit) {
  LogEvent(LogLevel::kInfo, "caller_limit_exceeded")
      .With("limit", limit)
      .With("group", connection.group())
      .With("held", connection.held())
      .With("all_held", m_budget.held())
      .With("connections", m_connections.size());
  if (m_on_limit_exceeded) {
    m_on_limit_exceeded(limit);
  }
}

void HttpServer::CloseExpired(TimePoint now) {
  m_sweep_delay =
      std::max(now - m_last_sweep_at - kSweepPeriod, Duration::zero());
  m_last_sweep_at = now;
  ForEachConnection([now](HttpServerConnection& connection) {
    connection.CloseIfExpired(now);
  });
  MakeRoom();
}

}  // namespace bambooquay
