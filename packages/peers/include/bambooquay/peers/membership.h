// The fleet's instances according to the platform's list, which may be out of
// date.
#pragma once

#include <sigc++/signal.h>

#include <memory>
#include <vector>

#include "bambooquay/peers/poll_pacer.h"
#include "bambooquay/platform/instance_list.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// Polls the platform's list of instances. While the platform is unavailable,
/// the last list that was received stays in use.
class Membership {
 public:
  Membership(EventLoop& loop, InstanceList& list, InstanceId self);

  [[nodiscard]] const std::vector<Instance>& instances() const noexcept {
    return m_instances;
  }
  /// @returns the instance, or nullptr if the list does not contain it.
  [[nodiscard]] const Instance* Find(const InstanceId& id) const noexcept;
  /// @returns whether a list has been received.
  [[nodiscard]] bool ready() const noexcept { return m_ready; }
  /// @returns all instances but this one.
  [[nodiscard]] std::vector<Instance> OtherInstances() const;

  /// Emitted when the list has changed.
  [[nodiscard]] sigc::signal<void()>& changed() noexcept { return m_changed; }

 private:
  void Fetch();

  EventLoop& m_loop;
  InstanceList& m_list;
  InstanceId m_self;
  std::vector<Instance> m_instances;
  bool m_ready = false;
  bool m_is_fetching = false;
  PollPacer m_poll_pacer;
  sigc::signal<void()> m_changed;
  std::unique_ptr<Timer> m_poll_timer;
};

}  // namespace bambooquay
