// The memory of the simulated engine.
#include "engine_memory.h"

#include <numeric>

namespace bambooquay {

bool EngineMemory::AcceptFencingToken(std::uint64_t fencing_token) {
  if (!m_checks_fencing) {
    return true;
  }
  if (fencing_token < m_highest_fencing_token) {
    return false;
  }
  m_highest_fencing_token = fencing_token;
  return true;
}

bool EngineMemory::StartLoad(const std::string& model,
                             std::int64_t memory_mib) {
  if (m_loading.contains(model) || m_ready.contains(model)) {
    return true;
  }
  if (used_mib() + memory_mib > m_capacity_mib) {
    m_was_overcommitted = true;
    return false;
  }
  m_loading.emplace(model, memory_mib);
  return true;
}

void EngineMemory::FinishLoad(const std::string& model) {
  auto entry = m_loading.extract(model);
  if (!entry.empty()) {
    m_ready.insert(std::move(entry));
  }
}

void EngineMemory::Unload(const std::string& model) { m_ready.erase(model); }

bool EngineMemory::IsReady(const std::string& name) const {
  return m_ready.contains(name) || m_adapters.contains(name);
}

std::int64_t EngineMemory::used_mib() const {
  const auto add = [](std::int64_t sum, const auto& entry) {
    return sum + entry.second;
  };
  return std::accumulate(
      m_loading.begin(), m_loading.end(),
      std::accumulate(m_ready.begin(), m_ready.end(), std::int64_t{0}, add),
      add);
}

}  // namespace bambooquay
