// Estimates what an engine works on and how fast it is.
#include "bambooquay/scheduling/engine_work_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// Time constant of the measured rate, in milliseconds of reading. Covers
// several long prompts, and is short enough to notice an engine that turns
// slow.
constexpr double kReadingMemoryMs = 2000.0;
// Reading time at which the confidence is one half.
constexpr double kHalfConfidenceMs = 300.0;
// The rate is given once it is at least this certain.
constexpr double kMinConfidence = 0.4;
// A shorter prompt that is read alone says little about the rate: most of its
// time is the step that it waits for.
constexpr double kMinMeasuredTokens = 500.0;
// Weight of the last measurement of the event interval.
constexpr double kEventIntervalWeight = 0.3;
// Factor by which the best rate declines with each report, so that a rate that
// was measured too high is forgotten within some minutes.
constexpr double kBestRateDecline = 0.9995;
// Announced calls that never begin are forgotten after this time, which covers
// a deep queue.
constexpr Duration kMaxUnreadTime = std::chrono::seconds(8);
// Reports in a row that show an engine without unread prompts, after which the
// announced calls are taken as ended: they ended between two reports, were
// rejected, or were lost.
constexpr int kReportsToForget = 2;

int UnreadCount(const EngineReport& report) {
  return std::max(0, report.waiting) +
         std::max(0, report.running - static_cast<int>(report.runs.size()));
}

}  // namespace

void EngineWorkEstimator::Announce(const RequestId& call,
                                   double unread_tokens) {
  const bool is_known =
      m_events.contains(call) ||
      std::ranges::find(m_unread, call, &UnreadCall::id) != m_unread.end();
  if (is_known) {
    return;
  }
  m_unread.push_back({call, std::max(0.0, unread_tokens), m_clock.Now()});
  m_has_read = true;
  m_reports_without_unread = 0;
}

void EngineWorkEstimator::Release(const RequestId& call) {
  std::erase_if(m_unread,
                [&](const UnreadCall& unread) { return unread.id == call; });
}

void EngineWorkEstimator::RecordReport(const EngineReport& report) {
  if (m_report.has_value() && m_report->started_at_ms != report.started_at_ms) {
    m_unread.clear();
    m_events.clear();
    m_reading = {};
    m_best_rate = 0.0;
    m_event_interval = Duration::zero();
    m_report.reset();
  }
  RecordEvents(report);
  RecordRuns(report);
  RemoveExpired(report);
  m_events.clear();
  std::ranges::for_each(report.runs, [this](const EngineRun& run) {
    m_events.emplace(run.call, run.events);
  });
  m_report = report;
  m_reported_at = m_clock.Now();
  m_has_read = !m_unread.empty() || UnreadCount(report) > 0;
  m_best_rate = std::max(m_best_rate * kBestRateDecline, Rate());
}

void EngineWorkEstimator::RecordEvents(const EngineReport& report) {
  if (!m_report.has_value() || m_has_read || UnreadCount(report) > 0) {
    return;
  }
  int events = 0;
  int streams = 0;
  std::ranges::for_each(report.runs, [&](const EngineRun& run) {
    const auto found = m_events.find(run.call);
    if (found != m_events.end() && run.events > found->second) {
      events += run.events - found->second;
      ++streams;
    }
  });
  if (events == 0) {
    return;
  }
  const Duration interval = (m_clock.Now() - m_reported_at) * streams / events;
  m_event_interval =
      m_event_interval == Duration::zero()
          ? interval
          : FromSeconds(ToSeconds(m_event_interval) *
                            (1.0 - kEventIntervalWeight) +
                        ToSeconds(interval) * kEventIntervalWeight);
}

void EngineWorkEstimator::RecordFirstEvent(const RequestId& call) {
  const auto found = std::ranges::find(m_unread, call, &UnreadCall::id);
  if (found != m_unread.end()) {
    const UnreadCall begun = *found;
    m_unread.erase(found);
    RecordBegin(begun, m_clock.Now());
  }
}

