// The entries that an agent sends its engine's reports to.
#include "bambooquay/serving/report_subscribers.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Period at which unchanged lists are sent again. After a lost datagram an
// entry has outdated lists for up to this long.
constexpr Duration kListsResendPeriod = std::chrono::milliseconds(1000);
// A subscription that is not renewed for this long is removed.
constexpr Duration kSubscriptionTimeout = std::chrono::seconds(3);
// Shortest time between two reports with the same lists. An agent that
// estimates its engine's work polls more often than entries need reports.
constexpr Duration kMinReportPeriod = std::chrono::milliseconds(120);

}  // namespace

bool ReportSubscribers::Subscribe(const InstanceId& entry,
                                  const Endpoint& address,
                                  Duration report_period) {
  const auto [found, is_new] = m_subscribers.try_emplace(entry);
  Subscriber& subscriber = found->second;
  if (!is_new && subscriber.address != address) {
    subscriber = {};
  }
  subscriber.address = address;
  subscriber.renewed_at = m_clock.Now();
  if (report_period < subscriber.report_period) {
    // An entry that has begun to send calls gets the next report.
    subscriber.report_sent_at = {};
  }
  subscriber.report_period = report_period;
  return subscriber.lists_version == 0;
}

void ReportSubscribers::RemoveExpired() {
  std::erase_if(m_subscribers, [now = m_input_clock.Now()](const auto& item) {
    return now - item.second.renewed_at > kSubscriptionTimeout;
  });
}

bool ReportSubscribers::MarkReportSentIfDue(Subscriber& subscriber,
                                            std::uint64_t lists_version) const {
  const TimePoint now = m_clock.Now();
  if (subscriber.lists_version == lists_version &&
      now - subscriber.report_sent_at <
          std::max(subscriber.report_period, kMinReportPeriod)) {
    return false;
  }
  subscriber.report_sent_at = now;
  return true;
}

bool ReportSubscribers::MarkListsSentIfDue(Subscriber& subscriber,
                                           std::uint64_t lists_version) const {
  const TimePoint now = m_clock.Now();
  if (subscriber.lists_version == lists_version &&
      now - subscriber.lists_sent_at < kListsResendPeriod) {
    return false;
  }
  subscriber.lists_version = lists_version;
  subscriber.lists_sent_at = now;
  return true;
}

void ReportSubscribers::InvalidateLists() {
  for (auto& [id, subscriber] : m_subscribers) {
    subscriber.lists_version = 0;
  }
}

}  // namespace bambooquay
