// In-memory implementation of FleetTable for tests without a store.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay::testing {

/// Calls back from the event loop. Tests can make it unavailable, let it return
/// stale lists, lose its history of changes, or lose the responses to writes.
class FakeTable final : public FleetTable {
 public:
  explicit FakeTable(EventLoop& loop) : m_loop(loop) {}

  void List(const std::string& table, const std::string& /*from*/,
            std::function<void(TableResult)> done) override {
    ++list_count;
    m_loop.Post([this, table, done = std::move(done)] {
      if (is_down) {
        done(TableFailure::kUnavailable);
        return;
      }
      TablePage page = Page(table);
      if (stale_list_responses > 0) {
        --stale_list_responses;
        page.position.version = 1;
        page.rows.clear();
      }
      done(std::move(page));
    });
  }

  void Watch(const std::string& table, StorePosition after, Duration wait,
             std::function<void(TableResult)> done) override {
    ++watch_count;
    std::erase_if(m_watches, [](const PendingWatch& watch) {
      return watch.done == nullptr;
    });
    PendingWatch& watch = m_watches.emplace_back();
    watch.table = table;
    watch.after = after.version;
    watch.done = std::move(done);
    watch.is_lost = is_silent;
    watch.timer = m_loop.After(watch.is_lost ? wait + kAnswerLimit : wait,
                               [this, &watch] { AnswerWatch(watch, true); });
    NotifyWatches();
  }
  /// Responds to the oldest watch now, in spite of `is_silent`.
  void AnswerOldestWatch() {
    const auto oldest = std::ranges::find_if(
        m_watches,
        [](const PendingWatch& watch) { return watch.done != nullptr; });
    oldest->is_lost = false;
    AnswerWatch(*oldest, true);
  }

  void Write(const TableWrite& write,
             std::function<void(TableWriteResult)> done) override {
    m_loop.Post([this, write, done = std::move(done)] {
      if (is_down) {
        done(TableFailure::kUnavailable);
        return;
      }
      for (const TableRow& row : write.expected) {
        const auto existing = m_rows.find({row.table, row.key});
        const std::uint64_t actual_version =
            existing == m_rows.end() ? 0 : existing->second.version;
        if (actual_version != row.version) {
          done(TableConflict{Page(row.table)});
          return;
        }
      }
      for (const TableRow& row : write.puts) {
        Put(row.table, row.key, row.value);
      }
      for (const TableRow& row : write.deletes) {
        Delete(row.table, row.key);
      }
      if (lose_responses) {
        done(TableFailure::kUnavailable);
        return;
      }
      done(Page(""));
    });
  }

  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    m_rows[{table, key}] = {table, key, value, ++version, false};
    m_changes.push_back(m_rows[{table, key}]);
    NotifyWatches();
  }
  void Delete(const std::string& table, const std::string& key) {
    m_rows.erase({table, key});
    m_changes.push_back({table, key, "", ++version, true});
    NotifyWatches();
  }
  [[nodiscard]] bool Has(const std::string& table,
                         const std::string& key) const {
    return m_rows.contains({table, key});
  }
  /// Returns from a copy that has the changes up to `copied_version`. Watches
  /// that wait fail.
  void ReturnFrom(std::uint64_t copied_version) {
    std::erase_if(m_changes, [&](const TableRow& row) {
      return row.version > copied_version;
    });
    m_rows.clear();
    std::ranges::for_each(m_changes, [this](const TableRow& row) {
      if (row.deleted) {
        m_rows.erase({row.table, row.key});
      } else {
        m_rows[{row.table, row.key}] = row;
      }
    });
    ++era.number;
    version = copied_version;
    is_down = true;
    NotifyWatches();
    is_down = false;
  }
  /// Discards all recorded changes. Watches from an earlier version fail with
  /// kHistoryGone.
  void DiscardHistory() {
    m_changes.clear();
    m_oldest_watchable_version = version;
    NotifyWatches();
  }

  /// Time for the response to a watch after its wait.
  static constexpr Duration kAnswerLimit = std::chrono::milliseconds(200);

  bool is_down = false;  ///< Every call fails with kUnavailable.
  /// Watches get no response, not even later; they fail at their time limit.
  bool is_silent = false;
  /// Writes take effect but fail with kUnavailable.
  bool lose_responses = false;
  /// How many of the next lists have version 1 and no rows.
  int stale_list_responses = 0;
  int list_count = 0;   ///< Calls of List so far.
  int watch_count = 0;  ///< Calls of Watch so far.
  StoreEra era{1};
  std::uint64_t version = 10;           ///< Version of the newest change.
  std::chrono::milliseconds now{1000};  ///< The store's time.

 private:
  struct PendingWatch {
    std::string table;
    std::uint64_t after = 0;
    std::function<void(TableResult)> done;
    bool is_lost = false;
    std::unique_ptr<Timer> timer;
  };

  [[nodiscard]] TablePage Page(const std::string& table) const {
    TablePage page;
    page.position = {era, version};
    page.store_time = now;
    for (const auto& [key, row] : m_rows) {
      if (key.first == table) {
        page.rows.push_back(row);
      }
    }
    return page;
  }

  void NotifyWatches() {
    for (PendingWatch& watch : m_watches) {
      if (!watch.is_lost) {
        AnswerWatch(watch, false);
      }
    }
  }

  /// @param is_over  whether to respond without a change, too: the wait, or the
  ///   time limit of a lost watch, is over.
  void AnswerWatch(PendingWatch& watch, bool is_over) {
    if (!watch.done) {
      return;
    }
    TableResult result = TableFailure::kUnavailable;
    if (!is_down && !watch.is_lost) {
      TablePage page;
      page.position = {era, version};
      page.rows = ChangesAfter(watch.table, watch.after);
      if (watch.after < m_oldest_watchable_version || watch.after > version) {
        result = TableFailure::kHistoryGone;
      } else if (is_over || !page.rows.empty()) {
        result = std::move(page);
      } else {
        return;
      }
    }
    m_loop.Post([done = std::exchange(watch.done, nullptr),
                 result = std::move(result)] { done(result); });
  }

  [[nodiscard]] std::vector<TableRow> ChangesAfter(const std::string& table,
                                                   std::uint64_t after) const {
    std::vector<TableRow> changes;
    std::ranges::copy_if(m_changes, std::back_inserter(changes),
                         [&](const TableRow& row) {
                           return row.table == table && row.version > after;
                         });
    return changes;
  }

  EventLoop& m_loop;
  std::map<std::pair<std::string, std::string>, TableRow> m_rows;
  std::vector<TableRow> m_changes;
  /// Watches from an earlier version fail, as their changes were discarded.
  std::uint64_t m_oldest_watchable_version = 0;
  /// Completed watches have no callback any more.
  std::list<PendingWatch> m_watches;
};

}  // namespace bambooquay::testing
