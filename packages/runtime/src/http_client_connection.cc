// A connection of the HTTP client.
#include "http_client_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <poll.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "loop_time.h"
#include "socket_address.h"
#include "timeval.h"

namespace bambooquay {
namespace {

// Reading from the peer pauses while this many bytes are buffered.
constexpr std::size_t kReadAheadBytes = 32 * 1024;
// A peer with a longer head, or longer trailers, is in trouble.
constexpr std::size_t kMaxHeadBytes = 32 * 1024;
// Bytes that are no part of the response before the peer counts as broken.
constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;
// Fraction of the peer's announced idle timeout during which a connection is
// reused. The margin avoids sending a request while the peer closes the
// connection.
constexpr double kPeerIdleTimeFraction = 0.8;
// Fraction of the maximum idle time during which a connection counts as
// recently used.
constexpr double kRecentlyUsedFraction = 0.3;

HttpClientConnection& Self(http_parser* parser) {
  return *static_cast<HttpClientConnection*>(parser->data);
}

/// @returns whether responses with this status end with their head.
bool HasNoBody(unsigned int status) {
  return status / 100 == 1 || status == HTTP_STATUS_NO_CONTENT ||
         status == HTTP_STATUS_NOT_MODIFIED;
}

}  // namespace

HttpClientConnection::HttpClientConnection(EventLoop& loop,
                                           const HttpClientSettings& settings,
                                           const Endpoint& endpoint,
                                           HttpClient* client)
    : m_loop(loop),
      m_settings(settings),
      m_endpoint(endpoint),
      m_client(client),
      m_stream(bufferevent_socket_new(
          loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      m_headers(kMaxHeadBytes),
      m_max_idle_time(settings.max_idle_time) {
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
  bufferevent_setcb(m_stream, &HttpClientConnection::HandleRead, nullptr,
                    &HttpClientConnection::HandleEvent, this);
  bufferevent_setwatermark(m_stream, EV_READ, 0, kReadAheadBytes);
}

HttpClientConnection::~HttpClientConnection() {
  *m_alive = false;
  if (m_awaits_response) {
    // Withdraws the request if it has not been delivered: after an orderly
    // close it would still be sent once the path to the peer is back.
    SetResetOnClose(bufferevent_getfd(m_stream), true);
  }
  bufferevent_free(m_stream);
}

void HttpClientConnection::Connect() {
  const timeval timeout = ToTimeval(m_settings.connect_timeout);
  bufferevent_set_timeouts(m_stream, nullptr, &timeout);
  const auto address = ToSocketAddress(m_endpoint);
  if (!address.has_value() ||
      bufferevent_socket_connect(m_stream, address->get(),
                                 static_cast<int>(address->length)) != 0) {
    // Reported from the event loop, once the caller has received the call
    // object.
    m_failed = true;
    bufferevent_trigger_event(m_stream, BEV_EVENT_ERROR,
                              BEV_TRIG_DEFER_CALLBACKS);
    return;
  }
  SetSocketOptions(bufferevent_getfd(m_stream), m_settings.tcp_user_timeout);
}

void HttpClientConnection::Send(const HttpRequest& request,
                                Duration idle_timeout, bool keep_alive,
                                HttpObserver& observer) {
  StartTimeoutsNow(m_loop.base());
  m_observer = &observer;
  m_awaits_response = true;
  m_keep_alive = keep_alive;
  m_is_head_request = request.method == "HEAD";
  m_is_paused = false;
  m_discarded_bytes = 0;
  m_headers.Clear();
  AwaitResponse();

  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (request.headers.Get("Host").empty()) {
    AppendHeader(head, "Host", m_endpoint.ToString());
  }
  for (const HttpHeader& item : request.headers.items) {
    AppendHeader(head, item.name, item.value);
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT";
  if (has_body && request.headers.Get("Content-Length").empty()) {
    AppendHeader(head, "Content-Length", std::to_string(request.body.size()));
  }
  if (!keep_alive) {
    AppendHeader(head, "Connection", "close");
  }
  head += "\r\n";
  evbuffer* output = bufferevent_get_output(m_stream);
  AppendBytes(output, head);
  AppendBytes(output, request.body);
  if (!m_connected) {
    Connect();
  }
  const timeval read_timeout = ToTimeval(idle_timeout);
  const timeval write_timeout =
      ToTimeval(m_connected ? idle_timeout : m_settings.connect_timeout);
  bufferevent_set_timeouts(m_stream, &read_timeout, &write_timeout);
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

void HttpClientConnection::AwaitResponse() {
  m_head_complete = false;
  m_message_complete = false;
  m_is_skipping_response = false;
  m_status_line.Clear();
  m_line_ends.Clear();
}

void HttpClientConnection::SetPaused(bool paused) {
  m_is_paused = paused;
  if (paused) {
    bufferevent_disable(m_stream, EV_READ);
  } else {
    StartTimeoutsNow(m_loop.base());
    bufferevent_enable(m_stream, EV_READ);
  }
}

bool HttpClientConnection::HasUnreadInput() const {
  if (evbuffer_get_length(bufferevent_get_input(m_stream)) > 0) {
    return true;
  }
  pollfd readable{bufferevent_getfd(m_stream), POLLIN, 0};
  return m_connected && poll(&readable, 1, 0) > 0;
}

bool HttpClientConnection::IsReusable(TimePoint now) const {
  return m_observer == nullptr && !m_failed &&
         evbuffer_get_length(bufferevent_get_input(m_stream)) == 0 &&
         now - m_idle_since < m_max_idle_time;
}

bool HttpClientConnection::WasUsedRecently(TimePoint now) const {
  return IsReusable(now) &&
         ToSeconds(now - m_idle_since) <
             ToSeconds(m_max_idle_time) * kRecentlyUsedFraction;
}

const http_parser_settings& HttpClientConnection::ParserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings{};
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
      Self(parser).m_headers.Clear();
      Self(parser).m_head_complete = false;
      Self(parser).m_message_complete = false;
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
    settings.on_headers_complete = &HttpClientConnection::HandleHeadersComplete;
    settings.on_body = &HttpClientConnection::HandleBody;
    settings.on_message_complete = [](http_parser* parser) {
      Self(parser).m_message_complete = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }();
  return kSettings;
}

int HttpClientConnection::HandleHeadersComplete(http_parser* parser) {
  HttpClientConnection& self = Self(parser);
  if (!HasUnambiguousFraming(self.m_headers.headers())) {
    return -1;
  }
  self.m_head_complete = true;
  // Pauses the parser so that the observer receives the headers before the
  // body.
  http_parser_pause(parser, 1);
  // Tells the parser that no body follows, whatever the fields say.
  return self.m_is_head_request || HasNoBody(parser->status_code) ? 1 : 0;
}

int HttpClientConnection::HandleBody(http_parser* parser, const char* data,
                                     size_t size) {
  HttpClientConnection& self = Self(parser);
  self.m_line_ends.OnFraming({self.m_unchecked, data});
  self.m_line_ends.OnBody();
  self.m_unchecked = data + size;
  if (!self.m_is_skipping_response) {
    self.m_body.append(data, size);
  }
  return 0;
}

void HttpClientConnection::HandleRead(bufferevent* /*stream*/, void* self) {
  static_cast<HttpClientConnection*>(self)->Parse();
}

void HttpClientConnection::HandleEvent(bufferevent* /*stream*/, short events,
                                       void* self) {
  auto* connection = static_cast<HttpClientConnection*>(self);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection->m_connected = true;
    return;
  }
  // The events of one turn of the loop come together.
  const bool has_error = (events & BEV_EVENT_ERROR) != 0;
  const bool has_timed_out = (events & BEV_EVENT_TIMEOUT) != 0 && !has_error;
  if (has_timed_out && connection->ResumeAfterTimeout(events)) {
    return;
  }
  const bool is_idle = connection->m_observer == nullptr;
  connection->m_failed = true;
  if (is_idle) {
    if (connection->m_client != nullptr) {
      connection->m_client->RemoveIdle(*connection);
    }
    return;
  }
  if (!connection->m_connected) {
    connection->End(HttpOutcome::kNotSent);
    return;
  }
  if (has_timed_out) {
    connection->End(HttpOutcome::kTimedOut);
    return;
  }
  // The first failed operation takes the socket's error with it: after a write
  // that met a reset, reading finds an end of input as after an orderly close.
  if ((events & BEV_EVENT_EOF) != 0 && !has_error) {
    const std::shared_ptr<bool> alive = connection->m_alive;
    connection->Parse();
    if (!*alive || connection->m_observer == nullptr) {
      return;
    }
    // Signals the end of input to the parser, which completes a response that
    // is delimited by the close of the connection.
    http_parser_execute(&connection->m_parser, &ParserSettings(), nullptr, 0);
    if (connection->m_message_complete && !connection->m_is_skipping_response &&
        connection->m_head_complete) {
      connection->End(HttpOutcome::kComplete);
      return;
    }
  }
  connection->End(HttpOutcome::kBroken);
}

bool HttpClientConnection::ResumeAfterTimeout(short events) {
  StartTimeoutsNow(m_loop.base());
  const auto resume = [this](short direction) {
    if (direction == EV_READ && m_is_paused) {
      return true;
    }
    const bool awaits_input = direction == EV_READ && m_connected;
    pollfd ready{bufferevent_getfd(m_stream),
                 static_cast<short>(awaits_input ? POLLIN : POLLOUT), 0};
    return poll(&ready, 1, 0) > 0 &&
           bufferevent_enable(m_stream, direction) == 0;
  };
  return ((events & BEV_EVENT_READING) == 0 || resume(EV_READ)) &&
         ((events & BEV_EVENT_WRITING) == 0 || resume(EV_WRITE));
}

HttpClientConnection::ParsedInput HttpClientConnection::ParseInput(
    evbuffer* input) {
  const bool had_head = m_head_complete;
  const std::size_t length = evbuffer_get_length(input);
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  m_unchecked = bytes;
  const std::size_t size =
      http_parser_execute(&m_parser, &ParserSettings(), bytes, length);
  m_line_ends.OnFraming({std::exchange(m_unchecked, nullptr), bytes + size});
  m_status_line.Append({bytes, size});
  const bool has_new_head = m_head_complete && !had_head;
  // The parser stops before the last byte of the head.
  const bool head_has_end = size < length && bytes[size] == '\n';
  std::string_view failed_check;
  if (has_new_head && !m_status_line.IsValid()) {
    failed_check = "status_line";
  } else if (!m_line_ends.IsValid() || (has_new_head && !head_has_end)) {
    failed_check = "line_end";
  }
  evbuffer_drain(input, size);
  return {.size = size,
          .error = HTTP_PARSER_ERRNO(&m_parser),
          .has_new_head = has_new_head,
          .failed_check = failed_check};
}

void HttpClientConnection::ReportMalformed(std::string_view reason) const {
  LogEvent(LogLevel::kInfo, "response_malformed")
      .With("peer", m_endpoint.ToString())
      .With("reason", reason);
}

void HttpClientConnection::Parse() {
  evbuffer* input = bufferevent_get_input(m_stream);
  if (m_observer == nullptr) {
    // Unexpected bytes on an idle connection: it cannot be reused.
    m_failed = true;
    if (m_client != nullptr) {
      m_client->RemoveIdle(*this);
    }
    return;
  }
  const std::shared_ptr<bool> alive = m_alive;
  while (evbuffer_get_length(input) > 0) {
    const ParsedInput parsed = ParseInput(input);
    if (!parsed.failed_check.empty()) {
      ReportMalformed(parsed.failed_check);
      m_failed = true;
      End(HttpOutcome::kBroken);
      return;
    }
    const bool is_interim = m_parser.status_code / 100 == 1;
    if (is_interim || m_is_skipping_response) {
      m_discarded_bytes += parsed.size;
    }
    if (parsed.has_new_head && !is_interim) {
      const HttpHeaders headers = m_headers.headers();
      const ResponseMatch match = m_observer->Match(headers);
      if (match == ResponseMatch::kUnidentified && m_had_response) {
        m_failed = true;
        End(HttpOutcome::kBroken);
        return;
      }
      m_had_response = true;
      m_is_skipping_response = match == ResponseMatch::kOther;
      if (!m_is_skipping_response) {
        ParseKeepAlive(headers);
        m_observer->OnHead(m_parser.status_code, headers);
        if (!*alive) {
          return;
        }
      }
    }
    if (parsed.error == HPE_PAUSED) {
      http_parser_pause(&m_parser, 0);
    }
    const bool is_endless = m_discarded_bytes > kMaxDiscardedBytes;
    if (is_endless || (parsed.error != HPE_PAUSED && parsed.error != HPE_OK)) {
      ReportMalformed(is_endless ? "discarded_bytes"
                                 : http_errno_name(parsed.error));
      m_failed = true;
      if (DeliverBody()) {
        End(HttpOutcome::kBroken);
      }
      return;
    }
    if (m_message_complete) {
      if (is_interim || m_is_skipping_response) {
        AwaitResponse();
        continue;
      }
      if (DeliverBody()) {
        End(HttpOutcome::kComplete);
      }
      return;
    }
  }
  static_cast<void>(DeliverBody());
}

bool HttpClientConnection::DeliverBody() {
  if (m_body.empty()) {
    return true;
  }
  const std::shared_ptr<bool> alive = m_alive;
  const std::string bytes = std::exchange(m_body, {});
  m_observer->OnPart(bytes);
  return *alive;
}

void HttpClientConnection::End(HttpOutcome outcome) {
  HttpObserver* observer = std::exchange(m_observer, nullptr);
  m_awaits_response = outcome != HttpOutcome::kComplete;
  const bool is_reusable =
      outcome == HttpOutcome::kComplete && !m_failed && m_keep_alive &&
      http_should_keep_alive(&m_parser) != 0 &&
      evbuffer_get_length(bufferevent_get_input(m_stream)) == 0 &&
      evbuffer_get_length(bufferevent_get_output(m_stream)) == 0;
  m_failed = !is_reusable;
  m_idle_since = m_loop.clock().Now();
  if (is_reusable) {
    // Detects a close by the peer and unexpected bytes while idle.
    bufferevent_set_timeouts(m_stream, nullptr, nullptr);
    bufferevent_enable(m_stream, EV_READ);
  }
  // Returns the connection to the pool or frees it, before the observer may
  // start a new call.
  const auto release = std::move(on_end);
  on_end = nullptr;
  release(outcome);
  observer->OnEnd(outcome);
}

void HttpClientConnection::ParseKeepAlive(const HttpHeaders& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = headers.Get("Keep-Alive");
  const auto position = value.find(kTimeout);
  int seconds = 0;
  if (position == std::string_view::npos ||
      std::from_chars(value.data() + position + kTimeout.size(),
                      value.data() + value.size(), seconds)
              .ec != std::errc()) {
    return;
  }
  m_max_idle_time = std::min(m_settings.max_idle_time,
                             FromSeconds(seconds * kPeerIdleTimeFraction));
}

}  // namespace bambooquay
