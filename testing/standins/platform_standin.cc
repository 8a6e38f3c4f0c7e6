// Simulates the platform for tests: table service (DynamoDB JSON protocol),
// object store, weight store with limited throughput, instance list that shows
// changes late, and span collector. POST /faults injects faults, GET /counters
// returns operation counts.
#include <algorithm>
#include <boost/program_options.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_server.h"
#include "json_reply.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

/// Faults of the table service and the object store, which share them. An
/// outage makes the instance list unavailable as well.
struct StoreFaults {
  bool is_unavailable = false;  ///< Every call gets status 503.
  bool is_stalled = false;      ///< No call gets a response.
  /// Number of the next table calls that are executed but get no response.
  int responses_to_lose = 0;
  Duration delay = Duration::zero();
};

struct StoredObject {
  std::string bytes;
};

/// The HTTP server of the simulated platform.
class PlatformStandin {
 public:
  PlatformStandin(EventLoop& loop, Duration instance_list_lag,
                  double loads_per_second, std::size_t max_concurrent_loads)
      : m_loop(loop),
        m_instance_list_lag(instance_list_lag),
        m_weight_load_time(FromSeconds(
            static_cast<double>(max_concurrent_loads) / loads_per_second)),
        m_max_concurrent_loads(max_concurrent_loads),
        m_server(loop, HttpServerLimits{},
                 [this](std::shared_ptr<HttpExchange> exchange) {
                   HandleRequest(std::move(exchange));
                 }) {}

  bool Listen(const Endpoint& endpoint) { return m_server.Listen(endpoint); }

