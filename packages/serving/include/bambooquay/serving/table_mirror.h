// Keeps a copy of one of the store's tables up to date by watching it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

struct MirrorSettings {
  std::string table;
  /// Time between the end of one watch and the next one: gathers changes into
  /// fewer calls.
  Duration pause{};
  /// The same after a change that made the handler call Hurry().
  Duration short_pause{};
};

/// A local copy of a table. A lost history leads to a new listing; an
/// unreachable store leaves the copy as it is.
class TableMirror {
 public:
  /// Called for each row that changed, was added, or is deleted.
  using RowHandler = std::function<void(const TableRow&)>;

  TableMirror(EventLoop& loop, FleetTable& table, RandomSource& random,
              MirrorSettings settings, RowHandler handler);

  void Start();
  /// Lists the table at the fallback, though the store does not seem to be
  /// away: others know more, so the watch may have gone silent.
  void AskFallback();
  /// Called by the handler: more changes like this one are expected soon.
  void Hurry() noexcept { m_hurry = true; }
  /// Watches again now, if there is a pause between two watches.
  void EndPause();
  /// Sets where to list the table while the store does not answer.
  void SetFallback(FleetTable& fallback) { m_fallback = &fallback; }
  /// @returns the copy as one page.
  [[nodiscard]] TablePage Snapshot() const;
  [[nodiscard]] const std::string& table() const noexcept {
    return m_settings.table;
  }
  /// @returns whether the table was listed in full at least once.
  [[nodiscard]] bool complete() const noexcept { return m_complete; }
  /// @returns when the store last answered, if it ever did.
  [[nodiscard]] std::optional<TimePoint> answered_at() const noexcept {
    return m_answered_at;
  }
  /// @returns whether the last call to the store failed.
  [[nodiscard]] bool lost() const noexcept { return m_failures > 0; }
  [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
  [[nodiscard]] const std::map<std::string, TableRow>& rows() const noexcept {
    return m_rows;
  }
  /// Runs when the store answers again after failures.
  void OnRegained(std::function<void()> handler) {
    m_regained = std::move(handler);
  }

 private:
  void List(const std::string& from);
  void HandleList(TableResult result);
  void Watch();
  void HandleWatch(TableResult result);
  void FinishList();
  void Apply(const TableRow& row);
  void RetryLater(std::function<void()> retry, TableFailure failure);
  void NoteAnswer();

  EventLoop& m_loop;
  FleetTable& m_table;
  FleetTable* m_fallback = nullptr;
  RandomSource& m_random;
  MirrorSettings m_settings;
  RowHandler m_handler;
  std::function<void()> m_regained;
  std::map<std::string, TableRow> m_rows;
  /// Rows of a listing that is not complete yet.
  std::map<std::string, TableRow> m_listed;
  std::optional<std::uint64_t> m_list_version;
  std::uint64_t m_version = 0;
  bool m_complete = false;
  bool m_hurry = false;
  /// Whether `m_next` ends a pause, and is no retry.
  bool m_pausing = false;
  int m_failures = 0;
  std::optional<TimePoint> m_answered_at;
  std::unique_ptr<Timer> m_next;
};

}  // namespace bambooquay
