// Runs kj's event loop from a libevent event loop.
#pragma once

#include <kj/async.h>

struct event;
struct event_base;

namespace bambooquay {

/// Activates a libevent event, which runs kj's loop, whenever kj has work
/// queued.
class KjEventPort final : public kj::EventPort {
 public:
  explicit KjEventPort(event_base* base);
  KjEventPort(const KjEventPort&) = delete;
  KjEventPort& operator=(const KjEventPort&) = delete;
  ~KjEventPort();

  bool wait() override;
  bool poll() override;
  void setRunnable(bool runnable) override;

  [[nodiscard]] kj::EventLoop& loop() noexcept { return m_loop; }

 private:
  static void RunLoop(int fd, short events, void* self);

  event_base* m_base;
  event* m_run_event;
  kj::EventLoop m_loop;
};

}  // namespace bambooquay
