// Tracks the accelerator memory of one engine.
#include "bambooquay/core/memory_ledger.h"

#include <algorithm>

namespace bambooquay {

bool MemoryLedger::BeginLoad(const ModelName& model, MebiBytes memory) {
  const auto found = m_models.find(model);
  if (found != m_models.end()) {
    if (found->second.load_state == ModelLoadState::kUnloading) {
      return false;
    }
    ++found->second.orders_without_reply;
    return true;
  }
  if (m_reserved + memory > m_capacity) {
    return false;
  }
  m_models.emplace(model, ModelUsage{ModelLoadState::kLoading, memory, 1, {}});
  m_reserved += memory;
  return true;
}

void MemoryLedger::RecordLoadReply(const ModelName& model, bool refused) {
  const auto found = m_models.find(model);
  if (found == m_models.end()) {
    return;
  }
  ModelUsage& usage = found->second;
  usage.orders_without_reply = std::max(usage.orders_without_reply - 1, 0);
  if (refused && usage.load_state == ModelLoadState::kLoading &&
      !LoadMayTakeEffect(usage)) {
    m_reserved -= usage.memory;
    m_models.erase(found);
  }
}

void MemoryLedger::RecordLostLoadReply(const ModelName& model) {
  const auto found = m_models.find(model);
  if (found != m_models.end()) {
    found->second.orders_without_reply =
        std::max(found->second.orders_without_reply - 1, 0);
    found->second.lost_order_expires_at = m_clock.Now() + m_order_lifetime;
  }
}

void MemoryLedger::BeginUnload(const ModelName& model) {
  const auto found = m_models.find(model);
  if (found != m_models.end()) {
    found->second.load_state = ModelLoadState::kUnloading;
  }
}

void MemoryLedger::Reconcile(
    const std::map<ModelName, ReportedModel>& reported) {
  for (const auto& [model, item] : reported) {
    ApplyReportedModel(model, item);
  }
  for (auto current = m_models.begin(); current != m_models.end();) {
    ModelUsage& usage = current->second;
    const bool is_reported = reported.contains(current->first);
    if (!is_reported && !LoadMayTakeEffect(usage)) {
      m_reserved -= usage.memory;
      current = m_models.erase(current);
      continue;
    }
    if (!is_reported && usage.load_state == ModelLoadState::kLoaded) {
      // The model is gone, but a repeated load order may still load it again.
      usage.load_state = ModelLoadState::kLoading;
    }
    ++current;
  }
}

void MemoryLedger::ApplyReportedModel(const ModelName& model,
                                      const ReportedModel& reported) {
  const auto [found, is_new] = m_models.try_emplace(
      model, ModelUsage{ModelLoadState::kLoading, reported.memory, 0, {}});
  if (is_new) {
    m_reserved += reported.memory;
  }
  if (found->second.load_state != ModelLoadState::kUnloading) {
    found->second.load_state =
        reported.ready ? ModelLoadState::kLoaded : ModelLoadState::kLoading;
  }
}

bool MemoryLedger::IsLoaded(const ModelName& model) const noexcept {
  const auto found = m_models.find(model);
  return found != m_models.end() &&
         found->second.load_state == ModelLoadState::kLoaded;
}

std::set<ModelName> MemoryLedger::LoadedModels() const {
  std::set<ModelName> models;
  for (const auto& [model, usage] : m_models) {
    if (usage.load_state == ModelLoadState::kLoaded) {
      models.insert(model);
    }
  }
  return models;
}

bool MemoryLedger::LoadMayTakeEffect(const ModelUsage& usage) const noexcept {
  return usage.orders_without_reply > 0 ||
         usage.lost_order_expires_at > m_clock.Now();
}

}  // namespace bambooquay
