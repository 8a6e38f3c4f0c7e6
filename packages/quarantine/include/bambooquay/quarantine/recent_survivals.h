// The calls of the last seconds that have survived, by the parts of their
// prompts.
#pragma once

#include <cstddef>
#include <map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/quarantine/survival.h"

namespace bambooquay {

/// Remembers the survivals of parts that nothing speaks against yet: a crash
/// may become certain only seconds later, when calls with its parts have
/// survived long since.
class RecentSurvivals {
 public:
  explicit RecentSurvivals(const Clock& clock) noexcept : m_clock(clock) {}

  void Add(PromptPartId part, const Survival& survival);
  /// @returns the survivals of a part; empty if none is known.
  [[nodiscard]] const Survivals& Find(PromptPartId part) const;
  void RemoveExpired();
  [[nodiscard]] std::size_t size() const noexcept { return m_parts.size(); }

 private:
  struct Entry {
    Survivals survivals;
    TimePoint updated_at{};
  };

  const Clock& m_clock;
  std::map<PromptPartId, Entry> m_parts;
};

}  // namespace bambooquay
