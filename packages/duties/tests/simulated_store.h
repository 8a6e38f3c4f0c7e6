// A store and the network to it, on simulated time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "bambooquay/core/clock.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay::testing {

/// Runs callbacks at their times.
class SimulatedTime {
 public:
  void After(Duration delay, std::function<void()> callback) {
    m_events.emplace(clock.Now() + delay, std::move(callback));
  }
  void RunFor(Duration time) {
    const TimePoint end = clock.Now() + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      const auto event = m_events.extract(m_events.begin());
      clock.Advance(event.key() - clock.Now());
      event.mapped()();
    }
    clock.Advance(end - clock.Now());
  }

  ManualClock clock;

 private:
  std::multimap<TimePoint, std::function<void()>> m_events;
};

/// What becomes of one call to the store.
enum class CallFate : std::uint8_t {
  kDone,
  kResponseLost,  ///< Applied, but the caller hears nothing.
  kAppliedLate,   ///< Applied after seconds; the caller hears nothing.
  kRequestLost,   ///< Not applied; the caller hears nothing.
  kRefused,       ///< Not applied, and the caller is told so.
};

/// The rows, which are never lost.
class SimulatedStore {
 public:
  [[nodiscard]] TablePage Page(const std::string& table) const {
    TablePage page;
    page.position.version = version;
    for (const auto& [key, row] : rows) {
      if (key.first == table) {
        page.rows.push_back(row);
      }
    }
    return page;
  }
  TableWriteResult Apply(const TableWrite& write) {
    for (const TableRow& row : write.expected) {
      const auto found = rows.find({row.table, row.key});
      const std::uint64_t found_version =
          found == rows.end() ? 0 : found->second.version;
      if (found_version != row.version) {
        return TableConflict{Page(row.table)};
      }
    }
    ++version;
    for (const TableRow& row : write.puts) {
      rows[{row.table, row.key}] = {row.table, row.key, row.value, version,
                                    false};
    }
    TablePage page;
    page.position.version = version;
    return page;
  }

  std::map<std::pair<std::string, std::string>, TableRow> rows;
  std::uint64_t version = 10;
};

/// One machine's access to the store.
class SimulatedTable final : public FleetTable {
 public:
  /// Runs a callback on the machine, now or after it was frozen.
  using Deliver = std::function<void(std::function<void()>)>;

  static constexpr Duration kLatency = std::chrono::milliseconds(4);
  static constexpr Duration kLateBy = std::chrono::seconds(2);
  static constexpr Duration kClientTimeout = std::chrono::seconds(2);

  SimulatedTable(SimulatedTime& time, SimulatedStore& store, Deliver deliver)
      : m_time(time), m_store(store), m_deliver(std::move(deliver)) {}

  void List(const std::string& table, const std::string& /*from*/,
            std::function<void(TableResult)> done) override {
    Call<TableResult>(
        [this, table] { return TableResult(m_store.Page(table)); }, done);
  }
  void Watch(const std::string& /*table*/, StorePosition /*after*/,
             Duration /*wait*/,
             std::function<void(TableResult)> /*done*/) override {}
  void Write(const TableWrite& write,
             std::function<void(TableWriteResult)> done) override {
    Call<TableWriteResult>([this, write] { return m_store.Apply(write); },
                           done);
  }

  /// Drops the callbacks of calls in progress, as when a process ends.
  void DropCallbacks() { m_alive = std::make_shared<const bool>(true); }

  /// Decides on each call.
  std::function<CallFate()> next_fate = [] { return CallFate::kDone; };
  int call_count = 0;

 private:
  template <typename Result>
  void Call(std::function<Result()> apply, std::function<void(Result)> done) {
    ++call_count;
    const CallFate fate = next_fate();
    const auto respond = [this, done, alive = std::weak_ptr(m_alive)](
                             Duration delay, Result result) {
      m_time.After(delay, [this, done, alive, result] {
        if (!alive.expired()) {
          m_deliver([done, result] { done(result); });
        }
      });
    };
    if (fate == CallFate::kRefused) {
      respond(kLatency, TableFailure::kBusy);
      return;
    }
    if (fate != CallFate::kDone) {
      respond(kClientTimeout, TableFailure::kUnavailable);
    }
    if (fate == CallFate::kRequestLost) {
      return;
    }
    m_time.After(fate == CallFate::kAppliedLate ? kLateBy : kLatency / 2,
                 [apply, respond, fate] {
                   const Result result = apply();
                   if (fate == CallFate::kDone) {
                     respond(kLatency / 2, result);
                   }
                 });
  }

  SimulatedTime& m_time;
  SimulatedStore& m_store;
  Deliver m_deliver;
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

}  // namespace bambooquay::testing
