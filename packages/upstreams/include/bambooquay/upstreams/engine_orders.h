// Loads and unloads the models of an engine through the KServe model-repository
// extension, and loads its adapters through vLLM's LoRA endpoints.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/configuration.h"
#include "bambooquay/core/memory_ledger.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"

namespace bambooquay {

/// Keeps the planned models loaded in one engine without exceeding its memory.
/// Sends one load or unload order at a time, and reads the engine's own list of
/// models before the first order and after each one.
class EngineModelManager {
 public:
  EngineModelManager(EventLoop& loop, const Endpoint& engine, MebiBytes memory);
  EngineModelManager(const EngineModelManager&) = delete;
  EngineModelManager& operator=(const EngineModelManager&) = delete;
  ~EngineModelManager();

  /// Allows orders to be sent; each carries `fencing_token`. If another agent
  /// process controlled the engine before, its orders must not take effect any
  /// more: an engine that checks tokens is sent the new token first. With any
  /// other engine, the first order waits until every earlier order has been
  /// executed or dropped.
  /// @param checks_fencing  whether the engine refuses orders with an older
  ///   fencing token.
  void TakeOver(std::uint64_t fencing_token, bool checks_fencing);
  /// Sets the models to keep loaded and the memory that each needs.
  void SetPlannedModels(std::map<ModelName, MebiBytes> plan);
  /// @returns whether the model is loaded and answers requests.
  [[nodiscard]] bool IsLoaded(const ModelName& model) const noexcept {
    return m_ledger.IsLoaded(model);
  }
  /// @returns whether every planned model is loaded.
  [[nodiscard]] bool HasAllPlannedModels() const noexcept;
  /// @returns whether the engine answered the last request for its model list.
  [[nodiscard]] bool reachable() const noexcept { return m_reachable; }
  [[nodiscard]] const MemoryLedger& ledger() const noexcept { return m_ledger; }
  /// Sets a callback that runs when the engine becomes reachable (true) or
  /// unreachable (false).
  void OnReachabilityChange(std::function<void(bool)> callback) {
    m_on_reachability_change = std::move(callback);
  }

  /// Loads `adapter` unless it is loaded already, then calls `done` with
  /// whether it is loaded now.
  void EnsureAdapterLoaded(const AdapterName& adapter,
                           std::function<void(bool)> done);

 private:
  void FetchModelList();
  /// Cancels a pending fetch of the list and starts a new one. The pending
  /// response may describe the engine before the event that the next list has
  /// to reflect, such as a change of the fencing token.
  void RefetchModelList();
  void HandleModelList(const HttpResult& result);
  void SetReachable(bool reachable);
  void SendNextOrder();
  void SendFencingToken();
  void HandleLoadResult(const ModelName& model, const HttpResult& result);
  void SendAdapterOrder(const AdapterName& adapter);
  [[nodiscard]] HttpRequest MakeOrderRequest(const std::string& target) const;

  EventLoop& m_loop;
  Endpoint m_engine;
  MemoryLedger m_ledger;
  /// 0 until TakeOver().
  std::uint64_t m_fencing_token = 0;
  /// Whether the engine has not seen the new token yet. Loads and unloads are
  /// sent only after it has.
  bool m_must_send_fencing_token = false;
  /// Earliest time of the first order.
  TimePoint m_first_order_at{};
  std::map<ModelName, MebiBytes> m_planned_models;
  bool m_reachable = false;
  /// Whether the engine's list was read since the last RefetchModelList().
  /// Loads and unloads are sent only after that.
  bool m_is_list_current = false;
  std::function<void(bool)> m_on_reachability_change;
  std::unique_ptr<HttpCall> m_model_list_call;
  std::unique_ptr<HttpCall> m_order_call;
  std::set<AdapterName> m_loaded_adapters;
  std::map<AdapterName, std::vector<std::function<void(bool)>>>
      m_adapter_callbacks;
  std::map<AdapterName, std::unique_ptr<HttpCall>> m_adapter_calls;
  std::unique_ptr<Timer> m_list_timer;
};

}  // namespace bambooquay
