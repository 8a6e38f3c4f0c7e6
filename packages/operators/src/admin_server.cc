// HTTP server for the health, readiness, metrics and status of a process.
#include "bambooquay/operators/admin_server.h"

#include <utility>

namespace bambooquay {
namespace {

// Requests have no bodies, and a few tools connect.
constexpr HttpServerLimits kLimits = {
    .max_body_bytes = std::size_t{64} * 1024,
    .max_connections = 32,
    .max_held_bytes = std::size_t{2} * 1024 * 1024};

}  // namespace

AdminServer::AdminServer(EventLoop& loop, const Metrics& metrics,
                         std::function<std::string()> not_ready_reason,
                         std::function<std::string()> status_json)
    : m_metrics(metrics),
      m_not_ready_reason(std::move(not_ready_reason)),
      m_status_json(std::move(status_json)),
      m_server(loop, kLimits,
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 HandleRequest(*exchange);
               }) {}

void AdminServer::HandleRequest(HttpExchange& exchange) {
  const std::string& target = exchange.request().target;
  HttpHeaders text;
  text.Add("Content-Type", "text/plain; charset=utf-8");
  if (target == "/healthz") {
    exchange.Respond(ToCode(HttpStatus::kOk), text, "ok\n");
  } else if (target == "/readyz") {
    const std::string reason = m_not_ready_reason();
    exchange.Respond(ToCode(reason.empty() ? HttpStatus::kOk
                                           : HttpStatus::kServiceUnavailable),
                     text, reason.empty() ? "ready\n" : reason + "\n");
  } else if (target == "/metrics") {
    HttpHeaders metrics;
    metrics.Add("Content-Type", "text/plain; version=0.0.4");
    exchange.Respond(ToCode(HttpStatus::kOk), metrics, m_metrics.Render());
  } else if (target == "/status") {
    HttpHeaders json;
    json.Add("Content-Type", "application/json");
    exchange.Respond(ToCode(HttpStatus::kOk), json, m_status_json());
  } else {
    exchange.Respond(ToCode(HttpStatus::kNotFound), text, "not found\n");
  }
}

}  // namespace bambooquay
