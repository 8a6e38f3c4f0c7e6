// What an entry knows of the work of one engine.
#include "bambooquay/scheduling/engine_work_view.h"

#include <algorithm>

namespace bambooquay {

void EngineWorkView::Record(const EngineWork& work, TimePoint now) {
  m_last = work;
  m_recorded_at = now;
  m_sent_tokens = 0.0;
}

void EngineWorkView::RecordSent(double unread_tokens) {
  m_sent_tokens += std::max(0.0, unread_tokens);
}

std::optional<EngineWork> EngineWorkView::Current(TimePoint now,
                                                  const EngineWork& usual,
                                                  double alike) const {
  if (!m_last.has_value()) {
    return std::nullopt;
  }
  EngineWork work = *m_last;
  if (work.prompt_tokens_per_ms <= 0.0) {
    work.prompt_tokens_per_ms = usual.prompt_tokens_per_ms;
  }
  if (work.prompt_tokens_per_ms <= 0.0) {
    return std::nullopt;
  }
  if (work.event_interval <= Duration::zero()) {
    work.event_interval = usual.event_interval;
  }
  const double read =
      ToSeconds(now - m_recorded_at) * 1000.0 * work.prompt_tokens_per_ms;
  work.unread_prompt_tokens = std::max(
      0.0, work.unread_prompt_tokens + m_sent_tokens * (1.0 + alike) - read);
  return work;
}

}  // namespace bambooquay
