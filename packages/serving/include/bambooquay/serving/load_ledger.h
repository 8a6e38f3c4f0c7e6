// The fleet's ledger of loads from the weight store: one row in the table,
// written under a condition, that paces all agents together.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

struct LoadPace {
  double loads_per_second = 1.0;
  Duration window = std::chrono::seconds(5);
};

/// One load in the ledger.
struct LedgerEntry {
  std::chrono::milliseconds begun_at{};  ///< On the store's clock.
  ModelName model;
  UpstreamId engine;
};

[[nodiscard]] std::string EncodeLedger(const std::vector<LedgerEntry>& entries);
/// @returns the entries, without those that cannot be read.
[[nodiscard]] std::vector<LedgerEntry> DecodeLedger(std::string_view text);
/// @returns whether one more load may begin at `now`.
[[nodiscard]] bool MayBegin(const std::vector<LedgerEntry>& entries,
                            std::chrono::milliseconds now,
                            const LoadPace& pace);

/// Asks for permits to load.
class LoadLedger {
 public:
  LoadLedger(EventLoop& loop, FleetTable& table);

  /// Asks for one permit; `done` gets whether the load may begin now. A
  /// permit whose fate is unknown counts as used, and is not given.
  void Acquire(const ModelName& model, const UpstreamId& engine,
               const LoadPace& pace, std::function<void(bool)> done);
  [[nodiscard]] bool pending() const noexcept { return m_pending; }
  /// @returns the store's version when it was last read.
  [[nodiscard]] std::optional<std::uint64_t> store_version() const noexcept {
    return m_store_version;
  }
  /// Reads the ledger; `done` gets whether the store answered.
  void Refresh(std::function<void(bool)> done);

 private:
  void Apply(const TablePage& page);
  void TryWrite(const LedgerEntry& wanted, const LoadPace& pace, int attempts,
                std::function<void(bool)> done);
  [[nodiscard]] std::chrono::milliseconds StoreNow() const;

  EventLoop& m_loop;
  FleetTable& m_table;
  bool m_pending = false;
  std::optional<std::uint64_t> m_store_version;
  std::uint64_t m_row_version = 0;
  std::vector<LedgerEntry> m_entries;
  std::chrono::milliseconds m_store_time{};
  TimePoint m_store_time_read_at{};
};

}  // namespace bambooquay
