// The counts of all entries, at the entry that reports them.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "bambooquay/core/ids.h"
#include "bambooquay/core/wall_clock.h"
#include "bambooquay/peers/status_messages.h"

namespace bambooquay {

/// One run of an entry's process, which may have counts.
struct UsageSource {
  InstanceId entry;
  std::uint64_t incarnation = 0;
  UnixTime started_at{};
  UnixTime last_heard_at{};
};

/// The usage of one window, as far as it is known.
struct CollectedUsage {
  RunCounts counts;
  /// Entries that ran in the window and may still send their final counts.
  std::vector<InstanceId> missing;
  /// Entries whose run ended without final counts: what they counted after
  /// their last message is lost.
  std::vector<InstanceId> lost;
  /// Whether all entries started after the window had begun: what ran before
  /// may have ended with counts.
  bool lacks_begin = false;
  /// Whether any entry has sent counts of the window.
  bool is_known = false;
};

/// Collects the counts of the latest windows.
class UsageCollector {
 public:
  explicit UsageCollector(UnixTime window_length)
      : m_window_length(window_length) {}

  /// Records an entry's counts of a window. Messages may arrive repeatedly and
  /// in any order.
  /// @returns by how much the window's total has grown.
  std::uint64_t Merge(const InstanceId& entry, std::uint64_t incarnation,
                      const UsageCounts& counts);
  /// @param sources  the present runs of all entries.
  [[nodiscard]] CollectedUsage Collect(
      UsageWindow window, const std::vector<UsageSource>& sources) const;
  /// Drops the windows before `oldest`.
  void DropBefore(UsageWindow oldest);

 private:
  using Run = std::pair<InstanceId, std::uint64_t>;

  UnixTime m_window_length;
  std::map<UsageWindow, std::map<Run, UsageCounts>> m_windows;
};

}  // namespace bambooquay
