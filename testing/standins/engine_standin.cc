// Simulates a model engine or a plain service for tests. An engine batches
// continuously: above its warm limit the time per token grows with the load. A
// cold engine is slower and crashes above its cold limit. POST /faults injects
// faults; GET /state returns the current state and counters.
#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"
#include "engine_memory.h"
#include "json_reply.h"
#include "prefix_cache.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxCachedPrefixes = 64;
constexpr Duration kMetricsInterval = std::chrono::seconds(1);

struct EngineOptions {
  std::string listen;
  /// IP:PORT of the weight store; if empty, loads take no time.
  std::string weights;
  bool is_plain_service = false;
  std::int64_t memory_mib = 0;
  double token_ms = 5.0;
  double prefill_us_per_byte = 1.0;
  std::size_t warm_limit = 16;  ///< Concurrent requests without a slowdown.
  std::size_t cold_limit = 2;   ///< With more, a cold engine crashes.
  double cold_seconds = 0.0;    ///< Until a cold engine is warm.
  double cold_slowdown = 4.0;   ///< Factor on the time per token.
  bool checks_fencing = false;  ///< Refuse orders with an old fencing token.
};

struct EngineFaults {
  Duration order_delay = Duration::zero();  ///< Delays load and unload orders.
  bool is_stalled = false;                  ///< Requests get no response.
  bool aborts_next_generation = false;      ///< After its third token.
  /// Delays the responses of a plain service.
  Duration response_delay = Duration::zero();
};

/// The HTTP server of the simulated engine or plain service.
class EngineStandin {
 public:
  EngineStandin(EventLoop& loop, const EngineOptions& options)
      : m_loop(loop),
        m_options(options),
        m_memory(options.memory_mib, options.checks_fencing),
        m_warm_at(loop.clock().Now() + FromSeconds(options.cold_seconds)),
        m_metrics_timer(
            loop.Every(kMetricsInterval, [this] { UpdateMetrics(); })),
        m_server(loop, HttpServerLimits{},
                 [this](const std::shared_ptr<HttpExchange>& exchange) {
                   HandleRequest(exchange);
                 }) {}

  bool Listen(const Endpoint& endpoint) { return m_server.Listen(endpoint); }

 private:
  struct Generation {
    std::shared_ptr<HttpExchange> exchange;
    std::string model;
    std::string token_prefix;  ///< Start of the prompt, part of each token.
    bool is_streaming = false;
    int max_tokens = 0;
    int generated_tokens = 0;
    double prompt_tokens = 0;
    std::unique_ptr<Timer> timer;
  };

  void HandleRequest(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string& target = exchange->request().target;
    if (target == "/faults") {
      SetFaults(*exchange);
    } else if (target == "/state") {
      ReplyJson(*exchange, 200, StateToJson());
    } else if (m_faults.is_stalled) {
      m_stalled_requests.push_back(exchange);
    } else if (m_options.is_plain_service) {
      HandlePlainRequest(exchange);
    } else if (target == "/v2/repository/index") {
      ListModels(*exchange);
    } else if (target.starts_with("/v2/repository/models/")) {
      HandleModelOrder(exchange);
    } else if (target == "/v1/load_lora_adapter") {
      LoadAdapter(*exchange);
    } else if (target == "/metrics") {
      exchange->Respond(200, {}, m_metrics_text);
    } else if (target == "/v1/completions" ||
               target == "/v1/chat/completions") {
      StartGeneration(exchange);
    } else {
      ReplyJson(*exchange, 404, Json::object());
    }
  }

  [[nodiscard]] bool IsCold() const { return m_loop.clock().Now() < m_warm_at; }

  void ListModels(HttpExchange& exchange) {
    Json list = Json::array();
    for (const auto& [name, memory] : m_memory.ready()) {
      list.push_back(
          {{"name", name}, {"state", "READY"}, {"memory_mib", memory}});
    }
    for (const auto& [name, memory] : m_memory.loading()) {
      list.push_back(
          {{"name", name}, {"state", "LOADING"}, {"memory_mib", memory}});
    }
    ReplyJson(exchange, 200, list);
  }