void EngineWorkEstimator::RecordRuns(const EngineReport& report) {
  struct Begun {
    TimePoint at{};
    UnreadCall call;
  };
  std::vector<Begun> begun;
  const TimePoint now = m_clock.Now();
  std::ranges::for_each(report.runs, [&](const EngineRun& run) {
    const auto found = std::ranges::find(m_unread, run.call, &UnreadCall::id);
    if (found == m_unread.end()) {
      return;
    }
    // A run begins with its first event.
    const TimePoint at = now - m_event_interval * std::max(0, run.events - 1);
    begun.push_back(
        {std::max({at, m_reported_at, found->announced_at}), *found});
    m_unread.erase(found);
  });
  std::ranges::sort(begun, {}, &Begun::at);
  std::ranges::for_each(
      begun, [this](const Begun& item) { RecordBegin(item.call, item.at); });
}

void EngineWorkEstimator::RecordBegin(const UnreadCall& call,
                                      TimePoint begun_at) {
  const Duration time = begun_at - std::max(call.announced_at, m_last_begun_at);
  const bool was_alone = call.announced_at >= m_last_begun_at;
  m_last_begun_at = std::max(m_last_begun_at, begun_at);
  if ((was_alone && call.tokens < kMinMeasuredTokens) ||
      time <= Duration::zero()) {
    return;
  }
  const double ms = ToSeconds(time) * 1000.0;
  const double kept = std::exp(-ms / kReadingMemoryMs);
  m_reading.tokens = m_reading.tokens * kept + call.tokens;
  m_reading.ms = m_reading.ms * kept + ms;
}

void EngineWorkEstimator::RemoveExpired(const EngineReport& report) {
  const TimePoint now = m_clock.Now();
  m_reports_without_unread =
      UnreadCount(report) > 0 ? 0 : m_reports_without_unread + 1;
  std::erase_if(m_unread, [&](const UnreadCall& call) {
    const Duration age = now - call.announced_at;
    return age > kMaxUnreadTime ||
           (m_reports_without_unread >= kReportsToForget &&
            call.announced_at < m_reported_at);
  });
}

double EngineWorkEstimator::Confidence() const {
  return m_reading.ms / (m_reading.ms + kHalfConfidenceMs);
}

std::optional<Duration> EngineWorkEstimator::Age() const {
  return m_report.has_value() ? std::optional(m_clock.Now() - m_reported_at)
                              : std::nullopt;
}

double EngineWorkEstimator::Rate() const {
  return Confidence() < kMinConfidence ? 0.0 : m_reading.tokens / m_reading.ms;
}

TimePoint EngineWorkEstimator::HeadBegan() const {
  return std::max(m_unread.front().announced_at, m_last_begun_at);
}

double EngineWorkEstimator::UnannouncedTokens() const {
  if (!m_report.has_value()) {
    return 0.0;
  }
  // Calls that were announced since the report may be among those that it does
  // not know yet, so only the others explain what it shows.
  const auto explained =
      std::ranges::count_if(m_unread, [this](const UnreadCall& call) {
        return call.announced_at <= m_reported_at;
      });
  const auto unannounced = std::min<std::int64_t>(
      UnreadCount(*m_report) - explained, m_report->waiting);
  return unannounced <= 0 ? 0.0
                          : static_cast<double>(unannounced) *
                                m_report->next_tokens.value_or(0.0);
}

EngineWork EngineWorkEstimator::Current() const {
  EngineWork work;
  work.prompt_tokens_per_ms = Rate();
  work.event_interval = m_event_interval;
  work.memory_tokens = m_report.has_value() ? m_report->kv_total : 0.0;
  work.streams = static_cast<int>(m_events.size());
  work.unread_prompt_tokens = std::accumulate(
      m_unread.begin(), m_unread.end(), UnannouncedTokens(),
      [](double sum, const UnreadCall& call) { return sum + call.tokens; });
  if (!m_unread.empty() && work.prompt_tokens_per_ms > 0.0) {
    const double ms = ToSeconds(m_clock.Now() - HeadBegan()) * 1000.0;
    work.unread_prompt_tokens -= std::clamp(ms * work.prompt_tokens_per_ms, 0.0,
                                            m_unread.front().tokens);
  }
  if (work.prompt_tokens_per_ms > 0.0) {
    work.slowness = std::max(1.0, m_best_rate / work.prompt_tokens_per_ms);
  }
  return work;
}

}  // namespace bambooquay
