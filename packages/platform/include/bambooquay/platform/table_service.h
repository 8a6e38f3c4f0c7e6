// The platform's transactional table service. Rows have a version, and a write
// succeeds only if the stored row still has the version that was read
// (optimistic concurrency control).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace bambooquay {

/// Partition in which agents register before they admit work. It has one row
/// per upstream, whose body is the agent's peer address.
inline constexpr const char* kAgentPartition = "agents";

/// Primary key of a row: a partition and a name within the partition.
struct RowKey {
  std::string partition;
  std::string name;

  friend bool operator==(const RowKey&, const RowKey&) = default;
};

/// One row of the table.
struct Row {
  RowKey key;
  std::uint64_t version = 0;  ///< Starts at 1.
  /// Unique to the write that created this version, so that a writer that did
  /// not receive a response can recognise its own row.
  std::string write_id;
  std::string body;
};

/// The service did not respond, or responded with an error or unexpected data.
struct PlatformUnavailable {
  std::string description;
  /// If true, the request certainly had no effect, because it was not sent. If
  /// false, it may have taken effect.
  bool never_sent = false;
};

/// No row has this key.
struct RowNotFound {};
struct RowWritten {};
/// The stored version was not the expected one; nothing was written.
struct RowConflict {};

using ReadResult = std::variant<Row, RowNotFound, PlatformUnavailable>;
using WriteResult = std::variant<RowWritten, RowConflict, PlatformUnavailable>;
using QueryResult = std::variant<std::vector<Row>, PlatformUnavailable>;

/// Reads rows and writes them conditionally. Callbacks run from the event loop
/// and are dropped when the service object is destroyed.
class TableService {
 public:
  TableService() = default;
  TableService(const TableService&) = delete;
  TableService& operator=(const TableService&) = delete;
  virtual ~TableService() = default;

  /// Reads the latest version of a row (strongly consistent).
  virtual void Read(const RowKey& key,
                    std::function<void(ReadResult)> done) = 0;
  /// Writes `row` if the stored version is `row.version - 1`, where version 0
  /// means that there is no row.
  virtual void Write(const Row& row, std::function<void(WriteResult)> done) = 0;
  /// Reads all rows of a partition.
  virtual void Query(const std::string& partition,
                     std::function<void(QueryResult)> done) = 0;
};

/// Writes a row. If the response is lost, reads the row back and compares its
/// write ID to find out whether the write took effect, and repeats a write that
/// has not.
///
/// @param max_read_backs  maximum number of times that the row is read back.
/// @param done  receives RowWritten or RowConflict if the result is certain.
///   Otherwise receives PlatformUnavailable: the write was never sent, no read
///   was conclusive, or another write has created a later version of the row.
void WriteAndConfirm(TableService& table, const Row& row, int max_read_backs,
                     std::function<void(WriteResult)> done);

}  // namespace bambooquay