  // Runs a load or unload order after the configured delay, even if the sender
  // has given up by then.
  void HandleModelOrder(const std::shared_ptr<HttpExchange>& exchange) {
    if (m_faults.order_delay == Duration::zero()) {
      ExecuteModelOrder(exchange);
      return;
    }
    const std::size_t id = m_next_timer_id++;
    m_timers[id] = m_loop.After(m_faults.order_delay, [this, exchange, id] {
      ExecuteModelOrder(exchange);
      m_timers.erase(id);
    });
  }

  // POST /v2/repository/models/NAME/load or /unload
  void ExecuteModelOrder(const std::shared_ptr<HttpExchange>& exchange) {
    const HttpRequest& request = exchange->request();
    const auto fencing_token = std::strtoull(
        std::string(request.headers.Get("X-Fencing-Number")).c_str(), nullptr,
        10);
    if (!m_memory.AcceptFencingToken(fencing_token)) {
      ReplyJson(*exchange, 409, {{"error", "stale fencing number"}});
      return;
    }
    const std::string rest = request.target.substr(22);
    const std::string model = rest.substr(0, rest.find('/'));
    if (rest.ends_with("/unload")) {
      m_memory.Unload(model);
      ReplyJson(*exchange, 200, Json::object());
      return;
    }
    const Json body = Json::parse(request.body, nullptr, false);
    const auto memory = body["parameters"].value("memory_mib", std::int64_t{0});
    if (!m_memory.StartLoad(model, memory)) {
      std::cerr << "memory overcommitted by loading " << model << '\n';
      ReplyJson(*exchange, 507, {{"error", "out of memory"}});
      return;
    }
    FetchWeights(exchange, model);
  }

