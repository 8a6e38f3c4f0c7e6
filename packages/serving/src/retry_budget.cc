// Limits the retries of an entry.
#include "bambooquay/serving/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bambooquay {
namespace {

// Shares of the fleet-wide limits that all entries together may use. The rest
// covers entries that use their part of the slack a second time after a start,
// disagreement on the number of entries, and rounding.
constexpr double kUsableRatioShare = 0.75;
constexpr double kUsableSlackShare = 0.4;
// Number of intervals of a window in which requests are counted.
constexpr int kIntervalsPerWindow = 20;
// An entry has heard of the others by this time after its start. Until then it
// takes no part of the slack.
constexpr Duration kDiscoveryTime = std::chrono::seconds(1);
// An upstream that has not responded for this long is assumed to have lost what
// was sent to it before.
constexpr Duration kMaxHoldTime = std::chrono::seconds(30);

}  // namespace

RetryBudget::RetryBudget(const Clock& clock, RandomSource& random,
                         const RetryLimits& limits, TimePoint running_since)
    : m_clock(clock),
      m_random(random),
      m_limits(limits),
      m_running_since(running_since) {}

void RetryBudget::SetEntryCount(std::size_t entry_count) noexcept {
  m_entry_count = std::max(1.0, static_cast<double>(entry_count));
}

void RetryBudget::RemoveExpired(TimePoint now) {
  const TimePoint begin = now - m_limits.window;
  while (!m_requests.empty() && m_requests.front().begin <= begin) {
    m_requests.pop_front();
  }
  while (!m_retries.empty() && m_retries.front() <= begin) {
    m_retries.pop_front();
  }
  std::erase_if(m_held_retries, [&](const auto& item) {
    return now - item.second.last_acquired_at > kMaxHoldTime;
  });
}

void RetryBudget::CountRequest() {
  const TimePoint now = m_clock.Now();
  RemoveExpired(now);
  if (m_requests.empty() ||
      now - m_requests.back().begin >= m_limits.window / kIntervalsPerWindow) {
    m_requests.push_back({now, 0});
  }
  ++m_requests.back().count;
}

int RetryBudget::MaxRetries(TimePoint now) {
  if (now - m_rounding_since >= m_limits.window) {
    constexpr std::uint32_t kResolution = 1 << 20;
    m_rounding =
        static_cast<double>(m_random.UniformBelow(kResolution)) / kResolution;
    m_rounding_since = now;
  }
  const int requests = std::accumulate(
      m_requests.begin(), m_requests.end(), 0,
      [](int sum, const RequestCount& item) { return sum + item.count; });
  const double running_share =
      std::clamp(ToSeconds(now - m_running_since - kDiscoveryTime) /
                     ToSeconds(m_limits.window),
                 0.0, 1.0);
  const double retries =
      m_limits.ratio * kUsableRatioShare * requests +
      m_limits.slack * kUsableSlackShare * running_share / m_entry_count;
  return static_cast<int>(std::floor(retries + m_rounding));
}

int RetryBudget::RetriesLeft() {
  const TimePoint now = m_clock.Now();
  RemoveExpired(now);
  const int held = std::accumulate(
      m_held_retries.begin(), m_held_retries.end(), 0,
      [](int sum, const auto& item) { return sum + item.second.count; });
  return std::max(0,
                  MaxRetries(now) - held - static_cast<int>(m_retries.size()));
}

bool RetryBudget::TryAcquire() {
  if (RetriesLeft() == 0) {
    return false;
  }
  m_retries.push_back(m_clock.Now());
  return true;
}

bool RetryBudget::TryAcquireFromSilent(const UpstreamId& upstream) {
  if (RetriesLeft() == 0) {
    return false;
  }
  HeldRetries& held = m_held_retries[upstream];
  ++held.count;
  held.last_acquired_at = m_clock.Now();
  return true;
}

void RetryBudget::RecordResponse(const UpstreamId& upstream) {
  const auto found = m_held_retries.find(upstream);
  if (found == m_held_retries.end()) {
    return;
  }
  m_retries.insert(m_retries.end(),
                   static_cast<std::size_t>(found->second.count),
                   m_clock.Now());
  m_held_retries.erase(found);
}

}  // namespace bambooquay
