// A connection of the HTTP server.
#include "http_server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

// At most this many bytes are read from the caller before they are handled.
constexpr std::size_t kReadAheadBytes = 32 * 1024;
// The same while a request is served, which never gives way. Leaves room for
// blanks behind a request, after which the end of a connection is still seen.
constexpr std::size_t kPipelinedBytes = 1024;
// The connection is closed when its caller has sent nothing for this long after
// the last response on it,
constexpr Duration kLingerTime = std::chrono::seconds(1);
// or has kept sending for this long. Many callers read a refusal only when they
// have sent their body.
constexpr Duration kMaxLingerTime = std::chrono::seconds(10);
// How many bytes it may send meanwhile, besides the rest of a body.
constexpr std::size_t kMaxLingerBytes = std::size_t{256} * 1024;
// The next pipelined request waits while this many bytes of earlier responses
// are not written.
constexpr std::size_t kMaxUnwrittenBytes = std::size_t{64} * 1024;
// What a connection takes besides its buffers.
constexpr std::size_t kConnectionBytes = 4096;
// A body up to this size fits into the buffers of the upstream's socket. While
// a larger one is being served, what is not sent yet is a second copy.
constexpr std::size_t kSocketBufferBytes = std::size_t{64} * 1024;
constexpr std::size_t kFirstBodyBytes = std::size_t{16} * 1024;
// A body's memory grows by one part in this many.
constexpr std::size_t kGrowthDivisor = 2;
// In seconds.
constexpr const char* kRetryAfter = "1";

HttpServerConnection& Self(http_parser* parser) {
  return *static_cast<HttpServerConnection*>(parser->data);
}

}  // namespace

HttpServerConnection::HttpServerConnection(HttpServer& server,
                                           evutil_socket_t socket,
                                           std::string address)
    : BudgetedConnection(server.m_budget, std::move(address)),
      m_server(server),
      m_stream(bufferevent_socket_new(server.m_loop.base(), socket,
                                      BEV_OPT_DEFER_CALLBACKS)),
      m_headers(server.m_limits.max_header_bytes),
      m_max_discarded_bytes(kMaxLingerBytes),
      m_state_since(server.m_loop.clock().Now()),
      m_last_activity(m_state_since),
      m_limits(server.m_limits) {
  SetSocketOptions(socket, Duration::zero());
  http_parser_init(&m_parser, HTTP_REQUEST);
  m_parser.data = this;
  bufferevent_setcb(m_stream, &HttpServerConnection::HandleRead,
                    &HttpServerConnection::HandleWrite,
                    &HttpServerConnection::HandleEvent, this);
  bufferevent_setwatermark(m_stream, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
  UpdateHeld();
}

HttpServerConnection::~HttpServerConnection() {
  if (m_exchange != nullptr) {
    m_exchange->m_connection = nullptr;
    m_exchange->m_on_written = nullptr;
  }
  // Closed here, as bufferevent_free() does it only after the current callback,
  // in which many other connections may be accepted.
  const evutil_socket_t socket = bufferevent_getfd(m_stream);
  bufferevent_setfd(m_stream, -1);
  evutil_closesocket(socket);
  bufferevent_free(m_stream);
}

const http_parser_settings& HttpServerConnection::ParserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings{};
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* parser, const char* data, size_t size) {
      Self(parser).m_target.append(data, size);
      return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* data,
                                  size_t size) {
      return Self(parser).m_headers.OnField({data, size}) ? 0 : -1;
    };
    settings.on_header_value = [](http_parser* parser, const char* data,
                                  size_t size) {
      return Self(parser).m_headers.OnValue({data, size}) ? 0 : -1;
    };
    settings.on_headers_complete = &HttpServerConnection::HandleHeadersComplete;
    settings.on_body = &HttpServerConnection::HandleBody;
    settings.on_message_complete = &HttpServerConnection::HandleMessageComplete;
    return settings;
  }();
  return kSettings;
}

