// The memory of the simulated engine: loaded models, adapters and the fencing
// token.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bambooquay {

/// Accounts for accelerator memory. A load that exceeds the capacity fails, as
/// on a real accelerator.
class EngineMemory {
 public:
  EngineMemory(std::int64_t capacity_mib, bool checks_fencing)
      : m_capacity_mib(capacity_mib), m_checks_fencing(checks_fencing) {}

  /// Records the fencing token of an order.
  /// @returns false if the order is to be refused, as an earlier order had a
  ///   higher token; always true without checks_fencing.
  bool AcceptFencingToken(std::uint64_t fencing_token);
  /// Reserves the memory of a model, which is ready after FinishLoad.
  /// @returns false if the memory does not suffice; was_overcommitted() is true
  ///   from then on.
  bool StartLoad(const std::string& model, std::int64_t memory_mib);
  void FinishLoad(const std::string& model);
  void Unload(const std::string& model);
  void LoadAdapter(const std::string& adapter) { m_adapters.insert(adapter); }

  /// @param name  of a model or an adapter.
  [[nodiscard]] bool IsReady(const std::string& name) const;
  [[nodiscard]] std::int64_t used_mib() const;
  [[nodiscard]] bool was_overcommitted() const noexcept {
    return m_was_overcommitted;
  }
  // Models by name with their memory in MiB.
  [[nodiscard]] const std::map<std::string, std::int64_t>& loading()
      const noexcept {
    return m_loading;
  }
  [[nodiscard]] const std::map<std::string, std::int64_t>& ready()
      const noexcept {
    return m_ready;
  }

 private:
  std::int64_t m_capacity_mib;
  bool m_checks_fencing;
  std::uint64_t m_highest_fencing_token = 0;
  bool m_was_overcommitted = false;
  std::map<std::string, std::int64_t> m_loading;
  std::map<std::string, std::int64_t> m_ready;
  std::set<std::string> m_adapters;
};

}  // namespace bambooquay
