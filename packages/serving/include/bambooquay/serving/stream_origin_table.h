// Keeps in the store which software version began the streams in progress, for
// entries that start.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_table.h"
#include "bambooquay/serving/stream_origins.h"

namespace bambooquay {

/// @returns the reports as the value of a row.
[[nodiscard]] std::string EncodeStreamVersions(
    const std::vector<StreamVersionReport>& reports);
/// @returns the reports, as of now; nothing if `value` can't be read.
[[nodiscard]] std::optional<std::vector<StreamVersionReport>>
DecodeStreamVersions(std::string_view value);

/// One row of the store, written by one entry of the fleet and only while a
/// service has several software versions, and read by each entry at its start.
///
/// Load it answers: all entries lose power at once, and callers take up their
/// streams at those that start.
class StreamOriginTable {
 public:
  /// @param is_writer  returns whether this entry is the one that writes.
  StreamOriginTable(EventLoop& loop, FleetTable& table, StreamOrigins& origins,
                    std::function<bool()> is_writer);

  /// Reads the row, until that succeeds.
  void Start();

 private:
  void Load();
  void Update();
  void Write(const std::string& value);

  EventLoop& m_loop;
  FleetTable& m_table;
  StreamOrigins& m_origins;
  std::function<bool()> m_is_writer;
  /// The value that was last written; empty if the row should not exist.
  std::string m_written;
  /// Whether the store may have the row, whoever wrote it.
  bool m_may_exist = false;
  bool m_is_writing = false;
  std::unique_ptr<Timer> m_load_timer;
  std::unique_ptr<Timer> m_update_timer;
};

}  // namespace bambooquay