int HttpServerConnection::HandleHeadersComplete(http_parser* parser) {
  HttpServerConnection& self = Self(parser);
  const HttpHeaders& headers = self.m_headers.headers();
  if (!HasUnambiguousFraming(headers)) {
    self.m_refusal_status = ToCode(HttpStatus::kBadRequest);
    return -1;
  }
  const bool has_length = parser->content_length != ULLONG_MAX;
  if (has_length && parser->content_length > self.m_limits.max_body_bytes) {
    self.m_refusal_status = ToCode(HttpStatus::kPayloadTooLarge);
    return -1;
  }
  self.m_body_limit = has_length
                          ? static_cast<std::size_t>(parser->content_length)
                          : self.m_limits.max_body_bytes;
  if (headers.Get("Expect") == "100-continue") {
    AppendBytes(self.output(), "HTTP/1.1 100 Continue\r\n\r\n");
  }
  // Protocol upgrades are not supported; the request is handled as usual.
  parser->upgrade = 0;
  return 0;
}

int HttpServerConnection::HandleBody(http_parser* parser, const char* data,
                                     size_t size) {
  HttpServerConnection& self = Self(parser);
  if (self.m_body.size() + size > self.m_limits.max_body_bytes) {
    self.m_refusal_status = ToCode(HttpStatus::kPayloadTooLarge);
    return -1;
  }
  self.ReserveBody(size);
  self.m_body.append(data, size);
  return 0;
}

