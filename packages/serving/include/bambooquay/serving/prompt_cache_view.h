// Estimates which parts of prompts an engine has in its prompt cache, from the
// prompts that were sent to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/call_codec.h"

namespace bambooquay {

/// The first parts of a prompt, up to and including one of them.
struct PromptPrefix {
  /// Over model, adapter and these parts: engines cache prompts separately for
  /// each model and adapter.
  std::uint64_t hash = 0;
  double tokens = 0.0;  ///< Tokens of its last part.
};

/// One prefix for each part of a prompt, in order.
using PromptPrefixes = std::vector<PromptPrefix>;

[[nodiscard]] PromptPrefixes MakePrefixes(
    const ModelName& model, const AdapterName& adapter,
    const std::vector<PromptPart>& prompt);

[[nodiscard]] PromptPrefixes ToPrefixes(
    const std::vector<AnnouncedPrefix>& announced);

/// The most recently used prefixes of the prompts sent to one engine (LRU). A
/// part counts as cached only if all parts before it are cached too.
class PromptCacheView {
 public:
  /// Sets the size of the engine's KV cache. Without it, only the number of
  /// prefixes is bounded.
  /// @param tokens  ignored if it is 0.
  void SetMemory(double tokens) noexcept;
  /// Records a prompt that is sent to the engine.
  void RecordPrompt(const PromptPrefixes& prompt);
  /// @returns the number of leading tokens of `prompt` that the engine has
  ///   probably cached.
  [[nodiscard]] double CachedTokens(const PromptPrefixes& prompt) const;

 private:
  using Key = std::uint64_t;

  /// The most recently used prefix first.
  std::list<PromptPrefix> m_recency;
  std::unordered_map<Key, std::list<PromptPrefix>::iterator> m_prefixes;
  double m_tokens = 0.0;  ///< Of all prefixes.
  std::optional<double> m_capacity;
};

}  // namespace bambooquay
