// Counts the requests that upstreams began to run by this entry's calls.
#include "bambooquay/duties/usage_counter.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "bambooquay/duties/usage_window.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// What an entry has counted since the last message is lost with its process.
constexpr Duration kProgressPeriod = milliseconds(500);
constexpr Duration kResendPeriod = milliseconds(400);

}  // namespace

std::uint64_t TotalOf(const RunCounts& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto& item) { return sum + item.second; });
}

UsageCounter::UsageCounter(const Clock& clock, const WallClock& wall_clock,
                           UnixTime window_length)
    : m_clock(clock),
      m_wall_clock(wall_clock),
      m_window_length(window_length),
      m_first_window(WindowAt(wall_clock.Now(), window_length)) {
  AddWindows();
}

void UsageCounter::AddWindows() {
  const UsageWindow current = WindowAt(m_wall_clock.Now(), m_window_length);
  const UsageWindow oldest =
      std::max(m_first_window, Before(current, kKeptWindows));
  const UsageWindow next =
      m_windows.empty() ? oldest
                        : std::max(oldest, Next(m_windows.rbegin()->first));
  for (UsageWindow window = next; window <= current; window = Next(window)) {
    m_windows.try_emplace(window);
  }
  m_windows.erase(m_windows.begin(), m_windows.lower_bound(oldest));
}

void UsageCounter::CountRun(const OrganisationId& organisation) {
  AddWindows();
  // A clock that was set back finds an earlier window, or none.
  Window& window = m_windows[std::max(
      WindowAt(m_wall_clock.Now(), m_window_length), m_first_window)];
  ++window.counts[organisation];
  ++window.total;
  window.is_confirmed = false;
}

std::vector<UsageCounts> UsageCounter::TakeDue() {
  AddWindows();
  const TimePoint now = m_clock.Now();
  const UnixTime wall_now = m_wall_clock.Now();
  std::vector<UsageCounts> due;
  for (auto& [number, window] : m_windows) {
    const bool is_final =
        m_is_closed || EndOf(number, m_window_length) <= wall_now;
    const bool is_wanted = is_final
                               ? !window.is_confirmed
                               : window.sent_total.value_or(0) != window.total;
    const Duration period = is_final ? kResendPeriod : kProgressPeriod;
    const bool was_sent_lately =
        window.sent_at.has_value() && now - *window.sent_at < period;
    const bool becomes_final = is_final && window.sent_total.has_value();
    if (!is_wanted || (was_sent_lately && !becomes_final)) {
      continue;
    }
    window.sent_at = now;
    window.sent_total = is_final ? std::nullopt : std::optional(window.total);
    due.push_back({number, is_final, window.counts});
  }
  return due;
}

void UsageCounter::SetHolder(std::uint64_t fencing_token) {
  if (std::exchange(m_holder_token, fencing_token) != fencing_token) {
    SendAgain();
  }
}

void UsageCounter::SendAgain() {
  for (auto& [number, window] : m_windows) {
    window.sent_total.reset();
    window.sent_at.reset();
    window.is_confirmed = false;
  }
}

void UsageCounter::Confirm(const UsageReceipt& receipt) {
  const auto window = m_windows.find(receipt.window);
  if (window != m_windows.end() && receipt.fencing_token == m_holder_token) {
    window->second.is_confirmed = true;
  }
}

void UsageCounter::DropThrough(UsageWindow settled) {
  // The current window stays, whatever the clock of the holder says.
  const auto end = m_windows.upper_bound(settled);
  m_windows.erase(
      m_windows.begin(),
      end == m_windows.end() && !m_windows.empty() ? std::prev(end) : end);
}

}  // namespace bambooquay
