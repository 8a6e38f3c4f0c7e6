// The store's tables in memory, for tests without a store.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay::testing {

/// Answers from the loop; can be down, stale, forgetful, or lose answers.
class FakeTable final : public FleetTable {
 public:
  explicit FakeTable(EventLoop& loop) : m_loop(loop) {}

  void List(const std::string& table, const std::string& /*from*/,
            std::function<void(TableResult)> done) override {
    ++lists;
    m_loop.Post([this, table, done = std::move(done)] {
      if (down) {
        done(TableFailure::kUnavailable);
        return;
      }
      TablePage page = Page(table);
      if (stale_lists > 0) {
        --stale_lists;
        page.version = 1;
        page.rows.clear();
      }
      done(std::move(page));
    });
  }

  void Watch(const std::string& table, std::uint64_t after, Duration /*wait*/,
             std::function<void(TableResult)> done) override {
    m_watches[table] = {after, std::move(done)};
    Answer();
  }

  void Write(const TableWrite& write,
             std::function<void(TableWriteResult)> done) override {
    m_loop.Post([this, write, done = std::move(done)] {
      if (down) {
        done(TableFailure::kUnavailable);
        return;
      }
      for (const TableRow& row : write.expected) {
        const auto known = m_rows.find({row.table, row.key});
        const std::uint64_t is =
            known == m_rows.end() ? 0 : known->second.version;
        if (is != row.version) {
          done(TableConflict{Page(row.table)});
          return;
        }
      }
      for (const TableRow& row : write.puts) {
        Put(row.table, row.key, row.value);
      }
      if (lose_answers) {
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
    Answer();
  }
  void Drop(const std::string& table, const std::string& key) {
    m_rows.erase({table, key});
    m_changes.push_back({table, key, "", ++version, true});
    Answer();
  }
  /// Forgets all changes: watches from before are refused.
  void DropHistory() {
    m_changes.clear();
    m_kept_from = version;
    Answer();
  }

  bool down = false;
  bool lose_answers = false;
  int stale_lists = 0;
  int lists = 0;
  std::uint64_t version = 10;
  std::chrono::milliseconds now{1000};

 private:
  struct PendingWatch {
    std::uint64_t after = 0;
    std::function<void(TableResult)> done;
  };

  [[nodiscard]] TablePage Page(const std::string& table) const {
    TablePage page;
    page.version = version;
    page.store_time = now;
    for (const auto& [key, row] : m_rows) {
      if (key.first == table) {
        page.rows.push_back(row);
      }
    }
    return page;
  }

  void Answer() {
    for (auto& [table, watch] : m_watches) {
      if (watch.done) {
        AnswerWatch(table, watch);
      }
    }
  }

  void AnswerWatch(const std::string& table, PendingWatch& watch) {
    TableResult result = TableFailure::kUnavailable;
    if (!down && watch.after < m_kept_from) {
      result = TableFailure::kHistoryGone;
    } else if (!down) {
      TablePage page;
      page.version = version;
      for (const TableRow& row : m_changes) {
        if (row.table == table && row.version > watch.after) {
          page.rows.push_back(row);
        }
      }
      if (page.rows.empty()) {
        return;
      }
      result = std::move(page);
    }
    m_loop.Post([done = std::exchange(watch.done, nullptr),
                 result = std::move(result)] { done(result); });
  }

  EventLoop& m_loop;
  std::map<std::pair<std::string, std::string>, TableRow> m_rows;
  std::vector<TableRow> m_changes;
  std::uint64_t m_kept_from = 0;
  std::map<std::string, PendingWatch> m_watches;
};

}  // namespace bambooquay::testing
