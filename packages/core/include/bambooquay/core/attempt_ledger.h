// An agent's record of attempts. It ensures that no attempt runs twice and
// that queries about an attempt are answered correctly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/work.h"

namespace bambooquay {

/// The response of a finished attempt, stored for later queries.
struct StoredResponse {
  WorkResult result;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// State of one attempt.
enum class LedgerState : std::uint8_t {
  kUnknown,  ///< Not in the ledger.
  kQueued,
  kRunning,
  kFinished,
  kCancelled,  ///< Has not run and never will.
};

/// Attempts move from queued to running to finished, or from unknown or queued
/// to cancelled. Finished and cancelled are final. Attempts in these states are
/// stored for the retention time, which must exceed the longest time that the
/// network can delay a message.
class AttemptLedger {
 public:
  /// @param retention  how long finished and cancelled attempts are stored.
  /// @param max_stored_bytes  limit on the total size of stored bodies.
  AttemptLedger(const Clock& clock, Duration retention,
                std::size_t max_stored_bytes) noexcept
      : m_clock(clock),
        m_retention(retention),
        m_max_stored_bytes(max_stored_bytes) {}

  /// Registers a new attempt as queued.
  /// @returns false if the id was seen or cancelled before.
  [[nodiscard]] bool Begin(const RequestId& id);
  void MarkRunning(const RequestId& id);
  /// Stores the response of an attempt. If its body would exceed the byte
  /// limit, the body is dropped and the status set to 0; the result is stored
  /// in any case.
  void Finish(const RequestId& id, StoredResponse response);
  /// Cancels `id` unless it is running or finished. An id that is not known yet
  /// is cancelled as well, so that an attempt that arrives later is refused.
  /// @returns the state afterwards: kCancelled, kRunning or kFinished.
  LedgerState CancelUnlessRunning(const RequestId& id);
  /// Erases an attempt that may safely be repeated, as it is idempotent or has
  /// not run.
  void Erase(const RequestId& id);
  [[nodiscard]] LedgerState StateOf(const RequestId& id) const noexcept;
  /// @returns the stored response of a finished attempt, or nullptr.
  [[nodiscard]] const StoredResponse* Find(const RequestId& id) const noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return m_attempts.size(); }

 private:
  struct Attempt {
    LedgerState state = LedgerState::kQueued;
    StoredResponse response;
  };
  struct Expiry {
    TimePoint when;
    RequestId id;
  };

  void ScheduleExpiry(const RequestId& id);
  void RemoveExpired();

  const Clock& m_clock;
  Duration m_retention;
  std::size_t m_max_stored_bytes;
  std::size_t m_stored_bytes = 0;
  std::unordered_map<RequestId, Attempt> m_attempts;
  /// Finished and cancelled attempts, ordered by expiry.
  std::deque<Expiry> m_expiries;
};

}  // namespace bambooquay
