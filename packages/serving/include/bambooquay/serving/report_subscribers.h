// The entries that an agent reports to, and what each has got.
#pragma once

#include <cstdint>
#include <map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

/// Decides which entries get the engine's lists of models and copies in full:
/// those that have not got these lists yet, and each once a second, as any
/// datagram may be lost. The rest get a brief report.
class ReportSubscribers {
 public:
  struct Subscriber {
    Endpoint address;
    TimePoint heard_at{};
    /// Number of the lists that it got last; 0 for none.
    std::uint64_t lists = 0;
    TimePoint lists_sent_at{};
  };

  explicit ReportSubscribers(const Clock& clock) noexcept : m_clock(clock) {}

  /// Notes that an entry was heard of.
  /// @returns whether it is new or has moved, and has got no lists.
  bool Hear(const InstanceId& entry, const Endpoint& from);
  /// Drops entries that were not heard of for a while.
  void Expire();
  /// @param lists  number of the lists as they are now.
  /// @returns whether the next report to it needs them; they count as sent.
  [[nodiscard]] bool TakeNeedOfLists(Subscriber& subscriber,
                                     std::uint64_t lists) const;
  /// What they have got no longer counts.
  void ForgetLists();

  [[nodiscard]] std::map<InstanceId, Subscriber>& all() noexcept {
    return m_subscribers;
  }
  [[nodiscard]] const std::map<InstanceId, Subscriber>& all() const noexcept {
    return m_subscribers;
  }

 private:
  const Clock& m_clock;
  std::map<InstanceId, Subscriber> m_subscribers;
};

}  // namespace bambooquay
