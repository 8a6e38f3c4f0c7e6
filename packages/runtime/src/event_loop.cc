// The event loop and its timers, based on libevent.
#include "bambooquay/runtime/event_loop.h"

#include <event2/event.h>
#include <event2/util.h>

#include <csignal>
#include <new>
#include <utility>

#include "loop_time.h"
#include "timeval.h"

namespace bambooquay {
namespace {

// In the first turn of the loop, timers run after the input was read from the
// sockets and before the callbacks that handle it.
constexpr int kTurnsToHandleInput = 1;
// libevent takes 32 ready sockets in its first turn, and twice as many after
// each turn that had as many as it takes, up to 4096.
constexpr int kTurnsToReachSockets = 9;
// A turn with fewer callbacks than this has reached all sockets that were
// ready.
constexpr int kManyCallbacks = 16;
// Bounds the wait for sockets to which more arrives than is read. Each turn
// reads 16 KiB of a socket: this is enough for a full receive buffer.
constexpr int kMaxTurnsToHandleInput = 512;
constexpr Duration kMaxTimeToHandleInput = std::chrono::milliseconds(200);
// Well below the times after which others count as silent.
constexpr Duration kInputClockPeriod = std::chrono::milliseconds(50);

void RunPosted(evutil_socket_t /*fd*/, short /*events*/, void* argument) {
  const std::unique_ptr<std::function<void()>> callback(
      static_cast<std::function<void()>*>(argument));
  (*callback)();
}

void RunSignal(evutil_socket_t /*fd*/, short /*events*/, void* argument) {
  (*static_cast<std::function<void()>*>(argument))();
}

}  // namespace

Timer::Timer(event_base* base, Duration delay, bool repeats,
             std::function<void()> callback, std::function<bool()> waits)
    : m_event(
          event_new(base, -1, repeats ? EV_PERSIST : 0, &Timer::Fire, this)),
      m_callback(std::move(callback)),
      m_waits(std::move(waits)) {
  StartTimeoutsNow(base);
  const timeval interval = ToTimeval(delay);
  event_add(m_event, &interval);
}

Timer::~Timer() { event_free(m_event); }

void Timer::Fire(int /*fd*/, short /*events*/, void* self) {
  auto* timer = static_cast<Timer*>(self);
  if (timer->m_waits && timer->m_waits()) {
    const timeval now{0, 0};
    event_add(timer->m_event, &now);
    return;
  }
  // Copied, because the callback may destroy its own timer.
  const std::function<void()> callback = timer->m_callback;
  callback();
}

EventLoop::EventLoop()
    : m_base(event_base_new()), m_input_clock(m_clock.Now()) {
  if (m_base == nullptr) {
    throw std::bad_alloc();
  }
  m_input_timer = EveryAfterInput(
      kInputClockPeriod, [this](TimePoint now) { m_input_clock.Set(now); });
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  m_input_timer = nullptr;
  for (const auto& handler : m_signals) {
    event_free(handler->signal_event);
  }
  event_base_free(m_base);
}

void EventLoop::Run() { event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::Stop() noexcept { event_base_loopbreak(m_base); }

bool EventLoop::RunUntil(const std::function<bool()>& done, Duration timeout) {
  const TimePoint deadline = m_clock.Now() + timeout;
  // Wakes the loop regularly, so that the deadline is checked even if there are
  // no other events.
  const auto wake_up_timer = Every(std::chrono::milliseconds(5), [] {});
  while (!done()) {
    if (m_clock.Now() >= deadline) {
      return false;
    }
    event_base_loop(m_base, EVLOOP_ONCE);
  }
  return true;
}

std::unique_ptr<Timer> EventLoop::After(Duration delay,
                                        std::function<void()> callback) {
  return std::make_unique<Timer>(m_base, delay, false, std::move(callback));
}

std::unique_ptr<Timer> EventLoop::Every(Duration period,
                                        std::function<void()> callback) {
  return std::make_unique<Timer>(m_base, period, true, std::move(callback));
}

std::unique_ptr<Timer> EventLoop::AfterInput(
    std::function<void()> callback, std::function<bool()> has_unread_input) {
  return std::make_unique<Timer>(
      m_base, Duration::zero(), false, std::move(callback),
      [this, turns = 0, notes = m_unread_notes, since = m_clock.Now(),
       has_unread_input = std::move(has_unread_input)]() mutable {
        const bool has_unread =
            notes != m_unread_notes || (has_unread_input && has_unread_input());
        notes = m_unread_notes;
        ++turns;
        const bool is_reaching_sockets =
            turns <= kTurnsToReachSockets &&
            event_base_get_num_events(m_base, EVENT_BASE_COUNT_ACTIVE) >=
                kManyCallbacks;
        return turns <= kTurnsToHandleInput || is_reaching_sockets ||
               (has_unread && turns < kMaxTurnsToHandleInput &&
                m_clock.Now() - since < kMaxTimeToHandleInput);
      });
}

std::unique_ptr<Timer> EventLoop::EveryAfterInput(
    Duration period, std::function<void(TimePoint)> callback) {
  auto waiting = std::make_shared<std::unique_ptr<Timer>>();
  return Every(period, [this, waiting, callback = std::move(callback)] {
    // Replacing a timer that still waits would put it off again and again.
    if (*waiting != nullptr) {
      return;
    }
    *waiting =
        AfterInput([waiting = waiting.get(), callback, now = m_clock.Now()] {
          // The callback may destroy the timer.
          *waiting = nullptr;
          callback(now);
        });
  });
}

void EventLoop::Post(std::function<void()> callback) {
  auto owned_callback =
      std::make_unique<std::function<void()>>(std::move(callback));
  const timeval now{0, 0};
  if (event_base_once(m_base, -1, EV_TIMEOUT, &RunPosted, owned_callback.get(),
                      &now) == 0) {
    // RunPosted() owns the callback now.
    static_cast<void>(owned_callback.release());
  }
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto handler = std::make_unique<SignalHandler>();
  handler->callback = std::move(callback);
  handler->signal_event =
      evsignal_new(m_base, signal_number, &RunSignal, &handler->callback);
  event_add(handler->signal_event, nullptr);
  m_signals.push_back(std::move(handler));
}

}  // namespace bambooquay
