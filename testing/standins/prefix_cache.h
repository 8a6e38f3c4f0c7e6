// The prompt prefix cache of the simulated engine.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>

namespace bambooquay {

/// The prompt prefixes whose KV cache an engine still has, in order of their
/// last use. Holds at most `capacity` prefixes.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : m_capacity(capacity) {}

  /// Marks `prefix` as the most recently used. A new one evicts the least
  /// recently used if the cache is full.
  /// @returns the size of the cached prefix in bytes, 0 if it was not cached.
  std::size_t LookUpOrInsert(const std::string& prefix) {
    const auto found = std::ranges::find(m_prefixes, prefix);
    const bool is_hit = found != m_prefixes.end();
    if (is_hit) {
      m_prefixes.erase(found);
    } else if (m_prefixes.size() >= m_capacity) {
      m_prefixes.pop_front();
    }
    m_prefixes.push_back(prefix);
    m_hits += is_hit ? 1 : 0;
    return is_hit ? prefix.size() : 0;
  }
  [[nodiscard]] std::size_t hits() const noexcept { return m_hits; }

 private:
  std::size_t m_capacity;
  std::deque<std::string> m_prefixes;
  std::size_t m_hits = 0;
};

}  // namespace bambooquay
