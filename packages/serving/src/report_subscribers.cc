// The entries that an agent reports to, and what each has got.
#include "bambooquay/serving/report_subscribers.h"

namespace bambooquay {
namespace {

// How often the lists are sent again; a lost message leaves an entry with
// older lists for this long.
constexpr Duration kListsPeriod = std::chrono::milliseconds(1000);
// Entries that were not heard of for this long get no more reports.
constexpr Duration kLifetime = std::chrono::seconds(3);

}  // namespace

bool ReportSubscribers::Hear(const InstanceId& entry, const Endpoint& from) {
  const auto [known, is_new] = m_subscribers.try_emplace(entry);
  Subscriber& subscriber = known->second;
  if (!is_new && subscriber.address != from) {
    subscriber = {};
  }
  subscriber.address = from;
  subscriber.heard_at = m_clock.Now();
  return subscriber.lists == 0;
}

void ReportSubscribers::Expire() {
  std::erase_if(m_subscribers, [now = m_clock.Now()](const auto& item) {
    return now - item.second.heard_at > kLifetime;
  });
}

bool ReportSubscribers::TakeNeedOfLists(Subscriber& subscriber,
                                        std::uint64_t lists) const {
  const TimePoint now = m_clock.Now();
  if (subscriber.lists == lists &&
      now - subscriber.lists_sent_at < kListsPeriod) {
    return false;
  }
  subscriber.lists = lists;
  subscriber.lists_sent_at = now;
  return true;
}

void ReportSubscribers::ForgetLists() {
  for (auto& [id, subscriber] : m_subscribers) {
    subscriber.lists = 0;
  }
}

}  // namespace bambooquay
