// The entries that an agent reports to, and what each has got.
#include "bambooquay/serving/report_subscribers.h"

namespace bambooquay {
namespace {

// Entries confirm lists with their next message, which they send every 300 ms.
constexpr Duration kRepeatAfter = std::chrono::milliseconds(500);
// Entries that were not heard of for this long get no more reports.
constexpr Duration kLifetime = std::chrono::seconds(3);

}  // namespace

bool ReportSubscribers::Hear(const InstanceId& entry, const Endpoint& from,
                             std::uint64_t confirmed) {
  Subscriber& subscriber = m_subscribers[entry];
  if (subscriber.address != from) {
    subscriber = {};
  }
  subscriber.address = from;
  subscriber.heard_at = m_clock.Now();
  subscriber.confirmed = confirmed;
  return confirmed == 0;
}

void ReportSubscribers::Expire() {
  std::erase_if(m_subscribers, [now = m_clock.Now()](const auto& item) {
    return now - item.second.heard_at > kLifetime;
  });
}

bool ReportSubscribers::TakeNeedOfLists(Subscriber& subscriber,
                                        std::uint64_t lists) const {
  const TimePoint now = m_clock.Now();
  const bool on_its_way =
      subscriber.sent == lists && now - subscriber.sent_at < kRepeatAfter;
  if (subscriber.confirmed == lists || on_its_way) {
    return false;
  }
  subscriber.sent = lists;
  subscriber.sent_at = now;
  return true;
}

}  // namespace bambooquay
