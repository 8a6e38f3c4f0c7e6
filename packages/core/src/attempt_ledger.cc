// An agent's record of attempts.
#include "bambooquay/core/attempt_ledger.h"

#include <utility>

namespace bambooquay {

bool AttemptLedger::Begin(const RequestId& id) {
  RemoveExpired();
  return m_attempts.try_emplace(id).second;
}

void AttemptLedger::MarkRunning(const RequestId& id) {
  m_attempts[id].state = LedgerState::kRunning;
}

void AttemptLedger::Finish(const RequestId& id, StoredResponse response) {
  RemoveExpired();
  Attempt& attempt = m_attempts[id];
  attempt.state = LedgerState::kFinished;
  if (m_stored_bytes + response.body.size() > m_max_stored_bytes) {
    response.body.clear();
    response.body.shrink_to_fit();
    response.status = 0;
  }
  m_stored_bytes += response.body.size();
  attempt.response = std::move(response);
  ScheduleExpiry(id);
}

LedgerState AttemptLedger::CancelUnlessRunning(const RequestId& id) {
  RemoveExpired();
  const auto [entry, is_new] = m_attempts.try_emplace(id);
  Attempt& attempt = entry->second;
  if (attempt.state == LedgerState::kQueued) {
    attempt.state = LedgerState::kCancelled;
    ScheduleExpiry(id);
  }
  return attempt.state;
}

void AttemptLedger::Erase(const RequestId& id) { m_attempts.erase(id); }

LedgerState AttemptLedger::StateOf(const RequestId& id) const noexcept {
  const auto found = m_attempts.find(id);
  return found == m_attempts.end() ? LedgerState::kUnknown
                                   : found->second.state;
}

const StoredResponse* AttemptLedger::Find(const RequestId& id) const noexcept {
  const auto found = m_attempts.find(id);
  return found == m_attempts.end() ||
                 found->second.state != LedgerState::kFinished
             ? nullptr
             : &found->second.response;
}

void AttemptLedger::ScheduleExpiry(const RequestId& id) {
  m_expiries.push_back({m_clock.Now() + m_retention, id});
}

void AttemptLedger::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  while (!m_expiries.empty() && m_expiries.front().when <= now) {
    const auto found = m_attempts.find(m_expiries.front().id);
    if (found != m_attempts.end()) {
      m_stored_bytes -= found->second.response.body.size();
      m_attempts.erase(found);
    }
    m_expiries.pop_front();
  }
}

}  // namespace bambooquay
