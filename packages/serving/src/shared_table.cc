// Reads the store's tables through one entry of each data centre.
#include "bambooquay/serving/shared_table.h"

#include <utility>

#include "bambooquay/core/rendezvous.h"

namespace bambooquay {
namespace {

// Entries in a data centre from which on one reads for the others.
constexpr std::size_t kMinMembersToShare = 10;
// How long the store is read directly after the reader has failed. Other
// entries have noticed by then if it is lost.
constexpr Duration kDirectTime = std::chrono::seconds(3);

}  // namespace

std::optional<InstanceId> ChooseTableReader(
    const std::vector<InstanceId>& live_members) {
  if (live_members.size() < kMinMembersToShare) {
    return std::nullopt;
  }
  // By hash, so that it is not the entry that plans placement, which is the
  // one with the lowest id.
  return ChooseByRendezvous(0, live_members);
}

SharedTable::SharedTable(const Clock& clock, FleetTable& store,
                         FleetTable& reader, std::function<bool()> has_reader)
    : m_clock(clock),
      m_store(store),
      m_reader(reader),
      m_has_reader(std::move(has_reader)) {}

bool SharedTable::UsesReader() const {
  return m_clock.Now() >= m_direct_until && m_has_reader();
}

std::function<void(TableResult)> SharedTable::AvoidAfterFailure(
    std::function<void(TableResult)> done) {
  return [this, done = std::move(done)](TableResult result) {
    const auto* failure = std::get_if<TableFailure>(&result);
    if (failure != nullptr && *failure != TableFailure::kHistoryGone) {
      m_direct_until = m_clock.Now() + kDirectTime;
    }
    done(std::move(result));
  };
}

void SharedTable::List(const std::string& table, const std::string& first_key,
                       std::function<void(TableResult)> done) {
  if (UsesReader()) {
    m_reader.List(table, first_key, AvoidAfterFailure(std::move(done)));
  } else {
    m_store.List(table, first_key, std::move(done));
  }
}

void SharedTable::Watch(const std::string& table, StorePosition after,
                        Duration wait, std::function<void(TableResult)> done) {
  if (UsesReader()) {
    m_reader.Watch(table, after, wait, AvoidAfterFailure(std::move(done)));
  } else {
    m_store.Watch(table, after, wait, std::move(done));
  }
}

void SharedTable::Write(const TableWrite& write,
                        std::function<void(TableWriteResult)> done) {
  m_store.Write(write, std::move(done));
}

}  // namespace bambooquay
