// Counts the requests that upstreams began to run by this entry's calls.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/wall_clock.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/forwarded_call.h"

namespace bambooquay {

/// Keeps the counts of the latest windows and says what the holder of the
/// duties should be sent. Counts of the current window are sent as they grow,
/// so that little is lost with the process.
class UsageCounter final : public RunSink {
 public:
  UsageCounter(const Clock& clock, const WallClock& wall_clock,
               UnixTime window_length);

  void CountRun(const OrganisationId& organisation) override;
  void CountUnknownRun() override { ++m_unknown_runs; }

  /// @returns the counts to send now. Final ones are due again until they are
  ///   confirmed.
  [[nodiscard]] std::vector<UsageCounts> TakeDue();
  /// Names the present holder by its fencing token; 0 if there is none. What
  /// one holder has confirmed, the next one may not have.
  void SetHolder(std::uint64_t fencing_token);
  /// Makes all counts of windows that are not settled due again.
  void SendAgain();
  /// The holder has the final counts of a window.
  void Confirm(const UsageReceipt& receipt);
  /// Drops the windows up to one whose usage is settled.
  void DropThrough(UsageWindow settled);
  /// The process is about to stop: the current window's counts are final.
  void Close() noexcept { m_is_closed = true; }

  /// @returns the window in which this process started.
  [[nodiscard]] UsageWindow first_window() const noexcept {
    return m_first_window;
  }
  /// @returns the number of requests that ended without a sign of an upstream
  ///   whether they ran.
  [[nodiscard]] std::uint64_t unknown_runs() const noexcept {
    return m_unknown_runs;
  }

 private:
  struct Window {
    RunCounts counts;
    std::uint64_t total = 0;
    std::optional<std::uint64_t> sent_total;
    std::optional<TimePoint> sent_at;
    bool is_confirmed = false;
  };

  /// Adds the windows up to the current one, also those without a request.
  void AddWindows();

  const Clock& m_clock;
  const WallClock& m_wall_clock;
  UnixTime m_window_length;
  UsageWindow m_first_window;
  std::uint64_t m_holder_token = 0;
  bool m_is_closed = false;
  std::uint64_t m_unknown_runs = 0;
  std::map<UsageWindow, Window> m_windows;
};

}  // namespace bambooquay
