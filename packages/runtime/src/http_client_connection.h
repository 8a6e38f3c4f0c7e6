// A connection of the HTTP client, which carries one call at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "bambooquay/runtime/http_client.h"
#include "http_framing.h"
#include "line_end_check.h"
#include "status_line.h"

namespace bambooquay {

class HttpClientConnection {
 public:
  /// @param client  owner of the connection while it is idle, or null if the
  ///   connection is closed after one call.
  HttpClientConnection(EventLoop& loop, const HttpClientSettings& settings,
                       const Endpoint& endpoint, HttpClient* client);
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;
  ~HttpClientConnection();

  /// Sends a request, after connecting if necessary. `observer` receives the
  /// response.
  void Send(const HttpRequest& request, Duration idle_timeout, bool keep_alive,
            HttpObserver& observer);
  void SetPaused(bool paused);
  [[nodiscard]] bool HasUnreadInput() const;
  /// @returns whether the connection can carry another call: it is idle, has
  ///   not failed, has received no unexpected bytes and has not expired.
  [[nodiscard]] bool IsReusable(TimePoint now) const;
  /// @returns whether the connection is reusable and was used so recently that
  ///   the peer is unlikely to close it now.
  [[nodiscard]] bool WasUsedRecently(TimePoint now) const;
  [[nodiscard]] const Endpoint& endpoint() const noexcept { return m_endpoint; }
  [[nodiscard]] EventLoop& loop() noexcept { return m_loop; }
  /// Called just before the observer's OnEnd(). Set by the call that owns the
  /// connection, which returns it to the pool or closes it in this callback.
  std::function<void(HttpOutcome)> on_end;

 private:
  static void HandleRead(bufferevent* stream, void* self);
  static void HandleEvent(bufferevent* stream, short events, void* self);
  static int HandleHeadersComplete(http_parser* parser);
  static int HandleBody(http_parser* parser, const char* data, size_t size);
  static const http_parser_settings& ParserSettings();

  void Connect();
  /// Prepares for the next response, which may be an interim one.
  void AwaitResponse();
  void Parse();
  struct ParsedInput {
    std::size_t size;
    http_errno error;
    bool has_new_head;
    /// The check that http-parser leaves out and the response fails, as used in
    /// logs; empty if it passes all.
    std::string_view failed_check;
  };
  /// Runs the parser on the input, up to the end of a head or of a message, and
  /// removes what was parsed.
  [[nodiscard]] ParsedInput ParseInput(evbuffer* input);
  void ReportMalformed(std::string_view reason) const;
  /// After a pause of the event loop, timeouts run before what the socket is
  /// ready for.
  /// @returns whether the timed out reading or writing goes on.
  bool ResumeAfterTimeout(short events);
  /// Passes the buffered body bytes to the observer.
  /// @returns false if the observer destroyed this object.
  bool DeliverBody();
  /// Runs `on_end`, then notifies the observer.
  void End(HttpOutcome outcome);
  /// Reads the peer's idle timeout from its Keep-Alive header.
  void ParseKeepAlive(const HttpHeaders& headers);

  EventLoop& m_loop;
  HttpClientSettings m_settings;
  Endpoint m_endpoint;
  HttpClient* m_client;
  bufferevent* m_stream;
  http_parser m_parser{};
  /// Of the response that is being parsed.
  StatusLine m_status_line;
  LineEndCheck m_line_ends;
  /// Where the bytes begin that are being parsed and not checked yet. Null
  /// outside of the parser.
  const char* m_unchecked = nullptr;
  HeaderCollector m_headers;
  std::string m_body;
  HttpObserver* m_observer = nullptr;
  /// Set to false by the destructor. Member functions copy the pointer before
  /// they run a callback, to learn whether it destroyed this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  bool m_connected = false;
  bool m_is_head_request = false;
  bool m_keep_alive = true;
  /// Whether the call has paused reading, so that the silence is its own.
  bool m_is_paused = false;
  bool m_head_complete = false;
  bool m_message_complete = false;
  /// Whether the current response belongs to an earlier call and is discarded.
  bool m_is_skipping_response = false;
  /// Whether a request has been sent whose response is not complete.
  bool m_awaits_response = false;
  /// Whether a response has arrived on this connection, to whichever call.
  bool m_had_response = false;
  /// Bytes of interim responses and of others' responses during this call.
  std::size_t m_discarded_bytes = 0;
  bool m_failed = false;
  TimePoint m_idle_since;
  /// How long the connection may stay idle and still be reused: the client's
  /// limit, or less if the peer announces a shorter one.
  Duration m_max_idle_time;
};

}  // namespace bambooquay
