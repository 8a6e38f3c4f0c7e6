// How many orders an engine has accepted, as its agent believes.
#pragma once

#include <algorithm>
#include <cstdint>

#include "bambooquay/core/clock.h"

namespace bambooquay {

/// Each order names the number of orders before it, and an engine refuses one
/// that names another number. Replies may be lost and reports lag, so each
/// alone may be wrong: a reply counts at once, and a report has the last word
/// once it is too late to lag behind the last order.
class OrderCount {
 public:
  explicit OrderCount(const Clock& clock) noexcept : m_clock(clock) {}

  [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }
  /// @returns whether reports may still lack the last order.
  [[nodiscard]] bool ReportsLag() const noexcept {
    return m_clock.Now() < m_trust_reports_from;
  }

  /// The engine has accepted the order that named `before`, now or earlier.
  void NoteAccepted(std::uint64_t before) noexcept {
    m_count = std::max(m_count, before + 1);
    NoteEffect();
  }
  /// What the last order did shows in later reports.
  void NoteEffect() noexcept {
    m_trust_reports_from = m_clock.Now() + kReportLag;
  }
  void NoteReport(std::uint64_t reported) noexcept {
    m_count = ReportsLag() ? std::max(m_count, reported) : reported;
  }
  /// The engine has refused an order: the next report tells what holds.
  void NoteRefused() noexcept { m_trust_reports_from = {}; }
  /// The engine has restarted.
  void Reset() noexcept {
    m_count = 0;
    m_trust_reports_from = {};
  }

 private:
  // A report shows an order that was accepted this long before it.
  static constexpr Duration kReportLag = std::chrono::milliseconds(500);

  const Clock& m_clock;
  std::uint64_t m_count = 0;
  TimePoint m_trust_reports_from{};
};

}  // namespace bambooquay
