// The calls of the last seconds that have survived, by the parts of their
// prompts.
#include "bambooquay/quarantine/recent_survivals.h"

namespace bambooquay {
namespace {

// Longer than a crash takes to become certain.
constexpr Duration kLifetime = std::chrono::seconds(15);
// Bound on memory. Parts beyond it are not remembered.
constexpr std::size_t kMaxParts = 4096;

}  // namespace

void RecentSurvivals::Add(PromptPartId part, const Survival& survival) {
  const auto found = m_parts.find(part);
  if (found == m_parts.end() && m_parts.size() >= kMaxParts) {
    return;
  }
  Entry& entry = m_parts[part];
  entry.survivals.Add(survival);
  entry.updated_at = m_clock.Now();
}

const Survivals& RecentSurvivals::Find(PromptPartId part) const {
  static const Survivals kNone;
  const auto found = m_parts.find(part);
  return found == m_parts.end() ? kNone : found->second.survivals;
}

void RecentSurvivals::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_parts, [&](const auto& item) {
    return now - item.second.updated_at > kLifetime;
  });
}

}  // namespace bambooquay
