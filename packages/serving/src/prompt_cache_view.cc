// Which parts of prompts an engine probably keeps.
#include "bambooquay/serving/prompt_cache_view.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <numeric>

namespace bambooquay {
namespace {

// Prefixes remembered for each engine; an engine of some 240,000 tokens keeps
// fewer than this.
constexpr std::size_t kMaxParts = 512;

}  // namespace

PromptPrefixes MakePrefixes(const ModelName& model, const AdapterName& adapter,
                            const std::vector<PromptPart>& prompt) {
  std::size_t seed = 0;
  boost::hash_combine(seed, model.value());
  boost::hash_combine(seed, adapter.value());
  PromptPrefixes prefixes;
  prefixes.reserve(prompt.size());
  for (const PromptPart& part : prompt) {
    boost::hash_combine(seed, part.id);
    prefixes.push_back({seed, part.tokens});
  }
  return prefixes;
}

void PromptCacheView::Note(const PromptPrefixes& prompt) {
  for (const PromptPrefix& prefix : prompt) {
    const auto known = m_parts.find(prefix.hash);
    if (known != m_parts.end()) {
      m_order.splice(m_order.begin(), m_order, known->second);
    } else {
      m_order.push_front(prefix.hash);
      m_parts[prefix.hash] = m_order.begin();
    }
  }
  while (m_order.size() > kMaxParts) {
    m_parts.erase(m_order.back());
    m_order.pop_back();
  }
}

double PromptCacheView::KeptTokens(const PromptPrefixes& prompt) const {
  const auto first_missing =
      std::ranges::find_if(prompt, [this](const PromptPrefix& prefix) {
        return !m_parts.contains(prefix.hash);
      });
  return std::accumulate(prompt.begin(), first_missing, 0.0,
                         [](double sum, const PromptPrefix& prefix) {
                           return sum + prefix.tokens;
                         });
}

}  // namespace bambooquay
