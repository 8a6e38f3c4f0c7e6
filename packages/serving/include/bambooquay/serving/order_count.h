// An agent's estimate of the number of orders that its engine has accepted.
#pragma once

#include <algorithm>
#include <cstdint>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Counts the orders that an engine has accepted. Each order states the number
/// of orders accepted before it, and the engine refuses an order that states
/// any other number. Neither replies nor reports are reliable alone, as a reply
/// may be lost and a report may predate the last order. A reply is therefore
/// counted at once, and a report replaces the count only if it must include
/// the last order.
class OrderCount {
 public:
  explicit OrderCount(const Clock& clock) noexcept : m_clock(clock) {}

  [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }
  /// @returns whether reports may still predate the last order.
  [[nodiscard]] bool ReportsMayLag() const noexcept {
    return m_clock.Now() < m_reports_current_from;
  }

  /// Records that the engine has accepted an order, now or earlier.
  ///
  /// @param expected  the number of earlier orders that the order stated.
  void RecordAccepted(std::uint64_t expected) noexcept {
    m_count = std::max(m_count, expected + 1);
    MarkReportsLagging();
  }
  /// Records that reports may not yet show the effect of the last order.
  void MarkReportsLagging() noexcept {
    m_reports_current_from = m_clock.Now() + kMaxReportLag;
  }
  /// @param reported  the number of accepted orders that the engine reports.
  void RecordReport(std::uint64_t reported) noexcept {
    m_count = ReportsMayLag() ? std::max(m_count, reported) : reported;
  }
  /// Records that the engine has refused an order. The count may be wrong, so
  /// the next report replaces it.
  void RecordRefusal() noexcept { m_reports_current_from = {}; }
  /// Records that the engine has restarted and counts from zero.
  void Reset() noexcept {
    m_count = 0;
    m_reports_current_from = {};
  }

 private:
  // A report includes every order that was accepted this long before it.
  static constexpr Duration kMaxReportLag = std::chrono::milliseconds(500);

  const Clock& m_clock;
  std::uint64_t m_count = 0;
  /// Reports include all accepted orders from this time on.
  TimePoint m_reports_current_from{};
};

}  // namespace bambooquay
