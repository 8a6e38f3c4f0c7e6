// Which parts of prompts an engine probably keeps.
#include "bambooquay/serving/prompt_cache_view.h"

#include <boost/container_hash/hash.hpp>

namespace bambooquay {
namespace {

// Prefixes remembered for each engine; an engine of some 240,000 tokens keeps
// fewer than this.
constexpr std::size_t kMaxParts = 512;

}  // namespace

std::vector<std::uint64_t> PrefixHashes(const ModelName& model,
                                        const AdapterName& adapter,
                                        const std::vector<PromptPart>& prompt) {
  std::size_t seed = 0;
  boost::hash_combine(seed, model.value());
  boost::hash_combine(seed, adapter.value());
  std::vector<std::uint64_t> hashes;
  hashes.reserve(prompt.size());
  for (const PromptPart& part : prompt) {
    boost::hash_combine(seed, part.id);
    hashes.push_back(seed);
  }
  return hashes;
}

void PromptCacheView::Note(const ModelName& model, const AdapterName& adapter,
                           const std::vector<PromptPart>& prompt) {
  for (const Key key : PrefixHashes(model, adapter, prompt)) {
    const auto known = m_parts.find(key);
    if (known != m_parts.end()) {
      m_order.splice(m_order.begin(), m_order, known->second);
    } else {
      m_order.push_front(key);
      m_parts[key] = m_order.begin();
    }
  }
  while (m_order.size() > kMaxParts) {
    m_parts.erase(m_order.back());
    m_order.pop_back();
  }
}

double PromptCacheView::KeptTokens(
    const ModelName& model, const AdapterName& adapter,
    const std::vector<PromptPart>& prompt) const {
  const std::vector<std::uint64_t> hashes =
      PrefixHashes(model, adapter, prompt);
  double kept = 0.0;
  for (std::size_t i = 0; i < hashes.size() && m_parts.contains(hashes[i]);
       ++i) {
    kept += prompt[i].tokens;
  }
  return kept;
}

void PromptCacheView::Clear() noexcept {
  m_order.clear();
  m_parts.clear();
}

}  // namespace bambooquay
