// A connection of the HTTP server. It parses one request at a time and writes
// its response. The bytes of pipelined requests stay in the input buffer until
// the response is complete.
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

class HttpServerConnection final : public BudgetedConnection {
 public:
  /// @param address  of the caller, without its port.
  HttpServerConnection(HttpServer& server, evutil_socket_t socket,
                       std::string address);
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;
  ~HttpServerConnection() override;

  void WriteResponse(int status, const HttpHeaders& headers,
                     std::string_view body);
  void WriteStreamHead(int status, const HttpHeaders& headers);
  void WritePart(std::string_view part);
  void FinishStream();
  /// Closes the connection without completing the response.
  void AbortResponse();

  /// Follows the server's limits, which have changed. A request that has begun
  /// to arrive, and a caller that rests, may go by those before.
  void UpdateLimits();
  /// Closes the connection, or answers 408, if the caller exceeded a time
  /// limit.
  void CloseIfExpired(TimePoint now);
  /// Refuses the request that is being read and drops what has arrived of it,
  /// or closes the connection.
  void GiveWay(YieldReason reason) override;
  [[nodiscard]] bool HasArrivedInput() const override {
    return UnreadBytes() > 0;
  }
  /// Closes the connection if no request has arrived on it, no response is
  /// being written, and it has rested for `min_rest`.
  void CloseIfIdle(Duration min_rest);
  /// @returns whether a request is partly received or unanswered, or a response
  ///   is not fully written to the socket.
  [[nodiscard]] bool IsBusy() const noexcept;

 private:
  friend class HttpServer;

  enum class State : std::uint8_t {
    kIdle,        ///< Waiting for a request.
    kReading,     ///< Part of a request was received.
    kResponding,  ///< The handler has the request, or streams the response.
    kFlushing,    ///< Writing the last response before the connection closes.
    kLingering,   ///< Shut down for writing; discards bytes from the caller.
  };

  static void HandleRead(bufferevent* stream, void* self);
  static void HandleWrite(bufferevent* stream, void* self);
  static void HandleEvent(bufferevent* stream, short events, void* self);
  static int HandleHeadersComplete(http_parser* parser);
  static int HandleBody(http_parser* parser, const char* data, size_t size);
  static int HandleMessageComplete(http_parser* parser);
  static const http_parser_settings& ParserSettings();

  void Parse();
  /// Passes the parsed request to the handler.
  void Dispatch();
  /// Drops a request and answers it with an error, without calling the handler,
  /// and closes the connection.
  void Refuse(int status, std::string_view code, std::string_view message);
  /// Refuses a request that could be served at another time.
  void RefuseForNow();
  void SetState(State state);
  void SetLimits(const HttpServerLimits& limits);
  /// Notes that bytes were received from or written to the caller.
  void RecordActivity();
  /// Must run before output is added. From the first of it on, the caller has
  /// the whole idle limit to take it.
  void PrepareOutput();
  /// Stops reading while enough input waits for the end of earlier responses.
  void UpdateReading();
  /// Charges what the connection holds to the server's budget.
  void UpdateHeld();
  /// Records how much of a complete response the caller has taken.
  void CheckWritten();
  /// Makes room for a part of the body. The string's own growth would take up
  /// to twice the size of the body.
  void ReserveBody(std::size_t part);
  /// Drops bytes that arrive after the last response, up to a limit.
  void Discard();
  /// @returns the status line and headers, without the empty line after them.
  [[nodiscard]] std::string MakeHead(int status, const HttpHeaders& headers);
  /// Waits for the next request, or closes once the output is written.
  void FinishResponse();
  /// Shuts down writing but keeps reading for a while: closing a socket with
  /// unread bytes resets it, and the caller might lose the response.
  void Linger();
  /// Closes the connection and notifies the exchange, if there is one.
  void HandleDisconnect();
  /// Reports that the server ends the connection, and why.
  void ReportClose(std::string_view reason);
  /// @returns whether a request, or a part of one, has arrived on an idle
  ///   connection and will be read next.
  [[nodiscard]] bool HasArrivedRequest() const;
  /// @returns the number of bytes from the caller that were not parsed yet, in
  ///   the input buffer and in the socket.
  [[nodiscard]] std::size_t UnreadBytes() const;
  /// Destroys this object.
  void Close();
  [[nodiscard]] evbuffer* output() const;

  HttpServer& m_server;
  bufferevent* m_stream;
  http_parser m_parser{};
  HeaderCollector m_headers;
  std::string m_target;
  std::string m_body;
  /// The most that the body may have: what the caller announces, or the limit.
  std::size_t m_body_limit = 0;
  /// What was not written of responses when the connection entered its state.
  std::size_t m_response_bytes = 0;
  /// What was not written when that was last checked.
  std::size_t m_unwritten_bytes = 0;
  /// What the request that is being served holds.
  std::size_t m_served_bytes = 0;
  /// Bytes that arrived after the last response, and how many may.
  std::size_t m_discarded_bytes = 0;
  std::size_t m_max_discarded_bytes;
  /// Whether the organisation of the request was asked for.
  bool m_has_organisation = false;
  bool m_request_complete = false;
  /// Status code for a request that a parser callback rejected, or 0.
  int m_refusal_status = 0;
  State m_state = State::kIdle;
  TimePoint m_state_since;
  /// Last time at which bytes were received from or written to the caller, or
  /// were ready for it.
  TimePoint m_last_activity;
  /// Each the largest that was in force since the request began to arrive; the
  /// idle timeout, since the last response.
  HttpServerLimits m_limits;
  /// The exchange whose response is not complete. It may outlive the
  /// connection, whose destructor detaches it.
  HttpExchange* m_exchange = nullptr;
  bool m_keep_alive = true;
  bool m_is_head_request = false;
  /// Whether a streamed response uses chunked encoding, which HTTP/1.0 lacks.
  bool m_chunked = true;
  /// Position of this connection in the list of the server.
  std::list<std::unique_ptr<HttpServerConnection>>::iterator m_list_position;
};

}  // namespace bambooquay
