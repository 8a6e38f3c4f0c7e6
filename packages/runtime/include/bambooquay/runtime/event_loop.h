// The event loop of a process and its timers, based on libevent.
#pragma once

#include <cstdint>
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
  /// @param waits  asked in each turn of the loop after `delay`. While it
  ///   returns true, a one-shot timer does not run the callback.
  Timer(event_base* base, Duration delay, bool repeats,
        std::function<void()> callback, std::function<bool()> waits = {});
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

 private:
  static void Fire(int fd, short events, void* self);

  event* m_event;
  std::function<void()> m_callback;
  std::function<bool()> m_waits;
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
      std::function<bool()> has_unread_input = {});
  /// Runs `callback` like AfterInput() every `period` until the timer is
  /// destroyed, with the time up to which all input was handled.
  [[nodiscard]] std::unique_ptr<Timer> EveryAfterInput(
      Duration period, std::function<void(TimePoint)> callback);
  /// To be called by a socket that stops reading before it is empty, so that
  /// others get a turn. AfterInput() waits for the rest.
  void NoteUnreadInput() noexcept { ++m_unread_notes; }
  /// Schedules `callback` to run once, after the current callback returns.
  void Post(std::function<void()> callback);
  /// Runs `callback` on the loop each time the signal is delivered.
  void OnSignal(int signal_number, std::function<void()> callback);

  [[nodiscard]] event_base* base() noexcept { return m_base; }
  [[nodiscard]] const Clock& clock() const noexcept { return m_clock; }
  /// The time up to which all input was handled, which is up to 50 ms ago. It
  /// stands still from a pause of the loop until what arrived meanwhile was
  /// handled. Silence of others is measured by it.
  [[nodiscard]] const Clock& input_clock() const noexcept {
    return m_input_clock;
  }

 private:
  class InputClock final : public Clock {
   public:
    explicit InputClock(TimePoint now) noexcept : m_now(now) {}
    [[nodiscard]] TimePoint Now() const noexcept override { return m_now; }
    void Set(TimePoint now) noexcept { m_now = now; }

   private:
    TimePoint m_now;
  };

  struct SignalHandler {
    event* signal_event = nullptr;
    std::function<void()> callback;
  };

  event_base* m_base;
  SteadyClock m_clock;
  InputClock m_input_clock;
  std::uint64_t m_unread_notes = 0;
  std::unique_ptr<Timer> m_input_timer;
  std::vector<std::unique_ptr<SignalHandler>> m_signals;
};

}  // namespace bambooquay
