// Loads and unloads the models and adapters of an engine.
#include "bambooquay/upstreams/engine_orders.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr Duration kModelListPeriod = std::chrono::milliseconds(500);
constexpr Duration kModelListTimeout = std::chrono::seconds(2);
constexpr Duration kOrderTimeout = std::chrono::seconds(120);
// Once this time has passed, an order whose response was lost has either been
// executed, so that the engine's list shows its effect, or been dropped.
constexpr Duration kOrderLifetime = std::chrono::seconds(30);
constexpr Duration kAdapterTimeout = std::chrono::seconds(10);
constexpr const char* kReadyState = "READY";
constexpr const char* kLoadingState = "LOADING";
// No model is named "-": unloading it has no effect other than passing the
// fencing token to the engine.
constexpr const char* kFencingTarget = "/v2/repository/models/-/unload";

bool IsSuccess(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  return response != nullptr && response->status == ToCode(HttpStatus::kOk);
}

}  // namespace

EngineModelManager::EngineModelManager(EventLoop& loop, const Endpoint& engine,
                                       MebiBytes memory)
    : m_loop(loop),
      m_engine(engine),
      m_ledger(loop.clock(), memory, kOrderLifetime),
      m_list_timer(loop.Every(kModelListPeriod, [this] { FetchModelList(); })) {
  FetchModelList();
}

EngineModelManager::~EngineModelManager() = default;

void EngineModelManager::TakeOver(std::uint64_t fencing_token,
                                  bool checks_fencing) {
  if (m_fencing_token == fencing_token) {
    return;
  }
  m_fencing_token = fencing_token;
  // The first agent process of an upstream has the fencing token 1.
  const bool had_predecessor = fencing_token > 1;
  m_must_send_fencing_token = had_predecessor && checks_fencing;
  // An engine that ignores fencing tokens may still execute an order of the
  // previous agent process.
  m_first_order_at =
      m_loop.clock().Now() +
      (had_predecessor && !checks_fencing ? kOrderLifetime : Duration::zero());
  RefetchModelList();
}

void EngineModelManager::SetPlannedModels(std::map<ModelName, MebiBytes> plan) {
  m_planned_models = std::move(plan);
  SendNextOrder();
}

bool EngineModelManager::HasAllPlannedModels() const noexcept {
  return std::ranges::all_of(m_planned_models, [&](const auto& entry) {
    return m_ledger.IsLoaded(entry.first);
  });
}

void EngineModelManager::RefetchModelList() {
  m_is_list_current = false;
  m_model_list_call = nullptr;
  FetchModelList();
}

