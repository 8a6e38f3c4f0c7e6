// Which parts of prompts an engine probably keeps, judged by what was sent to
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/ids.h"
#include "bambooquay/serving/call_codec.h"

namespace bambooquay {

/// The head of a prompt, up to and with one of its parts.
struct PromptPrefix {
  /// Of model, adapter and all parts so far: engines keep parts for each model
  /// and adapter on its own.
  std::uint64_t hash = 0;
  double tokens = 0.0;  ///< Of its last part.
};

/// One prefix for each part, in order.
using PromptPrefixes = std::vector<PromptPrefix>;

[[nodiscard]] PromptPrefixes MakePrefixes(
    const ModelName& model, const AdapterName& adapter,
    const std::vector<PromptPart>& prompt);

/// The most recently used parts of one engine's prompts. A part counts as
/// kept only after all parts before it.
class PromptCacheView {
 public:
  void Note(const PromptPrefixes& prompt);
  /// @returns the tokens at the head of `prompt` that are probably kept.
  [[nodiscard]] double KeptTokens(const PromptPrefixes& prompt) const;

 private:
  using Key = std::uint64_t;

  std::list<Key> m_order;
  std::unordered_map<Key, std::list<Key>::iterator> m_parts;
};

}  // namespace bambooquay
