// Passes copies of the store's tables between entries, for entries that cannot
// reach the store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "bambooquay/runtime/call_set.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

/// @returns the page as the body of the response to another entry.
[[nodiscard]] std::string EncodePage(const TablePage& page);
/// @returns the page, or nothing if `body` is not one.
[[nodiscard]] std::optional<TablePage> DecodePage(std::string_view body);

/// Lists another entry's copies of the tables. Does not support watches and
/// writes.
class PeerTable final : public FleetTable {
 public:
  /// @param choose_peer  returns the address of a live peer, or nothing.
  PeerTable(EventLoop& loop,
            std::function<std::optional<Endpoint>()> choose_peer);

  void List(const std::string& table, const std::string& first_key,
            std::function<void(TableResult)> done) override;
  void Watch(const std::string& table, std::uint64_t after, Duration wait,
             std::function<void(TableResult)> done) override;
  void Write(const TableWrite& write,
             std::function<void(TableWriteResult)> done) override;

 private:
  EventLoop& m_loop;
  std::function<std::optional<Endpoint>()> m_choose_peer;
  CallSet m_calls;
};

}  // namespace bambooquay
