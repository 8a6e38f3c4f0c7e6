// One connection of the HTTP server: parses one request at a time and writes
// its reply. Bytes of a following request wait in the input buffer.
#pragma once

#include <event2/util.h>

#include <climits>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "bambooquay/runtime/http_server.h"
#include "http_framing.h"

namespace bambooquay {

class HttpServerConnection {
 public:
  HttpServerConnection(HttpServer& server, evutil_socket_t socket);
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;
  ~HttpServerConnection();

  void WriteReply(int status, const HttpHeaders& headers,
                  std::string_view body);
  void WriteStreamHead(int status, const HttpHeaders& headers);
  void WritePart(std::string_view part);
  void FinishStream();
  /// Closes without completing the reply.
  void Cut();

  /// Closes if the caller was idle or slow for longer than the limits allow.
  void CloseIfExpired(TimePoint now);
  void CloseWhenIdle();
  /// @returns whether a request is read in part or unanswered, or a reply has
  /// not left in full.
  [[nodiscard]] bool busy() const noexcept;

 private:
  friend class HttpServer;

  enum class State : std::uint8_t {
    kIdle,       ///< Between requests.
    kReading,    ///< Part of a request has arrived.
    kReplying,   ///< A handler has the request.
    kFlushing,   ///< The last reply is on its way; then the connection closes.
    kLingering,  ///< Closed for writing; discards what the caller still sends.
  };

  static void HandleRead(bufferevent* stream, void* self);
  static void HandleWrite(bufferevent* stream, void* self);
  static void HandleEvent(bufferevent* stream, short events, void* self);
  static int HandleHeadersComplete(http_parser* parser);
  static int HandleBody(http_parser* parser, const char* data, size_t size);
  static int HandleMessageComplete(http_parser* parser);
  static const http_parser_settings& ParserSettings();

  void Parse();
  void Dispatch();
  /// Answers a request that cannot be handed to the handler, and closes.
  void Refuse(int status, std::string_view code, std::string_view message);
  [[nodiscard]] std::string MakeHead(int status, const HttpHeaders& headers);
  void FinishReply();
  void Linger();
  void CallerGone();
  /// Destroys this object.
  void Close();
  [[nodiscard]] evbuffer* output() const;

  HttpServer& m_server;
  bufferevent* m_stream;
  http_parser m_parser{};
  HeaderCollector m_headers;
  std::string m_target;
  std::string m_body;
  bool m_complete = false;
  int m_refusal = 0;
  State m_state = State::kIdle;
  TimePoint m_state_since;
  /// Last time that the caller took or sent bytes.
  TimePoint m_progress_at;
  /// The exchange that is being answered; it outlives the connection if need
  /// be, and is told when the connection goes.
  HttpExchange* m_exchange = nullptr;
  bool m_keep_alive = true;
  bool m_head_only = false;
  bool m_chunked = true;
  std::list<std::unique_ptr<HttpServerConnection>>::iterator m_place;
};

}  // namespace bambooquay
