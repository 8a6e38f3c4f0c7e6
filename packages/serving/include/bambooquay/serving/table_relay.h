// Passes copies of the store's tables between entries: for entries that cannot
// reach the store, and to save calls to it.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bambooquay/runtime/call_set.h"
#include "bambooquay/runtime/http_server.h"
#include "bambooquay/serving/fleet_table.h"
#include "bambooquay/serving/table_mirror.h"

namespace bambooquay {

/// @returns the page as the body of the response to another entry.
[[nodiscard]] std::string EncodePage(const TablePage& page);
/// @returns the page, or nothing if `body` is not one.
[[nodiscard]] std::optional<TablePage> DecodePage(std::string_view body);

/// Reads another entry's copies of the tables. Does not support writes.
class PeerTable final : public FleetTable {
 public:
  /// @param choose_peer  returns the address of a live peer, or nothing.
  PeerTable(EventLoop& loop,
            std::function<std::optional<Endpoint>()> choose_peer);

  void List(const std::string& table, const std::string& first_key,
            std::function<void(TableResult)> done) override;
  /// The peer waits for a change for a second at most, so that a peer that has
  /// stopped is noticed soon.
  void Watch(const std::string& table, StorePosition after, Duration wait,
             std::function<void(TableResult)> done) override;
  void Write(const TableWrite& write,
             std::function<void(TableWriteResult)> done) override;

 private:
  void Fetch(const std::string& target, Duration timeout,
             std::function<void(TableResult)> done);

  HttpClient m_client;
  std::function<std::optional<Endpoint>()> m_choose_peer;
  CallSet m_calls;
};

/// Answers other entries' requests for this entry's copies of the tables.
class TableRelay {
 public:
  explicit TableRelay(EventLoop& loop);

  /// Adds a table. The mirror must outlive the relay.
  void Serve(TableMirror& mirror);
  void HandleRequest(const std::shared_ptr<HttpExchange>& exchange);

 private:
  /// A request that waits for the next change.
  struct PendingWatch {
    const TableMirror* mirror = nullptr;
    StorePosition after;
    std::shared_ptr<HttpExchange> exchange;
    TimePoint expires_at{};
  };
  /// The last page that was encoded. Most entries wait for the same one.
  struct EncodedChanges {
    const TableMirror* mirror = nullptr;
    std::uint64_t after = 0;
    StorePosition position;
    std::string body;
  };

  /// Answers the watches that have changes, have expired, or whose table can't
  /// be read from the store any more.
  void AnswerWatches();
  /// @returns whether the watch was answered.
  bool TryAnswer(const PendingWatch& watch);
  [[nodiscard]] const std::string& EncodeChanges(const TableMirror& mirror,
                                                 std::uint64_t after);

  EventLoop& m_loop;
  std::vector<TableMirror*> m_mirrors;
  std::list<PendingWatch> m_watches;
  EncodedChanges m_encoded;
  std::unique_ptr<Timer> m_expiry_timer;
};

}  // namespace bambooquay