int HttpServerConnection::HandleMessageComplete(http_parser* parser) {
  Self(parser).m_request_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

void HttpServerConnection::HandleRead(bufferevent* /*stream*/, void* self) {
  auto* connection = static_cast<HttpServerConnection*>(self);
  HttpServer& server = connection->m_server;
  if (connection->m_state == State::kFlushing ||
      connection->m_state == State::kLingering) {
    connection->Discard();
    return;
  }
  connection->RecordActivity();
  // May destroy the connection, as the handler may.
  connection->Parse();
  server.m_budget.Enforce();
}

void HttpServerConnection::RecordActivity() {
  m_last_activity = m_server.m_loop.clock().Now();
}

void HttpServerConnection::PrepareOutput() {
  if (evbuffer_get_length(output()) == 0) {
    RecordActivity();
  }
}

void HttpServerConnection::SetLimits(const HttpServerLimits& limits) {
  m_limits = limits;
  m_headers.SetLimit(limits.max_header_bytes);
}

void HttpServerConnection::UpdateLimits() {
  HttpServerLimits limits = m_server.m_limits;
  limits.idle_timeout = std::max(limits.idle_timeout, m_limits.idle_timeout);
  if (m_state != State::kIdle || HasArrivedRequest()) {
    limits.max_header_bytes =
        std::max(limits.max_header_bytes, m_limits.max_header_bytes);
    limits.max_body_bytes =
        std::max(limits.max_body_bytes, m_limits.max_body_bytes);
    limits.header_timeout =
        std::max(limits.header_timeout, m_limits.header_timeout);
  }
  SetLimits(limits);
}

void HttpServerConnection::Discard() {
  evbuffer* input = bufferevent_get_input(m_stream);
  m_discarded_bytes += evbuffer_get_length(input);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (m_state == State::kLingering) {
    RecordActivity();
  }
  if (m_discarded_bytes > m_max_discarded_bytes) {
    Close();
  }
}

void HttpServerConnection::ReserveBody(std::size_t part) {
  const std::size_t needed = m_body.size() + part;
  if (needed <= m_body.capacity()) {
    return;
  }
  const std::size_t wanted =
      std::max({needed, m_body.capacity() + m_body.capacity() / kGrowthDivisor,
                kFirstBodyBytes});
  std::string grown;
  grown.reserve(std::max(needed, std::min(wanted, m_body_limit)));
  grown.append(m_body);
  m_body = std::move(grown);
}

void HttpServerConnection::SetState(State state) {
  m_state = state;
  m_state_since = m_server.m_loop.clock().Now();
  m_response_bytes = evbuffer_get_length(output());
  switch (state) {
    case State::kIdle:
      SetPhase(evbuffer_get_length(output()) > 0 ? ConnectionPhase::kWriting
                                                 : ConnectionPhase::kIdle);
      break;
    case State::kReading:
      SetPhase(ConnectionPhase::kReading);
      break;
    case State::kResponding:
      SetPhase(ConnectionPhase::kServed);
      break;
    case State::kFlushing:
      SetPhase(ConnectionPhase::kWriting);
      break;
    case State::kLingering:
      SetPhase(ConnectionPhase::kRefused);
      break;
  }
  UpdateReading();
  UpdateHeld();
}

void HttpServerConnection::UpdateReading() {
  const std::size_t max_bytes =
      m_state == State::kResponding ? kPipelinedBytes : kReadAheadBytes;
  const bool waits = m_state == State::kResponding ||
                     (m_state == State::kIdle &&
                      evbuffer_get_length(output()) >= kMaxUnwrittenBytes);
  const bool reads = !waits || evbuffer_get_length(
                                   bufferevent_get_input(m_stream)) < max_bytes;
  bufferevent_setwatermark(m_stream, EV_READ, 0, max_bytes);
  // The watermark alone would call back without end while that much waits.
  if (reads != ((bufferevent_get_enabled(m_stream) & EV_READ) != 0)) {
    (reads ? bufferevent_enable : bufferevent_disable)(m_stream, EV_READ);
  }
}

void HttpServerConnection::CheckWritten() {
  const std::size_t unwritten = evbuffer_get_length(output());
  if (unwritten < m_unwritten_bytes) {
    // The write callback runs only once all is written.
    RecordActivity();
  }
  m_unwritten_bytes = unwritten;
  if (m_exchange == nullptr && unwritten > 0) {
    SetProgress(m_response_bytes - std::min(unwritten, m_response_bytes));
    UpdateHeld();
  }
}

void HttpServerConnection::UpdateHeld() {
  // The output of a response in progress is charged by the handler.
  const std::size_t unwritten =
      m_exchange == nullptr ? evbuffer_get_length(output()) : 0;
  SetHeld(kConnectionBytes + m_served_bytes + m_body.capacity() +
          m_target.capacity() + m_headers.headers().allocated_bytes() +
          evbuffer_get_length(bufferevent_get_input(m_stream)) + unwritten);
}

void HttpServerConnection::HandleWrite(bufferevent* stream, void* self) {
  auto* connection = static_cast<HttpServerConnection*>(self);
  connection->RecordActivity();
  if (evbuffer_get_length(bufferevent_get_output(stream)) > 0) {
    return;
  }
  if (connection->m_state == State::kFlushing) {
    connection->Linger();
  } else if (connection->m_state == State::kIdle) {
    connection->SetState(State::kIdle);
    connection->Parse();
  } else if (connection->m_exchange != nullptr) {
    // Moved out first, because the callback may send the next part.
    const auto on_written =
        std::exchange(connection->m_exchange->m_on_written, nullptr);
    if (on_written) {
      on_written();
    }
  }
}

void HttpServerConnection::HandleEvent(bufferevent* /*stream*/, short events,
                                       void* self) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<HttpServerConnection*>(self)->HandleDisconnect();
  }
}

