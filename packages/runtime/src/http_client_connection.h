// One connection of the HTTP client: carries one call at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "bambooquay/runtime/http_client.h"
#include "http_framing.h"

namespace bambooquay {

class HttpClientConnection {
 public:
  /// @param client  where the connection is kept while idle, or null for a
  ///   connection that serves one call.
  HttpClientConnection(EventLoop& loop, const HttpClientSettings& settings,
                       const Endpoint& endpoint, HttpClient* client);
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;
  ~HttpClientConnection();

  /// Sends a request; `observer` is told of the response.
  void Send(const HttpRequest& request, Duration idle_timeout, bool keep_alive,
            HttpObserver& observer);
  void SetPaused(bool paused);
  /// @returns whether no call is under way and nothing stray has arrived.
  [[nodiscard]] bool Reusable(TimePoint now) const;
  /// @returns whether it was used too recently for the peer to close it.
  [[nodiscard]] bool UsedRecently(TimePoint now) const;
  [[nodiscard]] const Endpoint& endpoint() const noexcept { return m_endpoint; }
  [[nodiscard]] EventLoop& loop() noexcept { return m_loop; }
  /// Set by the owner: takes the connection back, just before the observer's
  /// OnEnd.
  std::function<void(HttpEnding)> on_end;

 private:
  static void HandleRead(bufferevent* stream, void* self);
  static void HandleEvent(bufferevent* stream, short events, void* self);
  static int HandleHeadersComplete(http_parser* parser);
  static const http_parser_settings& ParserSettings();

  void Connect();
  void Parse();
  /// Passes collected body bytes on.
  /// @returns false if this object was destroyed by the observer.
  bool DeliverBody();
  void End(HttpEnding ending);
  void ReadKeepAlive(const HttpHeaders& headers);

  EventLoop& m_loop;
  HttpClientSettings m_settings;
  Endpoint m_endpoint;
  HttpClient* m_client;
  bufferevent* m_stream;
  http_parser m_parser{};
  HeaderCollector m_headers;
  std::string m_body;
  HttpObserver* m_observer = nullptr;
  /// Tells, after a callback, whether this object still exists.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  bool m_connected = false;
  bool m_head_only = false;
  bool m_keep_alive = true;
  bool m_head_done = false;
  bool m_message_done = false;
  /// The response that is being read belongs to an earlier call.
  bool m_skipping = false;
  bool m_failed = false;
  TimePoint m_idle_since;
  /// How long the peer keeps the connection open while idle.
  Duration m_peer_idle_limit;
};

}  // namespace bambooquay
