// Parses callers' HTTP requests into calls.
#include "bambooquay/callers/api_call.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr double kBytesPerToken = 4.0;
constexpr double kDefaultMaxTokens = 256.0;
constexpr double kMaxTokensLimit = 1e6;
constexpr std::size_t kMaxIdempotencyKeyLength = 256;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::string_view kBearerPrefix = "Bearer ";

ApiError MakeError(HttpStatus status, std::string code, std::string message) {
  return {status, std::move(code), std::move(message), Outcome::kNotRun,
          Duration::zero()};
}

Tokens EstimatePromptTokens(const HttpRequest& request) {
  return {static_cast<double>(request.body.size()) / kBytesPerToken + 1.0};
}

/// Parses the headers that any call may have into `call`.
std::optional<ApiError> ParseHeaders(const HttpRequest& request,
                                     UpstreamCall& call) {
  const std::string_view priority = request.headers.Get("X-Priority");
  if (!priority.empty() && priority != "interactive" && priority != "batch") {
    return MakeError(HttpStatus::kBadRequest, "bad_priority",
                     "X-Priority is neither 'interactive' nor 'batch'");
  }
  call.priority =
      priority == "batch" ? Priority::kBatch : Priority::kInteractive;
  const std::string_view deadline = request.headers.Get("X-Deadline-Ms");
  if (!deadline.empty()) {
    std::int64_t milliseconds = 0;
    const char* end = deadline.data() + deadline.size();
    const auto parsed = std::from_chars(deadline.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds <= 0 ||
        milliseconds > kMaxDeadlineMs) {
      return MakeError(HttpStatus::kBadRequest, "bad_deadline",
                       "X-Deadline-Ms is not a number of milliseconds");
    }
    call.time_limit = std::chrono::milliseconds(milliseconds);
  }
  call.idempotency_key = request.headers.Get("Idempotency-Key");
  if (call.idempotency_key.size() > kMaxIdempotencyKeyLength) {
    return MakeError(HttpStatus::kBadRequest, "bad_idempotency_key",
                     "Idempotency-Key is longer than 256 characters");
  }
  return std::nullopt;
}

std::optional<ApiError> ParseModelBody(const Json& body,
                                       const Configuration& configuration,
                                       UpstreamCall& call) {
  if (!body.contains("model") || !body["model"].is_string()) {
    return MakeError(HttpStatus::kBadRequest, "bad_request",
                     "'model' is missing or not a string");
  }
  const auto name = body["model"].get<std::string>();
  const ModelSettings* model = configuration.Resolve(name);
  if (model == nullptr) {
    return MakeError(HttpStatus::kNotFound, "model_not_found",
                     "no model '" + name + "' is listed");
  }
  call.model = model->name;
  if (model->name.value() != name) {
    call.adapter = AdapterName(name);
  }
  call.service = configuration.ServiceOf(model->name);
  if (body.contains("stream")) {
    if (!body["stream"].is_boolean()) {
      return MakeError(HttpStatus::kBadRequest, "bad_request",
                       "'stream' is not a boolean");
    }
    call.is_streaming = body["stream"].get<bool>();
  }
  double max_tokens = kDefaultMaxTokens;
  if (body.contains("max_tokens")) {
    if (!body["max_tokens"].is_number_unsigned() ||
        body["max_tokens"].get<double>() > kMaxTokensLimit ||
        body["max_tokens"].get<double>() < 1.0) {
      return MakeError(HttpStatus::kBadRequest, "bad_request",
                       "'max_tokens' is not a positive whole number");
    }
    max_tokens = body["max_tokens"].get<double>();
  }
  call.cost += Tokens{max_tokens};
  return std::nullopt;
}

ApiCall ParseModelCall(const HttpRequest& request,
                       const Configuration& configuration, UpstreamCall call) {
  if (request.method != "POST") {
    return MakeError(HttpStatus::kMethodNotAllowed, "method_not_allowed",
                     "this route takes POST");
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return MakeError(HttpStatus::kBadRequest, "bad_json",
                     "the body is not a JSON object");
  }
  call.target = request.target;
  if (auto error = ParseModelBody(body, configuration, call)) {
    return *error;
  }
  return call;
}

ApiCall ParsePlainCall(const HttpRequest& request,
                       const Configuration& configuration, UpstreamCall call) {
  const std::string_view target = request.target;
  const std::size_t end = target.find_first_of("/?", 1);
  const std::string_view route = target.substr(1, end - 1);
  call.service = configuration.ServiceForRoute(route);
  if (call.service == nullptr) {
    return MakeError(HttpStatus::kNotFound, "route_not_found",
                     "no service is routed here");
  }
  call.target =
      end == std::string_view::npos ? "/" : std::string(target.substr(end));
  if (call.target.front() == '?') {
    call.target.insert(0, 1, '/');
  }
  call.idempotent = call.service->IsIdempotent(request.method);
  return call;
}

}  // namespace

ApiCall ParseApiCall(const HttpRequest& request,
                     const Configuration& configuration) {
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  if (path.empty() || path.front() != '/') {
    return MakeError(HttpStatus::kBadRequest, "bad_request",
                     "the target is not a path");
  }
  if (path == "/v1/models") {
    return ListModelsCall{};
  }
  UpstreamCall call;
  call.cost = EstimatePromptTokens(request);
  if (auto error = ParseHeaders(request, call)) {
    return *error;
  }
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    return ParseModelCall(request, configuration, std::move(call));
  }
  return ParsePlainCall(request, configuration, std::move(call));
}

std::string ExtractBearerKey(const HttpRequest& request) {
  const std::string_view header = request.headers.Get("Authorization");
  return header.starts_with(kBearerPrefix)
             ? std::string(header.substr(kBearerPrefix.size()))
             : std::string();
}

std::string ModelListJson(const Configuration& configuration) {
  Json data = Json::array();
  for (const ModelSettings& model : configuration.models) {
    data.push_back({{"id", model.name.value()}, {"object", "model"}});
    for (const AdapterName& adapter : model.adapters) {
      data.push_back({{"id", adapter.value()},
                      {"object", "model"},
                      {"parent", model.name.value()}});
    }
  }
  return Json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

}  // namespace bambooquay