void HttpServerConnection::Parse() {
  evbuffer* input = bufferevent_get_input(m_stream);
  while (m_exchange == nullptr && evbuffer_get_length(input) > 0 &&
         evbuffer_get_length(output()) < kMaxUnwrittenBytes) {
    if (m_state == State::kIdle) {
      SetState(State::kReading);
    }
    const std::size_t length = evbuffer_get_length(input);
    const auto* bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const std::size_t parsed =
        http_parser_execute(&m_parser, &ParserSettings(), bytes, length);
    evbuffer_drain(input, parsed);
    if (m_request_complete) {
      Dispatch();
      return;
    }
    if (m_headers.total_bytes() + m_target.size() > m_limits.max_header_bytes ||
        m_headers.has_overflowed() ||
        HTTP_PARSER_ERRNO(&m_parser) == HPE_HEADER_OVERFLOW) {
      Refuse(431, "header_too_large", "the header exceeds the limit");
      return;
    }
    if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
      if (m_refusal_status == ToCode(HttpStatus::kPayloadTooLarge)) {
        Refuse(m_refusal_status, "body_too_large",
               "the body exceeds " + std::to_string(m_limits.max_body_bytes) +
                   " bytes");
      } else {
        Refuse(ToCode(HttpStatus::kBadRequest), "bad_http",
               "the request is not valid HTTP/1.1");
      }
      return;
    }
  }
  UpdateReading();
  if (m_state == State::kReading) {
    SetProgress(m_headers.total_bytes() + m_body.size());
    // Not asked for an ordinary request, as it costs time.
    const bool matters = m_body.size() > kSocketBufferBytes ||
                         (!m_body.empty() && m_server.m_budget.IsShort());
    if (!m_has_organisation && matters && m_server.m_organisation_of) {
      m_has_organisation = true;
      const std::string organisation =
          m_server.m_organisation_of(m_headers.headers());
      if (!organisation.empty()) {
        SetGroup(organisation);
      }
    }
  }
  UpdateHeld();
}

void HttpServerConnection::Dispatch() {
  m_request_complete = false;
  HttpRequest request;
  request.method = http_method_str(static_cast<http_method>(m_parser.method));
  request.target = std::exchange(m_target, {});
  request.headers = std::exchange(m_headers.headers(), {});
  request.body = std::exchange(m_body, {});
  if (request.headers.total_bytes() + request.target.size() >
      m_limits.max_header_bytes) {
    Refuse(431, "header_too_large", "the header exceeds the limit");
    return;
  }
  m_headers.Clear();
  m_keep_alive = http_should_keep_alive(&m_parser) != 0;
  m_chunked = m_parser.http_major > 1 || m_parser.http_minor >= 1;
  m_is_head_request = request.method == "HEAD";
  http_parser_pause(&m_parser, 0);
  m_has_organisation = false;
  m_served_bytes = request.body.capacity() + request.target.capacity() +
                   request.headers.allocated_bytes();
  if (request.body.size() > kSocketBufferBytes) {
    m_served_bytes += request.body.size();
  }
  const std::size_t pipelined =
      evbuffer_get_length(bufferevent_get_input(m_stream));
  if (!m_server.m_budget.MayServe(kConnectionBytes + m_served_bytes +
                                  pipelined)) {
    request = {};
    RefuseForNow();
    return;
  }
  SetState(State::kResponding);
  const auto exchange =
      std::make_shared<HttpExchange>(this, std::move(request));
  m_exchange = exchange.get();
  m_server.m_handler(exchange);
}

void HttpServerConnection::Refuse(int status, std::string_view code,
                                  std::string_view message) {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  if (status == ToCode(HttpStatus::kServiceUnavailable)) {
    headers.Add("Retry-After", kRetryAfter);
  }
  m_keep_alive = false;
  m_max_discarded_bytes = kMaxLingerBytes + m_limits.max_body_bytes;
  m_is_head_request = m_parser.method == HTTP_HEAD;
  // An assignment would keep the memory.
  std::string().swap(m_body);
  std::string().swap(m_target);
  m_headers.Clear();
  m_headers.headers().items.shrink_to_fit();
  evbuffer* input = bufferevent_get_input(m_stream);
  evbuffer_drain(input, evbuffer_get_length(input));
  std::string body = R"({"error":{"code":")";
  body += code;
  body += R"(","message":")";
  body += message;
  body += R"(","outcome":"not_run"}})";
  WriteResponse(status, headers, body);
}

