// Decides how long an upstream may be used after its row was deleted.
#pragma once

#include <optional>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// While the store is away, the rows of live upstreams may expire; they
/// register again within two seconds of its return. Without a grace, calls
/// would be refused in these seconds. At other times a deleted row is a
/// departure.
///
/// Only the store's own failures count: a store that limits this process's
/// rate, or another entry that has failed, lets no row expire.
///
/// @code
/// ExpiryGrace grace(clock);
/// grace.RecordFailure(call_started_at);
/// grace.RecordResponse();
/// upstreams.Remove(id, grace.Remaining());
/// @endcode
class ExpiryGrace {
 public:
  explicit ExpiryGrace(const Clock& clock) noexcept : m_clock(clock) {}

  /// Records a call to the store that has failed.
  /// @param call_started_at  when the call was sent. The store may have been
  ///   well again since soon after that.
  void RecordFailure(TimePoint call_started_at);
  /// Records a response of the store.
  void RecordResponse();
  /// @returns how much longer an upstream may be used if its row is found
  ///   deleted now; zero if the store has not been away lately.
  [[nodiscard]] Duration Remaining() const;

 private:
  const Clock& m_clock;
  std::optional<TimePoint> m_last_failed_call_at;
  /// The first response since that call has failed.
  std::optional<TimePoint> m_responded_at;
};

}  // namespace bambooquay
