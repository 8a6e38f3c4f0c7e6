// Decides the next order to one engine.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/serving/document_codec.h"
#include "bambooquay/serving/fleet_configuration.h"

namespace bambooquay {

struct PlannedOrder {
  OrderKind kind = OrderKind::kLoad;
  ModelName model;
  AdapterName adapter;
  /// The weights come from the weight store.
  bool from_store = false;
};

/// @param held  models on the engine, as reported and ordered since.
/// @param target  models to hold.
/// @returns the next order towards the target, or nothing if it holds. Memory
///   for a load is freed first, only of models outside the target.
[[nodiscard]] std::optional<PlannedOrder> NextModelOrder(
    const EngineProfile& profile, const EngineReport& report,
    const std::vector<ModelName>& target);

/// @param order_of_use  adapters as `model/adapter`, least recently used
///   first.
/// @returns the order that brings the adapter closer: its load, or the unload
///   of another that makes room; nothing if it is there, on its way, or its
///   model is not there.
[[nodiscard]] std::optional<PlannedOrder> NextAdapterOrder(
    const EngineProfile& profile, const EngineReport& report,
    const ModelName& model, const AdapterName& adapter,
    const std::deque<std::string>& order_of_use);

}  // namespace bambooquay