void HttpServerConnection::RefuseForNow() {
  m_server.ReportLimitExceeded(*this, "memory");
  Refuse(ToCode(HttpStatus::kServiceUnavailable), "overloaded",
         "there is no room for the request");
}

void HttpServerConnection::GiveWay(YieldReason reason) {
  if (reason == YieldReason::kMemory && HasArrivedRequest()) {
    // The method of the request that has arrived is not known.
    m_parser.method = HTTP_GET;
    RefuseForNow();
    return;
  }
  if (reason == YieldReason::kMemory && m_state == State::kReading) {
    RefuseForNow();
    return;
  }
  const std::string_view limit =
      reason == YieldReason::kMemory ? "memory" : "connections";
  m_server.ReportLimitExceeded(*this, limit);
  ReportClose(limit);
  HandleDisconnect();
}

std::string HttpServerConnection::MakeHead(int status,
                                           const HttpHeaders& headers) {
  if (m_server.m_is_closing) {
    m_keep_alive = false;
  }
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     http_status_str(static_cast<http_status>(status)) + "\r\n";
  for (const HttpHeader& item : headers.items) {
    AppendHeader(head, item.name, item.value);
  }
  if (!m_keep_alive) {
    AppendHeader(head, "Connection", "close");
  }
  return head;
}

void HttpServerConnection::WriteResponse(int status, const HttpHeaders& headers,
                                         std::string_view body) {
  std::string response = MakeHead(status, headers);
  const bool has_body = status != ToCode(HttpStatus::kNoContent) &&
                        status != ToCode(HttpStatus::kNotModified);
  if (has_body) {
    AppendHeader(response, "Content-Length", std::to_string(body.size()));
  }
  response += "\r\n";
  if (has_body && !m_is_head_request) {
    response += body;
  }
  PrepareOutput();
  AppendBytes(output(), response);
  FinishResponse();
}

void HttpServerConnection::WriteStreamHead(int status,
                                           const HttpHeaders& headers) {
  if (!m_chunked) {
    m_keep_alive = false;
    // Only an orderly close says that the response is complete.
    SetResetOnClose(bufferevent_getfd(m_stream), true);
  }
  std::string head = MakeHead(status, headers);
  if (m_chunked) {
    AppendHeader(head, "Transfer-Encoding", "chunked");
  }
  PrepareOutput();
  AppendBytes(output(), head + "\r\n");
}

void HttpServerConnection::WritePart(std::string_view part) {
  if (part.empty() || m_is_head_request) {
    return;
  }
  PrepareOutput();
  if (m_chunked) {
    AppendChunk(output(), part);
  } else {
    AppendBytes(output(), part);
  }
}

void HttpServerConnection::FinishStream() {
  if (m_chunked && !m_is_head_request) {
    PrepareOutput();
    AppendBytes(output(), "0\r\n\r\n");
  }
  FinishResponse();
}

