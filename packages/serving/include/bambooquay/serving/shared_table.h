// Reads the store's tables through one entry of each data centre.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

/// Chooses the entry that reads the store for its data centre. All entries that
/// know the same members choose the same one, without communication.
///
/// Load it answers: hundreds of entries that watch tables which change all the
/// time. Their calls to the store grow with the number of data centres instead
/// of the number of entries. In a small data centre each entry reads for
/// itself, as that is more robust.
///
/// @param live_members  the entries of one data centre that are live and not
///   draining.
/// @returns nothing if each entry should read for itself.
[[nodiscard]] std::optional<InstanceId> ChooseTableReader(
    const std::vector<InstanceId>& live_members);

/// Reads from the data centre's reader, or from the store if this entry is the
/// reader or the reader has failed. Writes go to the store.
///
/// @code
/// SharedTable table(clock, store, peer, [&] { return IsOtherEntryReader(); });
/// TableMirror mirror(loop, table, random, settings, handler);
/// @endcode
class SharedTable final : public FleetTable {
 public:
  /// @param store  the store's tables.
  /// @param reader  the copies of the data centre's reader.
  /// @param has_reader  returns whether another entry is the reader now.
  SharedTable(const Clock& clock, FleetTable& store, FleetTable& reader,
              std::function<bool()> has_reader);

  void List(const std::string& table, const std::string& first_key,
            std::function<void(TableResult)> done) override;
  void Watch(const std::string& table, StorePosition after, Duration wait,
             std::function<void(TableResult)> done) override;
  void Write(const TableWrite& write,
             std::function<void(TableWriteResult)> done) override;

 private:
  [[nodiscard]] bool UsesReader() const;
  /// @returns `done` with the addition that a failed reader is not used for a
  ///   while.
  [[nodiscard]] std::function<void(TableResult)> AvoidAfterFailure(
      std::function<void(TableResult)> done);

  const Clock& m_clock;
  FleetTable& m_store;
  FleetTable& m_reader;
  std::function<bool()> m_has_reader;
  /// The store is read directly until then.
  TimePoint m_direct_until{};
};

}  // namespace bambooquay
