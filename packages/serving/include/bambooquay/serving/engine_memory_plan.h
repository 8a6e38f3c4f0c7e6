// Decides which model or adapter an engine should load or unload next.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/serving/document_codec.h"
#include "bambooquay/serving/fleet_configuration.h"

namespace bambooquay {

/// An order that an engine should be sent next.
struct PlannedOrder {
  OrderKind kind = OrderKind::kLoad;
  ModelName model;
  AdapterName adapter;  ///< Empty for the model itself.
  /// Whether the weights have to be loaded from the weight store.
  bool from_store = false;
};

/// Decides the next step from the models on the engine to those in the target.
///
/// @param report  the engine's report, updated by the orders accepted since.
/// @param target  the models that the engine should have loaded.
/// @returns the next order, or nothing if all models of the target are loaded,
///   the engine takes no orders, or no memory can be freed. Models outside the
///   target are unloaded only if a load needs their memory.
[[nodiscard]] std::optional<PlannedOrder> NextModelOrder(
    const EngineProfile& profile, const EngineReport& report,
    const std::vector<ModelName>& target);

/// Decides the next step to load an adapter.
///
/// @param adapters_by_last_use  adapters as `model/adapter`, least recently
///   used first.
/// @returns the load of the adapter, or the unload of another adapter if all
///   slots are taken; nothing if the adapter is loaded or being loaded, its
///   model is not loaded, or adapters that are being loaded take all slots.
[[nodiscard]] std::optional<PlannedOrder> NextAdapterOrder(
    const EngineProfile& profile, const EngineReport& report,
    const ModelName& model, const AdapterName& adapter,
    const std::deque<std::string>& adapters_by_last_use);

}  // namespace bambooquay
