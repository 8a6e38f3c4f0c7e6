// Interface to the store's tables: rows are listed in ranges, watched for
// changes, and written conditionally.
#pragma once

#include <compare>
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
  /// Version of the last write. 0 in a condition: the row must not exist.
  std::uint64_t version = 0;
  bool deleted = false;
};

/// Counts the store's returns from an older copy of its data. What was written
/// after that copy is lost, and its versions are given out again.
struct StoreEra {
  std::uint64_t number = 0;
  friend auto operator<=>(const StoreEra&, const StoreEra&) = default;
};

/// A point in the store's history. Versions of two eras can't be compared.
struct StorePosition {
  StoreEra era;
  std::uint64_t version = 0;
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// Rows as they are at one point in the store's history.
struct TablePage {
  std::vector<TableRow> rows;
  StorePosition position;
  bool has_more = false;
  /// Time on the store's steady clock, since an unspecified epoch.
  std::chrono::milliseconds store_time{};
};

enum class TableFailure : std::uint8_t {
  kUnavailable,      ///< Failed, but a write may have been applied.
  kBusy,             ///< Rejected by the store's rate limit; not applied.
  kPeerUnavailable,  ///< Another entry failed, whose copy was to be read.
  kHistoryGone,  ///< The store has dropped these changes; list the table again.
};

using TableResult = std::variant<TablePage, TableFailure>;

/// A condition of a write failed; the page has the rows as they are now.
struct TableConflict {
  TablePage current;
};
using TableWriteResult = std::variant<TablePage, TableConflict, TableFailure>;

/// A transaction: applied completely or not at all.
struct TableWrite {
  /// Conditions: rows that must have the given version.
  std::vector<TableRow> expected;
  std::vector<TableRow> puts;
  std::vector<TableRow> deletes;
};

/// Asynchronous access to the store's tables. Callbacks run from the event
/// loop; pending ones are dropped when the object is destroyed.
class FleetTable {
 public:
  FleetTable() = default;
  FleetTable(const FleetTable&) = delete;
  FleetTable& operator=(const FleetTable&) = delete;
  virtual ~FleetTable() = default;

  /// Lists the rows of `table` whose keys are not less than `first_key`.
  virtual void List(const std::string& table, const std::string& first_key,
                    std::function<void(TableResult)> done) = 0;
  /// Returns the rows changed after `after`. Waits up to `wait` for the first
  /// change. If the page is of another era, its rows are those changed after a
  /// version that has nothing to do with `after`.
  virtual void Watch(const std::string& table, StorePosition after,
                     Duration wait, std::function<void(TableResult)> done) = 0;
  virtual void Write(const TableWrite& write,
                     std::function<void(TableWriteResult)> done) = 0;
};

}  // namespace bambooquay
