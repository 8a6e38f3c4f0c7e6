// Runs Cap'n Proto's event loop (kj) within the process's libevent loop.
#include "bambooquay/peers/peer_runtime.h"

#include <event2/event.h>

#include "kj_event_port.h"

namespace bambooquay {

KjEventPort::KjEventPort(event_base* base)
    : m_base(base),
      m_run_event(event_new(base, -1, 0, &KjEventPort::RunLoop, this)),
      m_loop(*this) {}

KjEventPort::~KjEventPort() { event_free(m_run_event); }

bool KjEventPort::wait() {
  event_base_loop(m_base, EVLOOP_ONCE);
  return false;
}

bool KjEventPort::poll() {
  event_base_loop(m_base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  return false;
}

void KjEventPort::setRunnable(bool runnable) {
  if (runnable) {
    event_active(m_run_event, EV_TIMEOUT, 0);
  }
}

void KjEventPort::RunLoop(int /*fd*/, short /*events*/, void* self) {
  // run() clears kj's runnable flag when the queue is empty. WaitScope::poll()
  // does not: setRunnable() would not be called again, and the loop would stall
  // after its first pass.
  static_cast<KjEventPort*>(self)->m_loop.run();
}

class PeerRuntime::Impl {
 public:
  explicit Impl(event_base* base) : m_port(base), m_scope(m_port.loop()) {}

 private:
  KjEventPort m_port;
  kj::WaitScope m_scope;
};

PeerRuntime::PeerRuntime(EventLoop& loop)
    : m_loop(loop), m_impl(std::make_unique<Impl>(loop.base())) {}

PeerRuntime::~PeerRuntime() = default;

}  // namespace bambooquay
