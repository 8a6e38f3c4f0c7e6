// The store's tables as the serving path uses them: rows read in ranges,
// watched for changes, and written under a condition.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"

namespace bambooquay {

struct TableRow {
  std::string table;
  std::string key;
  std::string value;
  std::uint64_t version = 0;  ///< 0 in a condition: the row does not exist.
  bool deleted = false;
};

/// Rows as of one version of the store.
struct TablePage {
  std::vector<TableRow> rows;
  std::uint64_t version = 0;
  bool has_more = false;
  /// The store's own steady clock, since an unspecified start.
  std::chrono::milliseconds store_time{};
};

enum class TableFailure : std::uint8_t {
  kUnavailable,  ///< Not done, or not known to be done.
  kBusy,         ///< Refused for its rate; not done.
  kHistoryGone,  ///< The changes asked for are no longer kept: list anew.
};

using TableResult = std::variant<TablePage, TableFailure>;

/// A row's condition failed; the page has the rows as they are.
struct TableConflict {
  TablePage current;
};
using TableWriteResult = std::variant<TablePage, TableConflict, TableFailure>;

/// Applied whole or not at all.
struct TableWrite {
  std::vector<TableRow> expected;
  std::vector<TableRow> puts;
  std::vector<TableRow> removed;
};

/// Callbacks run from the event loop and are dropped when the object goes.
class FleetTable {
 public:
  FleetTable() = default;
  FleetTable(const FleetTable&) = delete;
  FleetTable& operator=(const FleetTable&) = delete;
  virtual ~FleetTable() = default;

  /// Lists the rows of `table` with keys from `from` on.
  virtual void List(const std::string& table, const std::string& from,
                    std::function<void(TableResult)> done) = 0;
  /// Answers with the rows changed after version `after`, waiting up to
  /// `wait` for the first one.
  virtual void Watch(const std::string& table, std::uint64_t after,
                     Duration wait, std::function<void(TableResult)> done) = 0;
  virtual void Write(const TableWrite& write,
                     std::function<void(TableWriteResult)> done) = 0;
};

}  // namespace bambooquay
