// The entries that an agent sends its engine's reports to.
#pragma once

#include <cstdint>
#include <map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/runtime/endpoint.h"

namespace bambooquay {

/// Decides which reports include the engine's lists of loaded models and local
/// copies. An entry is sent the lists if it has not been sent their current
/// version yet, and again once a second, as any datagram may be lost. All other
/// reports omit them.
class ReportSubscribers {
 public:
  struct Subscriber {
    Endpoint address;
    TimePoint renewed_at{};
    /// Version of the lists that was last sent to it; 0 for none.
    std::uint64_t lists_version = 0;
    TimePoint lists_sent_at{};
    /// Time between two reports that the entry asks for; 0 for all reports.
    Duration report_period{};
    TimePoint report_sent_at{};
  };

  /// @param input_clock  the clock by which subscriptions are not renewed, such
  ///   as EventLoop::input_clock().
  ReportSubscribers(const Clock& clock, const Clock& input_clock) noexcept
      : m_clock(clock), m_input_clock(input_clock) {}

  /// Adds an entry or renews its subscription.
  /// @param report_period  time between two reports that the entry asks for; 0
  ///   for all reports.
  /// @returns whether the entry needs the lists: it is new, its address has
  ///   changed, or the lists that it was sent have been invalidated.
  bool Subscribe(const InstanceId& entry, const Endpoint& address,
                 Duration report_period = {});
  /// Removes entries whose subscription has not been renewed in time.
  void RemoveExpired();
  /// Marks a report as sent to `subscriber` if it wants one now: its period is
  /// over, or it lacks the current lists.
  /// @returns whether to send it a report.
  [[nodiscard]] bool MarkReportSentIfDue(Subscriber& subscriber,
                                         std::uint64_t lists_version) const;
  /// Marks the lists as sent to `subscriber` if they have to be sent now.
  ///
  /// @param lists_version  current version of the lists.
  /// @returns whether the next report to `subscriber` has to include the lists.
  [[nodiscard]] bool MarkListsSentIfDue(Subscriber& subscriber,
                                        std::uint64_t lists_version) const;
  /// Marks the lists as not sent to any subscriber.
  void InvalidateLists();

  [[nodiscard]] std::map<InstanceId, Subscriber>& all() noexcept {
    return m_subscribers;
  }
  [[nodiscard]] const std::map<InstanceId, Subscriber>& all() const noexcept {
    return m_subscribers;
  }

 private:
  const Clock& m_clock;
  const Clock& m_input_clock;
  std::map<InstanceId, Subscriber> m_subscribers;
};

}  // namespace bambooquay
