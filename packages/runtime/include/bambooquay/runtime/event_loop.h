// The event loop of a process and its timers, based on libevent.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "bambooquay/core/clock.h"

struct event_base;
struct event;

namespace bambooquay {

/// A one-shot or periodic timer. Destroying it cancels it, which its own
/// callback may do.
class Timer {
 public:
  /// Turns of the loop that a one-shot timer lets pass after its delay, before
  /// it runs the callback.
  struct IdleTurns {
    int min = 0;
    /// Further turns for which it waits at most, as long as `goes_on` returns
    /// true.
    int max_more = 0;
    std::function<bool()> goes_on;
  };

  Timer(event_base* base, Duration delay, bool repeats,
        std::function<void()> callback, IdleTurns idle_turns);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

 private:
  static void Fire(int fd, short events, void* self);

  event* m_event;
  std::function<void()> m_callback;
  IdleTurns m_idle_turns;
};

/// A single-threaded event loop. All work of a process runs on it.
///
/// @code
/// EventLoop loop;
/// auto timer = loop.After(std::chrono::seconds(1), [&] { loop.Stop(); });
/// loop.Run();
/// @endcode
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /// Runs until Stop() is called, even if no events are pending.
  void Run();
  /// Makes Run() return after the current callback.
  void Stop() noexcept;
  /// Runs callbacks until `done` returns true or `timeout` has elapsed.
  /// @returns whether `done` became true.
  bool RunUntil(const std::function<bool()>& done, Duration timeout);

  /// Runs `callback` once after `delay`, unless the timer is destroyed first.
  [[nodiscard]] std::unique_ptr<Timer> After(Duration delay,
                                             std::function<void()> callback);
  /// Runs `callback` every `period` until the timer is destroyed.
  [[nodiscard]] std::unique_ptr<Timer> Every(Duration period,
                                             std::function<void()> callback);
  /// Runs `callback` once all input that has arrived by now was read from its
  /// sockets and handled. After a pause of the loop, timers run before that, so
  /// a decision on silence has to be made here. What arrives meanwhile may
  /// still be unread.
  /// @param has_unread_input  whether the decision has to wait for more input
  ///   than one turn of the loop reads. Input without end is not waited for.
  [[nodiscard]] std::unique_ptr<Timer> AfterInput(
      std::function<void()> callback,
      std::function<bool()> has_unread_input = nullptr);
  /// Schedules `callback` to run once, after the current callback returns.
  void Post(std::function<void()> callback);
  /// Runs `callback` on the loop each time the signal is delivered.
  void OnSignal(int signal_number, std::function<void()> callback);

  [[nodiscard]] event_base* base() noexcept { return m_base; }
  [[nodiscard]] const Clock& clock() const noexcept { return m_clock; }

 private:
  struct SignalHandler {
    event* signal_event = nullptr;
    std::function<void()> callback;
  };

  event_base* m_base;
  SteadyClock m_clock;
  std::vector<std::unique_ptr<SignalHandler>> m_signals;
};

}  // namespace bambooquay
