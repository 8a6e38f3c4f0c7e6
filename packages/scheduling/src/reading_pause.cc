// Measures how far apart the events of an engine's streams are while it reads
// prompts.
#include "bambooquay/scheduling/reading_pause.h"

#include <algorithm>

namespace bambooquay {
namespace {

// Weight of the last measurement.
constexpr double kWeight = 0.3;
// Factor by which the interval declines with each report without a measurement,
// so that it is measured again: an engine that rests between prompts no longer
// shows what it would do without.
constexpr double kDecline = 0.995;

}  // namespace

void ReadingPause::RecordReport(const EngineReport& report, bool has_read,
                                TimePoint now) {
  int streams = 0;
  int events = 0;
  std::ranges::for_each(report.runs, [&](const EngineRun& run) {
    const auto before = m_events.find(run.call);
    if (before != m_events.end()) {
      ++streams;
      events += std::max(0, run.events - before->second);
    }
  });
  if (has_read && events > 0) {
    const Duration measured = (now - m_reported_at) * streams / events;
    m_reading_interval =
        m_reading_interval == Duration::zero()
            ? measured
            : FromSeconds((1.0 - kWeight) * ToSeconds(m_reading_interval) +
                          kWeight * ToSeconds(measured));
  } else {
    m_reading_interval = FromSeconds(kDecline * ToSeconds(m_reading_interval));
  }
  m_events.clear();
  std::ranges::for_each(report.runs, [this](const EngineRun& run) {
    m_events.emplace(run.call, run.events);
  });
  m_reported_at = now;
}

}  // namespace bambooquay
