// Limits the rate at which all agents together load models from the weight
// store. The recent loads are kept in one row of the store's table, which is
// replaced by compare-and-set.
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
#include "bambooquay/serving/store_time.h"

namespace bambooquay {

/// Allows `loads_per_second` times `window` loads, but at least one, in any
/// period of length `window`.
struct LoadRateLimit {
  double loads_per_second = 1.0;
  Duration window = std::chrono::seconds(5);
};

/// One load from the weight store.
struct ModelLoadRecord {
  std::chrono::milliseconds started_at{};  ///< On the store's clock.
  ModelName model;
  UpstreamId engine;

  friend bool operator==(const ModelLoadRecord&,
                         const ModelLoadRecord&) = default;
};

[[nodiscard]] std::string EncodeLoadRecords(
    const std::vector<ModelLoadRecord>& records);
/// @returns the records, without malformed ones; none if `text` is not a
///   JSON array.
[[nodiscard]] std::vector<ModelLoadRecord> DecodeLoadRecords(
    std::string_view text);
/// @returns whether one more load may start at `now`.
[[nodiscard]] bool MayStartLoad(const std::vector<ModelLoadRecord>& records,
                                std::chrono::milliseconds now,
                                const LoadRateLimit& limit);

/// Acquires permits for loads from the weight store.
class ModelLoadLimiter {
 public:
  ModelLoadLimiter(EventLoop& loop, FleetTable& table);

  /// Requests a permit for one load.
  ///
  /// @param done  called with whether the load may start now. If the outcome of
  ///   the write is unknown, it is called with false, although the permit may
  ///   have been recorded and then counts against the limit.
  void Acquire(const ModelName& model, const UpstreamId& engine,
               const LoadRateLimit& limit, std::function<void(bool)> done);
  /// @returns whether a call of Acquire() has not completed yet.
  [[nodiscard]] bool pending() const noexcept { return m_pending; }
  /// @returns the store's position when it was last read, if it ever was.
  [[nodiscard]] std::optional<StorePosition> store_position() const noexcept {
    return m_position;
  }
  /// Reads the records from the store.
  ///
  /// @param done  called with whether the store could be read.
  void Refresh(std::function<void(bool)> done);

 private:
  void ApplyPage(const TablePage& page);
  void TryWrite(const ModelLoadRecord& requested, const LoadRateLimit& limit,
                int attempts, std::function<void(bool)> done);

  EventLoop& m_loop;
  FleetTable& m_table;
  bool m_pending = false;
  std::optional<StorePosition> m_position;
  std::uint64_t m_row_version = 0;
  std::vector<ModelLoadRecord> m_records;
  StoreTime m_store_time{m_loop.clock()};
};

}  // namespace bambooquay
