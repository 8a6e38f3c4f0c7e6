// The counts of all entries, at the entry that reports them.
#include "bambooquay/duties/usage_collector.h"

#include <algorithm>

#include "bambooquay/duties/usage_window.h"

namespace bambooquay {

std::uint64_t UsageCollector::Merge(const InstanceId& entry,
                                    std::uint64_t incarnation,
                                    const UsageCounts& counts) {
  const auto [found, is_new] =
      m_windows[counts.window].try_emplace({entry, incarnation}, counts);
  if (is_new) {
    return TotalOf(counts.counts);
  }
  UsageCounts& known = found->second;
  known.is_final = known.is_final || counts.is_final;
  const std::uint64_t before = TotalOf(known.counts);
  const std::uint64_t total = TotalOf(counts.counts);
  if (total <= before) {
    return 0;
  }
  known.counts = counts.counts;
  return total - before;
}

CollectedUsage UsageCollector::Collect(
    UsageWindow window, const std::vector<UsageSource>& sources) const {
  static const std::map<Run, UsageCounts> kNone;
  const auto found = m_windows.find(window);
  const auto& runs = found == m_windows.end() ? kNone : found->second;
  CollectedUsage usage;
  usage.is_known = !runs.empty();
  usage.lacks_begin =
      !sources.empty() &&
      std::ranges::all_of(sources, [&](const UsageSource& source) {
        return source.started_at > BeginOf(window, m_window_length);
      });
  for (const auto& [run, sent] : runs) {
    for (const auto& [organisation, count] : sent.counts) {
      usage.counts[organisation] += count;
    }
    const bool has_ended =
        std::ranges::none_of(sources, [&run = run](const UsageSource& source) {
          return source.entry == run.first && source.incarnation == run.second;
        });
    if (!sent.is_final && has_ended) {
      usage.lost.push_back(run.first);
    }
  }
  for (const UsageSource& source : sources) {
    const auto sent = runs.find({source.entry, source.incarnation});
    const bool is_final = sent != runs.end() && sent->second.is_final;
    const bool ran_in_window =
        source.started_at < EndOf(window, m_window_length) &&
        source.last_heard_at >= BeginOf(window, m_window_length);
    if (ran_in_window && !is_final) {
      usage.missing.push_back(source.entry);
    }
  }
  return usage;
}

void UsageCollector::DropBefore(UsageWindow oldest) {
  m_windows.erase(m_windows.begin(), m_windows.lower_bound(oldest));
}

}  // namespace bambooquay