  void FetchWeights(const std::shared_ptr<HttpExchange>& exchange,
                    const std::string& model) {
    const auto weights = ParseEndpoint(m_options.weights);
    if (!weights.has_value()) {
      m_memory.FinishLoad(model);
      ReplyJson(*exchange, 200, Json::object());
      return;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/weights/" + model;
    m_weight_calls[model] =
        FetchHttp(m_loop, *weights, request, std::chrono::seconds(300),
                  [this, exchange, model](const HttpResult&) {
                    m_weight_calls.erase(model);
                    m_memory.FinishLoad(model);
                    ReplyJson(*exchange, 200, Json::object());
                  });
  }

  void LoadAdapter(HttpExchange& exchange) {
    const Json body = Json::parse(exchange.request().body, nullptr, false);
    m_memory.LoadAdapter(body.value("lora_name", ""));
    ReplyJson(exchange, 200, Json::object());
  }

  // Updates the response of GET /metrics, which is up to a second old.
  void UpdateMetrics() {
    m_metrics_text = "vllm:num_requests_running " +
                     std::to_string(m_generations.size()) + "\n";
  }

  void RecordRequest(const HttpRequest& request) {
    m_received_caller_key |= !request.headers.Get("Authorization").empty();
    ++m_request_count;
    m_max_in_flight = std::max(m_max_in_flight, m_generations.size() + 1);
  }

  void StartGeneration(const std::shared_ptr<HttpExchange>& exchange) {
    const HttpRequest& request = exchange->request();
    RecordRequest(request);
    const Json body = Json::parse(request.body, nullptr, false);
    const std::string model =
        body.is_object() ? body.value("model", "") : std::string();
    if (!m_memory.IsReady(model)) {
      ReplyJson(*exchange, 404, {{"error", "model not loaded"}});
      return;
    }
    if (IsCold() && m_generations.size() >= m_options.cold_limit) {
      Crash();
      ReplyJson(*exchange, 503, {{"error", "fell over"}});
      return;
    }
    auto generation = std::make_shared<Generation>();
    generation->exchange = exchange;
    generation->model = model;
    generation->token_prefix = TokenPrefix(body);
    generation->is_streaming = body.value("stream", false);
    generation->max_tokens = body.value("max_tokens", 16);
    generation->prompt_tokens = static_cast<double>(request.body.size()) / 4.0;
    m_generations.insert({generation.get(), generation});
    const std::size_t cached = std::min(
        m_prefixes.LookUpOrInsert(CacheablePrefix(body)), request.body.size());
    const Duration prefill =
        FromSeconds(static_cast<double>(request.body.size() - cached) *
                    m_options.prefill_us_per_byte / 1e6);
    generation->timer = m_loop.After(
        prefill, [this, generation] { GenerateNextToken(*generation); });
  }

  /// @returns the start of the prompt, under which the prefix cache stores it.
  static std::string CacheablePrefix(const Json& body) {
    constexpr std::size_t kPrefixBytes = 256;
    return body.contains("prompt") && body["prompt"].is_string()
               ? body["prompt"].get<std::string>().substr(0, kPrefixBytes)
               : body.value("messages", Json::array())
                     .dump()
                     .substr(0, kPrefixBytes);
  }

  static std::string TokenPrefix(const Json& body) {
    if (body.contains("prompt") && body["prompt"].is_string()) {
      return body["prompt"].get<std::string>().substr(0, 16);
    }
    if (body.contains("messages") && body["messages"].is_array() &&
        !body["messages"].empty()) {
      return body["messages"].back().value("content", "").substr(0, 16);
    }
    return "none";
  }

  [[nodiscard]] Duration TimePerToken() const {
    const double load = static_cast<double>(m_generations.size()) /
                        static_cast<double>(m_options.warm_limit);
    return FromSeconds(m_options.token_ms / 1e3 * std::max(load, 1.0) *
                       (IsCold() ? m_options.cold_slowdown : 1.0));
  }

  void GenerateNextToken(Generation& generation) {
    if (generation.exchange->closed()) {
      m_generations.erase(&generation);
      return;
    }
    if (m_faults.aborts_next_generation && generation.generated_tokens > 2) {
      m_faults.aborts_next_generation = false;
      generation.exchange->Abort();
      m_generations.erase(&generation);
      return;
    }
    if (generation.generated_tokens >= generation.max_tokens) {
      FinishGeneration(generation);
      return;
    }
    ++generation.generated_tokens;
    if (generation.is_streaming) {
      SendToken(generation);
    }
    generation.timer = m_loop.After(
        TimePerToken(), [this, shared = m_generations[&generation]] {
          GenerateNextToken(*shared);
        });
  }

  static std::string TokenText(const Generation& generation, int index) {
    return generation.token_prefix + "#" + std::to_string(index) + " ";
  }

  void SendToken(Generation& generation) {
    if (generation.generated_tokens == 1) {
      HttpHeaders headers;
      headers.Add("Content-Type", "text/event-stream");
      generation.exchange->StartStream(200, headers);
    }
    const Json chunk = {
        {"model", generation.model},
        {"choices",
         {{{"index", 0},
           {"delta",
            {{"content", TokenText(generation, generation.generated_tokens)}}},
           {"text", TokenText(generation, generation.generated_tokens)}}}}};
    generation.exchange->SendPart("data: " + chunk.dump() + "\n\n", nullptr);
  }

  void FinishGeneration(Generation& generation) {
    const auto shared = m_generations[&generation];
    m_generations.erase(&generation);
    ++m_finished_count;
    const Json usage = {{"prompt_tokens", generation.prompt_tokens},
                        {"completion_tokens", generation.generated_tokens},
                        {"total_tokens", generation.prompt_tokens +
                                             generation.generated_tokens}};
    if (generation.is_streaming) {
      generation.exchange->SendPart(
          "data: " + Json{{"choices", Json::array()}, {"usage", usage}}.dump() +
              "\n\ndata: [DONE]\n\n",
          nullptr);
      generation.exchange->EndStream();
      return;
    }
    std::string text;
    for (int i = 1; i <= generation.generated_tokens; ++i) {
      text += TokenText(generation, i);
    }
    ReplyJson(*generation.exchange, 200,
              {{"model", generation.model},
               {"choices",
                {{{"index", 0},
                  {"text", text},
                  {"message", {{"role", "assistant"}, {"content", text}}}}}},
               {"usage", usage}});
  }

  // Aborts all requests in flight and makes the engine cold again.
  void Crash() {
    ++m_crash_count;
    for (const auto& [key, generation] : m_generations) {
      generation->exchange->Abort();
    }
    m_generations.clear();
    m_warm_at = m_loop.clock().Now() + FromSeconds(m_options.cold_seconds);
  }

  void HandlePlainRequest(const std::shared_ptr<HttpExchange>& exchange) {
    const HttpRequest& request = exchange->request();
    RecordRequest(request);
    ++m_executions[request.method + " " + request.target + " " + request.body];
    const int execution = ++m_execution_count;
    const Json response_body = {{"path", request.target},
                                {"echo", request.body},
                                {"execution", execution}};
    if (m_faults.response_delay == Duration::zero()) {
      ReplyJson(*exchange, 200, response_body);
      return;
    }
    const std::size_t id = m_next_timer_id++;
    m_timers[id] = m_loop.After(m_faults.response_delay,
                                [this, exchange, response_body, id] {
                                  ReplyJson(*exchange, 200, response_body);
                                  m_timers.erase(id);
                                });
  }

  void SetFaults(HttpExchange& exchange) {
    const Json body = Json::parse(exchange.request().body, nullptr, false);
    if (body.value("die", false)) {
      std::_Exit(3);
    }
    m_faults.order_delay =
        std::chrono::milliseconds(body.value("order_delay_ms", 0));
    m_faults.is_stalled = body.value("silent", false);
    m_faults.aborts_next_generation = body.value("break_streams", false);
    m_faults.response_delay =
        std::chrono::milliseconds(body.value("delay_ms", 0));
    if (body.value("cold", false)) {
      m_warm_at = m_loop.clock().Now() + FromSeconds(m_options.cold_seconds);
    }
    if (!m_faults.is_stalled) {
      m_stalled_requests.clear();
    }
    ReplyJson(exchange, 200, Json::object());
  }

  [[nodiscard]] Json StateToJson() const {
    return {{"cold", IsCold()},
            {"in_flight", m_generations.size()},
            {"most_in_flight", m_max_in_flight},
            {"requests", m_request_count},
            {"finished", m_finished_count},
            {"fell_over", m_crash_count},
            {"overcommitted", m_memory.was_overcommitted()},
            {"used_mib", m_memory.used_mib()},
            {"models", m_memory.ready()},
            {"prefix_hits", m_prefixes.hits()},
            {"saw_key", m_received_caller_key},
            {"executions", m_executions}};
  }

  EventLoop& m_loop;
  EngineOptions m_options;
  EngineMemory m_memory;
  EngineFaults m_faults;
  PrefixCache m_prefixes{kMaxCachedPrefixes};
  std::string m_metrics_text;
  TimePoint m_warm_at;
  std::unique_ptr<Timer> m_metrics_timer;
  std::map<Generation*, std::shared_ptr<Generation>> m_generations;
  std::map<std::string, std::unique_ptr<HttpCall>> m_weight_calls;
  std::vector<std::shared_ptr<HttpExchange>> m_stalled_requests;
  std::map<std::string, int> m_executions;
  int m_execution_count = 0;
  std::size_t m_request_count = 0;
  std::size_t m_finished_count = 0;
  std::size_t m_max_in_flight = 0;
  std::size_t m_crash_count = 0;
  bool m_received_caller_key = false;
  std::size_t m_next_timer_id = 0;
  std::map<std::size_t, std::unique_ptr<Timer>> m_timers;
  HttpServer m_server;
};

}  // namespace
}  // namespace bambooquay

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  bambooquay::EngineOptions engine;
  po::options_description options("engine-standin");
  options.add_options()("listen", po::value(&engine.listen)->required(),
                        "IP:PORT")("weights", po::value(&engine.weights),
                                   "weight store, IP:PORT")(
      "plain", po::bool_switch(&engine.is_plain_service), "a plain service")(
      "memory-mib", po::value(&engine.memory_mib), "accelerator memory")(
      "token-ms", po::value(&engine.token_ms), "time for each token")(
      "warm-limit", po::value(&engine.warm_limit), "load borne when warm")(
      "cold-limit", po::value(&engine.cold_limit), "load borne when cold")(
      "cold-seconds", po::value(&engine.cold_seconds), "time to warm up")(
      "checks-fencing", po::bool_switch(&engine.checks_fencing),
      "refuse old fencing numbers");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << options;
    return 64;
  }
  const auto endpoint = bambooquay::ParseEndpoint(engine.listen);
  bambooquay::EventLoop loop;
  bambooquay::EngineStandin standin(loop, engine);
  if (!endpoint.has_value() || !standin.Listen(*endpoint)) {
    std::cerr << "cannot listen on " << engine.listen << '\n';
    return 69;
  }
  loop.OnSignal(15, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
