// Passes copies of the store's tables between entries, for those that the
// store does not answer.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "bambooquay/runtime/call_set.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

/// @returns a page as the body of a relay's answer.
[[nodiscard]] std::string EncodePage(const TablePage& page);
/// @returns the page, or nothing if `body` is not one.
[[nodiscard]] std::optional<TablePage> DecodePage(std::string_view body);

/// Lists tables as another entry has them. It can neither watch nor write.
class PeerTable final : public FleetTable {
 public:
  /// @param choose_peer  returns a live peer, or nothing.
  PeerTable(EventLoop& loop,
            std::function<std::optional<Endpoint>()> choose_peer);

  void List(const std::string& table, const std::string& from,
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
