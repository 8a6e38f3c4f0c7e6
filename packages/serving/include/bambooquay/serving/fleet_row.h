// A row of the store in which the fleet keeps what processes that start need to
// know.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bambooquay/core/clock.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_table.h"
#include "bambooquay/serving/store_time.h"

namespace bambooquay {

/// What is kept in a row.
class FleetRowContent {
 public:
  FleetRowContent() = default;
  FleetRowContent(const FleetRowContent&) = delete;
  FleetRowContent& operator=(const FleetRowContent&) = delete;
  virtual ~FleetRowContent() = default;

  /// @returns whether there should be no row.
  [[nodiscard]] virtual bool IsEmpty() const = 0;
  /// @returns a text that differs whenever the row has to be written again.
  [[nodiscard]] virtual std::string State() const = 0;
  /// @returns the value of the row.
  /// @param store_time  the present time on the store's clock.
  [[nodiscard]] virtual std::string Encode(
      std::chrono::milliseconds store_time) const = 0;
  /// Takes over what earlier processes have written.
  /// @param value  nothing if there is no row.
  virtual void Load(std::optional<std::string_view> value,
                    std::chrono::milliseconds store_time) = 0;
};

/// Keeps one row: one entry of the fleet writes it, and each reads it at its
/// start.
///
/// Load it answers: all entries lose power at once.
class FleetRow {
 public:
  struct Settings {
    std::string table;
    std::string key;
    /// Changes that are newer may be lost with all entries.
    Duration write_period{};
  };

  /// @param is_writer  returns whether this entry is the one that writes.
  FleetRow(EventLoop& loop, FleetTable& table, FleetRowContent& content,
           Settings settings, std::function<bool()> is_writer);

  /// Reads the row, until that succeeds, and keeps it from then on.
  void Start();

 private:
  void Load();
  void HandleLoaded(const TablePage& page);
  void Update();
  void Write(const std::string& state);

  EventLoop& m_loop;
  FleetTable& m_table;
  FleetRowContent& m_content;
  const Settings m_settings;
  std::function<bool()> m_is_writer;
  StoreTime m_store_time{m_loop.clock()};
  /// The state that was last written; empty if the row should not exist.
  std::string m_written;
  TimePoint m_written_at{};
  /// Whether the store may have the row, whoever wrote it.
  bool m_may_exist = false;
  bool m_is_writing = false;
  std::unique_ptr<Timer> m_load_timer;
  std::unique_ptr<Timer> m_update_timer;
};

}  // namespace bambooquay