 private:
  void HandleRequest(std::shared_ptr<HttpExchange> exchange) {
    const HttpRequest& request = exchange->request();
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/faults") {
      SetFaults(*exchange);
    } else if (path == "/counters") {
      ReplyJson(*exchange, 200, Json(m_counters));
    } else if (path == "/instances" && request.method == "GET") {
      ListInstances(*exchange);
    } else if (path.starts_with("/instances/")) {
      UpdateInstance(*exchange, path.substr(11));
    } else if (path == "/api/v2/spans") {
      HandleSpans(*exchange);
    } else if (path.starts_with("/weights/")) {
      m_queued_weight_loads.push_back(std::move(exchange));
      StartWeightLoads();
    } else {
      HandleStoreRequest(exchange, path);
    }
  }

  // Handles calls of the table service and the object store, after the
  // configured delay.
  void HandleStoreRequest(const std::shared_ptr<HttpExchange>& exchange,
                          const std::string& path) {
    if (m_faults.delay > Duration::zero()) {
      const std::size_t id = m_next_timer_id++;
      m_timers[id] = m_loop.After(m_faults.delay, [this, exchange, path, id] {
        ReplyToStoreRequest(exchange, path);
        m_timers.erase(id);
      });
      return;
    }
    ReplyToStoreRequest(exchange, path);
  }

  void ReplyToStoreRequest(const std::shared_ptr<HttpExchange>& exchange,
                           const std::string& path) {
    if (m_faults.is_stalled) {
      m_stalled_requests.push_back(exchange);
      return;
    }
    if (m_faults.is_unavailable) {
      ReplyJson(*exchange, 503, {{"message", "outage"}});
      return;
    }
    Json response_body;
    int status = 200;
    if (path == "/") {
      response_body = HandleTableRequest(exchange->request(), status);
    } else {
      HandleObjectRequest(*exchange, path);
      return;
    }
    if (m_faults.responses_to_lose > 0) {
      --m_faults.responses_to_lose;
      exchange->Abort();
      return;
    }
    ReplyJson(*exchange, status, response_body);
  }

  Json HandleTableRequest(const HttpRequest& request, int& status) {
    const std::string operation(request.headers.Get("X-Amz-Target"));
    const Json body = Json::parse(request.body, nullptr, false);
    if (operation == "DynamoDB_20120810.GetItem") {
      ++m_counters["reads"];
      const auto row = m_rows.find(RowKey(body["Key"]));
      return row == m_rows.end() ? Json::object() : Json{{"Item", row->second}};
    }
    if (operation == "DynamoDB_20120810.Query") {
      ++m_counters["reads"];
      return QueryItems(body["ExpressionAttributeValues"][":partition"]["S"]
                            .get<std::string>());
    }
    if (operation == "DynamoDB_20120810.PutItem") {
      ++m_counters["writes"];
      return PutItem(body, status);
    }
    status = 400;
    return {{"__type", "UnknownOperationException"}};
  }

  Json QueryItems(const std::string& partition) {
    Json items = Json::array();
    for (const auto& [key, item] : m_rows) {
      if (key.first == partition) {
        items.push_back(item);
      }
    }
    return {{"Items", items}, {"Count", items.size()}};
  }

  Json PutItem(const Json& body, int& status) {
    const Json& item = body["Item"];
    const auto key = RowKey(item);
    const auto existing = m_rows.find(key);
    const std::string condition = body.value("ConditionExpression", "");
    bool is_condition_met = true;
    if (condition == "attribute_not_exists(pk)") {
      is_condition_met = existing == m_rows.end();
    } else if (condition == "version = :expected") {
      is_condition_met = existing != m_rows.end() &&
                         existing->second["version"] ==
                             body["ExpressionAttributeValues"][":expected"];
    }
    if (!is_condition_met) {
      status = 400;
      return {{"__type",
               "com.amazonaws.dynamodb.v20120810#"
               "ConditionalCheckFailedException"}};
    }
    m_rows[key] = item;
    return Json::object();
  }

  static std::pair<std::string, std::string> RowKey(const Json& key) {
    return {key["pk"]["S"].get<std::string>(),
            key["sk"]["S"].get<std::string>()};
  }

  void HandleObjectRequest(HttpExchange& exchange, const std::string& path) {
    if (exchange.request().method == "PUT") {
      ++m_counters["writes"];
      m_objects[path] = {exchange.request().body};
      exchange.Respond(200, {}, "");
      return;
    }
    ++m_counters["reads"];
    const auto object = m_objects.find(path);
    exchange.Respond(object == m_objects.end() ? 404 : 200, {},
                     object == m_objects.end() ? "" : object->second.bytes);
  }

  void ListInstances(HttpExchange& exchange) {
    if (m_faults.is_unavailable) {
      ReplyJson(exchange, 503, {{"message", "outage"}});
      return;
    }
    const std::string etag = "\"" + std::to_string(m_list_version) + "\"";
    if (exchange.request().headers.Get("If-None-Match") == etag) {
      exchange.Respond(304, {}, "");
      return;
    }
    Json groups = Json::array();
    for (const auto& [id, group] : m_visible_instances) {
      groups.push_back(group);
    }
    HttpHeaders headers;
    headers.Add("Content-Type", "application/json");
    headers.Add("ETag", etag);
    exchange.Respond(200, headers, groups.dump());
  }

  // Applies the change to the instance list after the configured lag.
  void UpdateInstance(HttpExchange& exchange, const std::string& id) {
    const bool is_removal = exchange.request().method == "DELETE";
    const Json group =
        is_removal ? Json()
                   : Json::parse(exchange.request().body, nullptr, false);
    const std::size_t timer_id = m_next_timer_id++;
    m_timers[timer_id] =
        m_loop.After(m_instance_list_lag, [this, timer_id, id, group] {
          if (group.is_object()) {
            m_visible_instances[id] = group;
          } else {
            m_visible_instances.erase(id);
          }
          ++m_list_version;
          m_timers.erase(timer_id);
        });
    ReplyJson(exchange, 200, Json::object());
  }

  void HandleSpans(HttpExchange& exchange) {
    if (exchange.request().method == "POST") {
      const Json spans = Json::parse(exchange.request().body, nullptr, false);
      for (const Json& span : spans) {
        m_spans.push_back(span);
      }
      constexpr std::size_t kMaxSpans = 10'000;
      while (m_spans.size() > kMaxSpans) {
        m_spans.pop_front();
      }
      exchange.Respond(202, {}, "");
      return;
    }
    ReplyJson(exchange, 200, Json(m_spans));
  }

  // Runs up to m_max_concurrent_loads loads; further ones wait in the queue.
  // Each load takes the same time, chosen so that this many concurrent loads
  // reach the configured rate.
  void StartWeightLoads() {
    while (!m_queued_weight_loads.empty() &&
           m_active_weight_loads < m_max_concurrent_loads) {
      ++m_active_weight_loads;
      const std::size_t id = m_next_timer_id++;
      m_timers[id] =
          m_loop.After(m_weight_load_time,
                       [this, id, exchange = m_queued_weight_loads.front()] {
                         --m_active_weight_loads;
                         ++m_counters["loads"];
                         ReplyJson(*exchange, 200, Json::object());
                         StartWeightLoads();
                         m_timers.erase(id);
                       });
      m_queued_weight_loads.pop_front();
    }
  }

  void SetFaults(HttpExchange& exchange) {
    const Json body = Json::parse(exchange.request().body, nullptr, false);
    m_faults.is_unavailable = body.value("outage", m_faults.is_unavailable);
    m_faults.is_stalled = body.value("silent", m_faults.is_stalled);
    m_faults.responses_to_lose =
        body.value("lose_answers", m_faults.responses_to_lose);
    m_faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    if (!m_faults.is_stalled) {
      m_stalled_requests.clear();
    }
    ReplyJson(exchange, 200, Json::object());
  }

  EventLoop& m_loop;
  Duration m_instance_list_lag;
  Duration m_weight_load_time;
  std::size_t m_max_concurrent_loads;
  std::size_t m_active_weight_loads = 0;
  std::deque<std::shared_ptr<HttpExchange>> m_queued_weight_loads;
  StoreFaults m_faults;
  std::map<std::pair<std::string, std::string>, Json> m_rows;
  std::map<std::string, StoredObject> m_objects;
  std::map<std::string, Json> m_visible_instances;
  std::uint64_t m_list_version = 1;
  std::deque<Json> m_spans;
  std::map<std::string, std::uint64_t> m_counters;
  std::vector<std::shared_ptr<HttpExchange>> m_stalled_requests;
  std::size_t m_next_timer_id = 0;
  std::map<std::size_t, std::unique_ptr<Timer>> m_timers;
  HttpServer m_server;
};

}  // namespace
}  // namespace bambooquay

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string listen;
  double loads_per_second = 1.5;
  std::size_t max_concurrent_loads = 2;
  int list_lag_ms = 300;
  po::options_description options("platform-standin");
  options.add_options()("listen", po::value(&listen)->required(), "IP:PORT")(
      "loads-per-second", po::value(&loads_per_second), "weight store rate")(
      "loads-at-once", po::value(&max_concurrent_loads),
      "weight store concurrency")("list-lag-ms", po::value(&list_lag_ms),
                                  "instance list lag");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << options;
    return 64;
  }
  const auto endpoint = bambooquay::ParseEndpoint(listen);
  bambooquay::EventLoop loop;
  bambooquay::PlatformStandin platform(loop,
                                       std::chrono::milliseconds(list_lag_ms),
                                       loads_per_second, max_concurrent_loads);
  if (!endpoint.has_value() || !platform.Listen(*endpoint)) {
    std::cerr << "cannot listen on " << listen << '\n';
    return 69;
  }
  loop.OnSignal(15, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