void HttpServerConnection::FinishResponse() {
  m_exchange = nullptr;
  m_served_bytes = 0;
  evbuffer* input = bufferevent_get_input(m_stream);
  if (!m_keep_alive) {
    evbuffer_drain(input, evbuffer_get_length(input));
    SetState(State::kFlushing);
    if (evbuffer_get_length(output()) == 0) {
      // No further write notifies the connection of that.
      Linger();
    }
    return;
  }
  SetState(State::kIdle);
  SetLimits(m_server.m_limits);
  if (evbuffer_get_length(input) > 0) {
    // Parses the next request after the current callback returns.
    bufferevent_trigger(m_stream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  }
}

void HttpServerConnection::Linger() {
  if (!m_chunked) {
    // The response is complete and written.
    SetResetOnClose(bufferevent_getfd(m_stream), false);
  }
  shutdown(bufferevent_getfd(m_stream), SHUT_WR);
  SetState(State::kLingering);
}

void HttpServerConnection::AbortResponse() {
  m_exchange = nullptr;
  Close();
}

void HttpServerConnection::CloseIfExpired(TimePoint now) {
  CheckWritten();
  const Duration time_in_state = now - m_state_since;
  const bool is_reading_header = m_state == State::kReading && m_body.empty() &&
                                 m_parser.content_length == ULLONG_MAX;
  const bool has_lingered =
      m_state == State::kLingering &&
      (now - m_last_activity > kLingerTime || time_in_state > kMaxLingerTime);
  if (has_lingered) {
    Close();
  } else if (is_reading_header && time_in_state > m_limits.header_timeout) {
    Refuse(ToCode(HttpStatus::kRequestTimeout), "header_timeout",
           "the request's header took too long");
  } else if (m_server.m_budget.IsTooSlow(*this)) {
    m_server.ReportLimitExceeded(*this, "rate");
    Refuse(ToCode(HttpStatus::kRequestTimeout), "body_timeout",
           "the request's body took too long");
  } else if (now - m_last_activity > m_limits.idle_timeout) {
    const bool is_waiting_for_handler =
        m_exchange != nullptr && evbuffer_get_length(output()) == 0;
    if (!is_waiting_for_handler && !HasArrivedRequest()) {
      ReportClose("idle");
      HandleDisconnect();
    }
  }
}

void HttpServerConnection::CloseIfIdle(Duration min_rest) {
  const bool rests =
      m_server.m_loop.clock().Now() - m_last_activity >= min_rest;
  if (rests && !IsBusy() && m_state == State::kIdle) {
    ReportClose("stopping");
    Close();
  }
}

bool HttpServerConnection::HasArrivedRequest() const {
  return m_state == State::kIdle && evbuffer_get_length(output()) == 0 &&
         UnreadBytes() > 0;
}

std::size_t HttpServerConnection::UnreadBytes() const {
  int in_socket = 0;
  if (ioctl(bufferevent_getfd(m_stream), FIONREAD, &in_socket) != 0) {
    in_socket = 0;
  }
  return evbuffer_get_length(bufferevent_get_input(m_stream)) +
         static_cast<std::size_t>(std::max(in_socket, 0));
}

void HttpServerConnection::ReportClose(std::string_view reason) {
  m_server.CountClosedConnection(reason);
  const std::size_t unread = UnreadBytes();
  const std::size_t unwritten = evbuffer_get_length(output());
  if (m_state == State::kIdle && unread == 0 && unwritten == 0) {
    return;
  }
  constexpr std::array kStates = {"idle", "reading", "responding", "flushing",
                                  "lingering"};
  LogEvent(LogLevel::kInfo, "caller_connection_closed")
      .With("reason", reason)
      .With("state", kStates.at(static_cast<std::size_t>(m_state)))
      .With("unread", unread)
      .With("unwritten", unwritten)
      .With("silent_ms", (m_server.m_loop.clock().Now() - m_last_activity) /
                             std::chrono::milliseconds(1))
      .With("idle_limit_ms",
            m_limits.idle_timeout / std::chrono::milliseconds(1))
      .With("sweep_late_ms",
            m_server.m_sweep_delay / std::chrono::milliseconds(1));
}

bool HttpServerConnection::IsBusy() const noexcept {
  return m_exchange != nullptr || m_state == State::kReading ||
         evbuffer_get_length(output()) > 0 || HasArrivedRequest();
}

void HttpServerConnection::HandleDisconnect() {
  std::function<void()> on_disconnect;
  if (m_exchange != nullptr) {
    on_disconnect = std::move(m_exchange->m_on_disconnect);
  }
  Close();
  if (on_disconnect) {
    on_disconnect();
  }
}

void HttpServerConnection::Close() { m_server.Remove(*this); }

evbuffer* HttpServerConnection::output() const {
  return bufferevent_get_output(m_stream);
}

}  // namespace bambooquay
