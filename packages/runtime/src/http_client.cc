// An HTTP/1.1 client with pooled connections.
#include "bambooquay/runtime/http_client.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "http_client_connection.h"

namespace bambooquay {
namespace {

// Interval at which idle connections are checked against the time limit.
constexpr Duration kSweepPeriod = std::chrono::seconds(1);

// A response that is larger than this, or takes longer than this multiple of
// the idle timeout, has no end.
constexpr std::size_t kMaxBufferedBytes = 8 * 1024 * 1024;
constexpr int kMaxIdleTimeouts = 2;

/// A call that buffers the response, for FetchHttp().
class BufferedCall final : public HttpCall, private HttpObserver {
 public:
  explicit BufferedCall(std::function<void(HttpResult)> done)
      : m_done(std::move(done)) {}

  void Start(EventLoop& loop, const Endpoint& endpoint,
             const HttpRequest& request, Duration idle_timeout) {
    LimitTime(loop, idle_timeout);
    m_call = StartHttpCall(loop, endpoint, request, idle_timeout, *this);
  }
  void Start(HttpClient& client, const Endpoint& endpoint,
             const HttpRequest& request, Duration idle_timeout) {
    LimitTime(client.loop(), idle_timeout);
    m_call = client.Start(endpoint, request, idle_timeout,
                          ConnectionReuse::kAllowed, *this);
  }

  void SetPaused(bool paused) override { m_call->SetPaused(paused); }
  [[nodiscard]] bool HasUnreadInput() const override {
    return m_call->HasUnreadInput();
  }

 private:
  void OnHead(int status, const HttpHeaders& headers) override {
    m_response.status = status;
    m_response.headers = headers;
  }
  void OnPart(std::string_view bytes) override {
    m_response.body += bytes;
    if (m_response.body.size() > kMaxBufferedBytes) {
      GiveUp(HttpOutcome::kBroken);
    }
  }
  void LimitTime(EventLoop& loop, Duration idle_timeout) {
    m_limit_timer = loop.After(idle_timeout * kMaxIdleTimeouts, [this, &loop] {
      m_limit_timer =
          loop.AfterInput([this] { GiveUp(HttpOutcome::kTimedOut); },
                          [this] { return m_call->HasUnreadInput(); });
    });
  }
  /// Closes the connection and ends the call.
  void GiveUp(HttpOutcome outcome) {
    m_call = nullptr;
    OnEnd(outcome);
  }
  void OnEnd(HttpOutcome outcome) override {
    m_limit_timer = nullptr;
    // The callback may destroy this object.
    const auto done = std::move(m_done);
    if (outcome == HttpOutcome::kComplete) {
      done(std::move(m_response));
    } else {
      done(outcome);
    }
  }

  HttpResponse m_response;
  std::function<void(HttpResult)> m_done;
  std::unique_ptr<Timer> m_limit_timer;
  std::unique_ptr<HttpCall> m_call;
};

}  // namespace

/// A call that returns its connection to the client's pool when it ends.
/// Without a client the connection is closed instead.
class PooledCall final : public HttpCall {
 public:
  PooledCall(HttpClient* client,
             std::unique_ptr<HttpClientConnection> connection)
      : m_client(client), m_connection(std::move(connection)) {}
  ~PooledCall() override {
    if (m_connection != nullptr) {
      m_connection->on_end = nullptr;
    }
  }

  void Send(const HttpRequest& request, Duration idle_timeout, bool keep_alive,
            HttpObserver& observer) {
    m_connection->on_end = [this](HttpOutcome /*outcome*/) { Release(); };
    m_connection->Send(request, idle_timeout, keep_alive, observer);
  }

  void SetPaused(bool paused) override {
    if (m_connection != nullptr) {
      m_connection->SetPaused(paused);
    }
  }
  [[nodiscard]] bool HasUnreadInput() const override {
    return m_connection != nullptr && m_connection->HasUnreadInput();
  }

 private:
  // Called from a callback of the connection, which must not be destroyed
  // before the callback returns.
  void Release() {
    EventLoop& loop = m_connection->loop();
    if (m_client != nullptr && m_connection->IsReusable(loop.clock().Now())) {
      m_client->AddIdle(std::move(m_connection));
      return;
    }
    const std::shared_ptr<HttpClientConnection> closed_connection =
        std::move(m_connection);
    loop.Post([closed_connection] {});
  }

