// The fleet's instances according to the platform's list.
#include "bambooquay/peers/membership.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kFetchPeriod = std::chrono::seconds(1);
constexpr Duration kTimerPeriod = std::chrono::milliseconds(500);

}  // namespace

Membership::Membership(EventLoop& loop, InstanceList& list, InstanceId self)
    : m_loop(loop),
      m_list(list),
      m_self(std::move(self)),
      // Half a timer period less than the period, so that a poll is not put
      // off by one tick when the timer fires a little early.
      m_poll_pacer(kFetchPeriod - kTimerPeriod / 2),
      m_poll_timer(loop.Every(kTimerPeriod, [this] { Fetch(); })) {
  Fetch();
}

const Instance* Membership::Find(const InstanceId& id) const noexcept {
  const auto found = std::ranges::find(m_instances, id, &Instance::id);
  return found == m_instances.end() ? nullptr : &*found;
}

std::vector<Instance> Membership::OtherInstances() const {
  std::vector<Instance> others;
  std::ranges::copy_if(
      m_instances, std::back_inserter(others),
      [&](const Instance& instance) { return instance.id != m_self; });
  return others;
}

void Membership::Fetch() {
  if (m_is_fetching ||
      !m_poll_pacer.TryStartPoll(m_loop.clock().Now(), m_instances.size())) {
    return;
  }
  m_is_fetching = true;
  m_list.Fetch([this](InstanceListResult result) {
    m_is_fetching = false;
    if (auto* instances = std::get_if<std::vector<Instance>>(&result)) {
      m_instances = std::move(*instances);
      m_ready = true;
      LogEvent(LogLevel::kInfo, "instances_changed")
          .With("count", m_instances.size());
      m_changed.emit();
    }
  });
}

}  // namespace bambooquay
