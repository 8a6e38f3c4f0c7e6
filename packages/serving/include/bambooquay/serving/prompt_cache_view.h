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

/// The most recently used parts of one engine's prompts. A part counts as
/// kept only after all parts before it.
class PromptCacheView {
 public:
  /// @param model  part of the key: engines keep parts for each model and
  ///   adapter on its own.
  void Note(const ModelName& model, const AdapterName& adapter,
            const std::vector<PromptPart>& prompt);
  /// @returns the tokens at the head of `prompt` that are probably kept.
  [[nodiscard]] double KeptTokens(const ModelName& model,
                                  const AdapterName& adapter,
                                  const std::vector<PromptPart>& prompt) const;
  void Clear() noexcept;

 private:
  using Key = std::uint64_t;

  std::list<Key> m_order;
  std::unordered_map<Key, std::list<Key>::iterator> m_parts;
};

/// @returns hashes of each prefix of `prompt`: item i covers parts 0 to i.
[[nodiscard]] std::vector<std::uint64_t> PrefixHashes(
    const ModelName& model, const AdapterName& adapter,
    const std::vector<PromptPart>& prompt);

}  // namespace bambooquay