  HttpClient* m_client;
  std::unique_ptr<HttpClientConnection> m_connection;
};

HttpClient::HttpClient(EventLoop& loop, const HttpClientSettings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_sweep_timer(loop.Every(kSweepPeriod, [this] { CloseExpired(); })) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::Start(const Endpoint& endpoint,
                                            const HttpRequest& request,
                                            Duration idle_timeout,
                                            ConnectionReuse reuse,
                                            HttpObserver& observer) {
  const bool keep_alive = reuse != ConnectionReuse::kNone;
  std::unique_ptr<HttpClientConnection> connection;
  if (keep_alive) {
    connection = TakeIdle(endpoint, reuse);
  }
  if (connection == nullptr) {
    ++m_opened_connection_count;
    connection = std::make_unique<HttpClientConnection>(m_loop, m_settings,
                                                        endpoint, this);
  }
  auto call = std::make_unique<PooledCall>(this, std::move(connection));
  call->Send(request, idle_timeout, keep_alive, observer);
  return call;
}

bool HttpClient::HasIdleConnection(const Endpoint& endpoint) const {
  const auto found = m_idle_connections.find(endpoint);
  return found != m_idle_connections.end() && !found->second.empty() &&
         found->second.back()->IsReusable(m_loop.clock().Now());
}

std::size_t HttpClient::idle_connection_count() const noexcept {
  return std::accumulate(m_idle_connections.begin(), m_idle_connections.end(),
                         std::size_t{0}, [](std::size_t sum, const auto& item) {
                           return sum + item.second.size();
                         });
}

void HttpClient::CloseIdleConnections() noexcept { m_idle_connections.clear(); }

std::unique_ptr<HttpClientConnection> HttpClient::TakeIdle(
    const Endpoint& endpoint, ConnectionReuse reuse) {
  const auto found = m_idle_connections.find(endpoint);
  if (found == m_idle_connections.end()) {
    return nullptr;
  }
  const TimePoint now = m_loop.clock().Now();
  auto& connections = found->second;
  while (!connections.empty()) {
    // Starts with the most recently used connection, which the peer is the
    // least likely to have closed.
    if (reuse == ConnectionReuse::kRecentlyUsedOnly &&
        !connections.back()->WasUsedRecently(now)) {
      return nullptr;
    }
    auto connection = std::move(connections.back());
    connections.pop_back();
    // Unread input is the close by the peer, or bytes that nobody asked for.
    if (connection->IsReusable(now) && !connection->HasUnreadInput()) {
      return connection;
    }
  }
  return nullptr;
}

void HttpClient::AddIdle(std::unique_ptr<HttpClientConnection> connection) {
  auto& connections = m_idle_connections[connection->endpoint()];
  connections.push_back(std::move(connection));
  if (connections.size() > m_settings.max_idle_connections) {
    connections.pop_front();
  }
}

void HttpClient::RemoveIdle(HttpClientConnection& connection) {
  const auto found = m_idle_connections.find(connection.endpoint());
  if (found == m_idle_connections.end()) {
    return;
  }
  auto& connections = found->second;
  const auto position = std::ranges::find(
      connections, &connection, &std::unique_ptr<HttpClientConnection>::get);
  if (position == connections.end()) {
    return;
  }
  // Called from a callback of the connection, which must not be destroyed
  // before the callback returns.
  const std::shared_ptr<HttpClientConnection> removed_connection =
      std::move(*position);
  connections.erase(position);
  m_loop.Post([removed_connection] {});
}

void HttpClient::CloseExpired() {
  const TimePoint now = m_loop.clock().Now();
  for (auto& [endpoint, connections] : m_idle_connections) {
    std::erase_if(connections, [&](const auto& connection) {
      return !connection->IsReusable(now);
    });
  }
  std::erase_if(m_idle_connections,
                [](const auto& item) { return item.second.empty(); });
}

std::unique_ptr<HttpCall> StartHttpCall(EventLoop& loop,
                                        const Endpoint& endpoint,
                                        const HttpRequest& request,
                                        Duration idle_timeout,
                                        HttpObserver& observer) {
  auto call = std::make_unique<PooledCall>(
      nullptr, std::make_unique<HttpClientConnection>(
                   loop, HttpClientSettings{}, endpoint, nullptr));
  call->Send(request, idle_timeout, false, observer);
  return call;
}

std::unique_ptr<HttpCall> FetchHttp(EventLoop& loop, const Endpoint& endpoint,
                                    const HttpRequest& request,
                                    Duration idle_timeout,
                                    std::function<void(HttpResult)> done) {
  auto call = std::make_unique<BufferedCall>(std::move(done));
  call->Start(loop, endpoint, request, idle_timeout);
  return call;
}

std::unique_ptr<HttpCall> FetchHttp(HttpClient& client,
                                    const Endpoint& endpoint,
                                    const HttpRequest& request,
                                    Duration idle_timeout,
                                    std::function<void(HttpResult)> done) {
  auto call = std::make_unique<BufferedCall>(std::move(done));
  call->Start(client, endpoint, request, idle_timeout);
  return call;
}

}  // namespace bambooquay