void EngineModelManager::FetchModelList() {
  if (m_model_list_call != nullptr) {
    return;
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/v2/repository/index";
  request.body = "{}";
  m_model_list_call = FetchHttp(m_loop, m_engine, request, kModelListTimeout,
                                [this](const HttpResult& result) {
                                  m_model_list_call = nullptr;
                                  HandleModelList(result);
                                });
}

void EngineModelManager::HandleModelList(const HttpResult& result) {
  const Json list =
      IsSuccess(result)
          ? Json::parse(std::get<HttpResponse>(result).body, nullptr, false)
          : Json();
  SetReachable(list.is_array());
  if (!list.is_array()) {
    return;
  }
  std::map<ModelName, ReportedModel> reported;
  for (const Json& item : list) {
    const std::string state =
        item.is_object() ? item.value("state", "") : std::string();
    if (state == kReadyState || state == kLoadingState) {
      reported.emplace(
          ModelName(item.value("name", "")),
          ReportedModel{MebiBytes{item.value("memory_mib", std::int64_t{0})},
                        state == kReadyState});
    }
  }
  m_ledger.Reconcile(reported);
  m_is_list_current = true;
  SendNextOrder();
}

void EngineModelManager::SetReachable(bool reachable) {
  if (m_reachable == reachable) {
    return;
  }
  m_reachable = reachable;
  if (!reachable) {
    m_loaded_adapters.clear();
  }
  if (m_on_reachability_change) {
    m_on_reachability_change(reachable);
  }
}

void EngineModelManager::SendNextOrder() {
  if (m_order_call != nullptr || !m_reachable || m_fencing_token == 0 ||
      m_loop.clock().Now() < m_first_order_at) {
    return;
  }
  if (m_must_send_fencing_token) {
    SendFencingToken();
    return;
  }
  if (!m_is_list_current) {
    return;
  }
  for (const auto& [model, memory] : m_planned_models) {
    // An order whose outcome is unknown is repeated: the memory for the model
    // is already reserved, and loading a loaded model has no effect.
    if (m_ledger.IsLoaded(model) || !m_ledger.BeginLoad(model, memory)) {
      continue;
    }
    HttpRequest request =
        MakeOrderRequest("/v2/repository/models/" + model.value() + "/load");
    request.body = Json{{"parameters", {{"memory_mib", memory.count}}}}.dump();
    LogEvent(LogLevel::kInfo, "load_ordered").With("model", model.value());
    m_order_call = FetchHttp(m_loop, m_engine, request, kOrderTimeout,
                             [this, model = model](const HttpResult& result) {
                               m_order_call = nullptr;
                               HandleLoadResult(model, result);
                             });
    return;
  }
  for (const ModelName& model : m_ledger.LoadedModels()) {
    if (m_planned_models.contains(model)) {
      continue;
    }
    m_ledger.BeginUnload(model);
    LogEvent(LogLevel::kInfo, "unload_ordered").With("model", model.value());
    m_order_call = FetchHttp(
        m_loop, m_engine,
        MakeOrderRequest("/v2/repository/models/" + model.value() + "/unload"),
        kOrderTimeout, [this](const HttpResult&) {
          m_order_call = nullptr;
          FetchModelList();
        });
    return;
  }
}

// Once the engine has seen the new token it refuses all orders with older
// tokens, so the next list shows all the memory in use.
void EngineModelManager::SendFencingToken() {
  m_order_call = FetchHttp(m_loop, m_engine, MakeOrderRequest(kFencingTarget),
                           kModelListTimeout, [this](const HttpResult& result) {
                             m_order_call = nullptr;
                             m_must_send_fencing_token =
                                 !std::holds_alternative<HttpResponse>(result);
                             RefetchModelList();
                           });
}

void EngineModelManager::HandleLoadResult(const ModelName& model,
                                          const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  const auto* http_outcome = std::get_if<HttpOutcome>(&result);
  if (response != nullptr && response->status == ToCode(HttpStatus::kOk)) {
    m_ledger.RecordLoadReply(model, false);
  } else if (response != nullptr || (http_outcome != nullptr &&
                                     *http_outcome == HttpOutcome::kNotSent)) {
    m_ledger.RecordLoadReply(model, true);
    LogEvent(LogLevel::kWarning, "load_refused")
        .With("model", model.value())
        .With("status", response == nullptr ? 0 : response->status);
  } else {
    m_ledger.RecordLostLoadReply(model);
    LogEvent(LogLevel::kWarning, "load_answer_lost")
        .With("model", model.value());
  }
  FetchModelList();
}

void EngineModelManager::EnsureAdapterLoaded(const AdapterName& adapter,
                                             std::function<void(bool)> done) {
  if (m_loaded_adapters.contains(adapter)) {
    done(true);
    return;
  }
  auto& callbacks = m_adapter_callbacks[adapter];
  callbacks.push_back(std::move(done));
  if (callbacks.size() == 1) {
    SendAdapterOrder(adapter);
  }
}

void EngineModelManager::SendAdapterOrder(const AdapterName& adapter) {
  HttpRequest request = MakeOrderRequest("/v1/load_lora_adapter");
  request.body =
      Json{{"lora_name", adapter.value()}, {"lora_path", adapter.value()}}
          .dump();
  m_adapter_calls[adapter] = FetchHttp(
      m_loop, m_engine, request, kAdapterTimeout,
      [this, adapter](const HttpResult& result) {
        m_adapter_calls.erase(adapter);
        const bool loaded = IsSuccess(result);
        if (loaded) {
          m_loaded_adapters.insert(adapter);
        }
        const auto callbacks = std::move(m_adapter_callbacks[adapter]);
        m_adapter_callbacks.erase(adapter);
        for (const auto& callback : callbacks) {
          callback(loaded);
        }
      });
}

HttpRequest EngineModelManager::MakeOrderRequest(
    const std::string& target) const {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("X-Fencing-Number", std::to_string(m_fencing_token));
  return request;
}

}  // namespace bambooquay
