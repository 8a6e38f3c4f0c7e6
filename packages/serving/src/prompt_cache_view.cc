// Estimates which parts of prompts an engine has in its prompt cache.
#include "bambooquay/serving/prompt_cache_view.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <iterator>
#include <numeric>

namespace bambooquay {
namespace {

// Prefixes remembered for each engine. An engine with a KV cache of some
// 240,000 tokens has fewer than this.
constexpr std::size_t kMaxPrefixes = 512;
// Share of an engine's memory that keeps prompts; the rest is taken by what the
// running requests generate and by prompts that were not recorded.
constexpr double kKeptMemoryShare = 0.7;

}  // namespace

PromptPrefixes MakePrefixes(const ModelName& model, const AdapterName& adapter,
                            const std::vector<PromptPart>& prompt) {
  std::size_t hash = 0;
  boost::hash_combine(hash, model.value());
  boost::hash_combine(hash, adapter.value());
  PromptPrefixes prefixes;
  prefixes.reserve(prompt.size());
  for (const PromptPart& part : prompt) {
    boost::hash_combine(hash, static_cast<std::uint64_t>(part.id));
    prefixes.push_back({hash, part.tokens});
  }
  return prefixes;
}

PromptPrefixes ToPrefixes(const std::vector<AnnouncedPrefix>& announced) {
  PromptPrefixes prefixes;
  prefixes.reserve(announced.size());
  std::ranges::transform(
      announced, std::back_inserter(prefixes),
      [](const AnnouncedPrefix& prefix) {
        return PromptPrefix{prefix.hash, static_cast<double>(prefix.tokens)};
      });
  return prefixes;
}

void PromptCacheView::SetMemory(double tokens) noexcept {
  if (tokens > 0.0) {
    m_capacity = tokens * kKeptMemoryShare;
  }
}

void PromptCacheView::RecordPrompt(const PromptPrefixes& prompt) {
  for (const PromptPrefix& prefix : prompt) {
    const auto found = m_prefixes.find(prefix.hash);
    if (found != m_prefixes.end()) {
      m_recency.splice(m_recency.begin(), m_recency, found->second);
    } else {
      m_recency.push_front(prefix);
      m_prefixes[prefix.hash] = m_recency.begin();
      m_tokens += prefix.tokens;
    }
  }
  while (m_recency.size() > kMaxPrefixes ||
         (m_capacity.has_value() && m_tokens > *m_capacity &&
          !m_recency.empty())) {
    m_tokens -= m_recency.back().tokens;
    m_prefixes.erase(m_recency.back().hash);
    m_recency.pop_back();
  }
}

double PromptCacheView::CachedTokens(const PromptPrefixes& prompt) const {
  const auto first_missing =
      std::ranges::find_if(prompt, [this](const PromptPrefix& prefix) {
        return !m_prefixes.contains(prefix.hash);
      });
  return std::accumulate(prompt.begin(), first_missing, 0.0,
                         [](double sum, const PromptPrefix& prefix) {
                           return sum + prefix.tokens;
                         });
}

}  // namespace bambooquay
