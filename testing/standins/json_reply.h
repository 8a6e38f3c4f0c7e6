// JSON responses of the simulated servers.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "bambooquay/runtime/http_server.h"

namespace bambooquay {

inline void ReplyJson(HttpExchange& exchange, int status,
                      const nlohmann::json& body) {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  exchange.Respond(status, headers, body.dump());
}

}  // namespace bambooquay
