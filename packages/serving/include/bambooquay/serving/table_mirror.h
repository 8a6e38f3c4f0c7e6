// Keeps a copy of one of the store's tables up to date by watching it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/expiry_grace.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

struct MirrorSettings {
  std::string table;
  /// Longest wait of one watch. A response that is lost is noticed only when
  /// the watch should have ended, so this limits the age that the copy can
  /// reach unnoticed.
  Duration max_watch_time{};
  /// Time between the end of a watch and the start of the next one. Changes in
  /// this time are returned together, which saves calls.
  Duration pause{};
  /// The same after a change for which the handler called UseShortPause().
  Duration short_pause{};
};

/// A local copy of a table. If the store has dropped the changes since the
/// copy's version, the table is listed again. While the store is unreachable
/// the copy stays, and is updated from the fallback if there is one.
///
/// If the store has returned from an older copy of its data, the table is
/// listed anew, and values that have changed apply at once. Rows that the store
/// has lost, and deletions that it has lost, are kept for some seconds, in
/// which their writers write them again.
class TableMirror {
 public:
  /// Called for each row that was added, changed or deleted.
  using RowHandler = std::function<void(const TableRow&)>;

  TableMirror(EventLoop& loop, FleetTable& table, RandomSource& random,
              MirrorSettings settings, RowHandler handler);

  void Start();
  /// Lists the table from the fallback, without regard to whether the store is
  /// reachable. For use when peers have a newer version: the connection of the
  /// watch may have stalled.
  void ListFromFallback();
  /// Called by the handler if it expects more changes soon.
  void UseShortPause() noexcept { m_use_short_pause = true; }
  /// Starts a watch in place of the pause or of the watch that is in progress.
  /// For use when the copy seems to be outdated: the response to the watch may
  /// be lost.
  void WatchNow();
  /// Changes MirrorSettings::max_watch_time for later watches.
  void SetMaxWatchTime(Duration time) noexcept {
    m_settings.max_watch_time = time;
  }
  /// Changes MirrorSettings::pause.
  void SetPause(Duration pause) noexcept { m_settings.pause = pause; }
  /// Sets where the table is listed while the store is unreachable.
  void SetFallback(FleetTable& fallback) { m_fallback = &fallback; }
  /// @returns all rows of the copy as one page.
  [[nodiscard]] TablePage Snapshot() const;
  /// @returns whether ChangesSince() can tell the changes after `position`.
  [[nodiscard]] bool HasChangesSince(StorePosition position) const noexcept {
    return m_complete && position.era == m_position.era &&
           position.version >= m_history_start;
  }
  /// @returns the rows that were changed or deleted after `version` of the
  ///   copy's era.
  [[nodiscard]] TablePage ChangesSince(std::uint64_t version) const;
  [[nodiscard]] const std::string& table() const noexcept {
    return m_settings.table;
  }
  /// @returns whether the table has been listed completely at least once.
  [[nodiscard]] bool is_complete() const noexcept { return m_complete; }
  /// @returns when the store last responded; nothing if it never has.
  [[nodiscard]] std::optional<TimePoint> last_response_at() const noexcept {
    return m_last_response_at;
  }
  /// @returns the time between the last two responses; nothing before the
  ///   second one. Changes in the last response may be that old.
  [[nodiscard]] std::optional<Duration> last_response_gap() const noexcept {
    return m_last_response_gap;
  }
  /// @returns whether the last call to the store failed.
  [[nodiscard]] bool is_store_lost() const noexcept { return m_failures > 0; }
  [[nodiscard]] StorePosition position() const noexcept { return m_position; }
  /// @returns how often the store has returned from an older copy.
  [[nodiscard]] int return_count() const noexcept { return m_return_count; }
  /// @returns the version of the newest change that the copy has had in its
  ///   era.
  [[nodiscard]] std::uint64_t last_change() const noexcept {
    return m_last_change;
  }
  [[nodiscard]] const std::map<std::string, TableRow>& rows() const noexcept {
    return m_rows;
  }
  /// Sets a handler that runs when the copy or its connection to the store has
  /// changed.
  void OnUpdated(std::function<void()> handler) {
    m_on_updated = std::move(handler);
  }
  /// Sets what is told of the store's failures and responses.
  void SetExpiryGrace(ExpiryGrace& grace) noexcept { m_grace = &grace; }

 private:
  void List(const std::string& first_key);
  void HandleList(TableResult result);
  void Watch();
  /// @param watched  the era from which the changes were asked for.
  void HandleWatch(StoreEra watched, TableResult result);
  /// @returns whether the response to a watch has all changes that the copy
  ///   lacks: those of another era start at a version of no meaning here.
  [[nodiscard]] bool HasAllChanges(StoreEra watched,
                                   const TablePage& page) const;
  /// Applies the response to a watch.
  void ApplyChanges(const TablePage& page);
  void ApplyListing();
  /// Compares the copy with the first listing of a new era.
  void BeginEra();
  /// Applies what has not been written again since the store's return.
  void ApplyUnconfirmedRows();
  void Apply(const TableRow& row);
  void RecordDeletion(const std::string& key);
  void NotifyUpdated() const;
  void RetryLater(std::function<void()> retry, TableFailure failure);
  void HandleStoreResponse();
  /// @returns the time since the last response; negative if there is none.
  [[nodiscard]] Duration CopyAge() const;

  EventLoop& m_loop;
  FleetTable& m_table;
  FleetTable* m_fallback = nullptr;
  RandomSource& m_random;
  MirrorSettings m_settings;
  RowHandler m_handler;
  ExpiryGrace* m_grace = nullptr;
  std::function<void()> m_on_updated;
  std::map<std::string, TableRow> m_rows;
  /// Rows that were deleted, by the version at which that became known. Those
  /// deleted up to m_history_start are not kept.
  std::multimap<std::uint64_t, std::string> m_deleted;
  std::uint64_t m_history_start = 0;
  /// Rows of a listing in progress.
  std::map<std::string, TableRow> m_listed;
  /// Position of the first page of that listing.
  std::optional<StorePosition> m_list_position;
  StorePosition m_position;
  std::uint64_t m_last_change = 0;
  /// Rows by which the copy and a store that has returned differ until they are
  /// written again: those that the store lacks, as deleted rows, and those that
  /// it has again though they were deleted.
  std::map<std::string, TableRow> m_unconfirmed;
  std::unique_ptr<Timer> m_confirm_timer;
  /// When rows were deleted, as far as a copy of the store may still have them.
  std::map<std::string, TimePoint> m_deleted_at;
  int m_return_count = 0;
  bool m_complete = false;
  bool m_use_short_pause = false;
  /// Whether `m_next_timer` ends a pause between watches; if not, it is for a
  /// retry.
  bool m_pausing = false;
  bool m_watching = false;
  /// Number of watches so far. After a response to the last one the next watch
  /// follows; of late responses to others only the changes are applied.
  std::uint64_t m_watch_count = 0;
  /// Failed calls to the store in a row.
  int m_failures = 0;
  /// Start of the call in progress, or of the last one.
  TimePoint m_call_started_at{};
  std::optional<TimePoint> m_last_response_at;
  std::optional<Duration> m_last_response_gap;
  std::unique_ptr<Timer> m_next_timer;
};

}  // namespace bambooquay
