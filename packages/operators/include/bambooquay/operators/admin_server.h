// HTTP server for the health, readiness, metrics and status of a process.
#pragma once

#include <functional>
#include <string>

#include "bambooquay/runtime/http_server.h"
#include "bambooquay/runtime/metrics.h"

namespace bambooquay {

/// Serves /healthz, /readyz, /metrics and /status on the admin address.
class AdminServer {
 public:
  /// @param not_ready_reason  returns why the process is not ready, or "" if it
  ///   is.
  /// @param status_json  returns the state of the process as a JSON object.
  AdminServer(EventLoop& loop, const Metrics& metrics,
              std::function<std::string()> not_ready_reason,
              std::function<std::string()> status_json);

  [[nodiscard]] bool Listen(const Endpoint& endpoint) {
    return m_server.Listen(endpoint);
  }

 private:
  void HandleRequest(HttpExchange& exchange);

  const Metrics& m_metrics;
  std::function<std::string()> m_not_ready_reason;
  std::function<std::string()> m_status_json;
  HttpServer m_server;
};

}  // namespace bambooquay
