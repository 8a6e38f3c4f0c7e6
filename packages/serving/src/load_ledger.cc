// The fleet's ledger of loads from the weight store.
#include "bambooquay/serving/load_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr const char* kTable = "loads";
constexpr const char* kRow = "recent";
// Races with other agents that one request goes through.
constexpr int kMaxAttempts = 3;

}  // namespace

std::string EncodeLedger(const std::vector<LedgerEntry>& entries) {
  Json json = Json::array();
  for (const LedgerEntry& entry : entries) {
    json.push_back(
        {entry.begun_at.count(), entry.model.value(), entry.engine.value()});
  }
  return json.dump();
}

std::vector<LedgerEntry> DecodeLedger(std::string_view text) {
  std::vector<LedgerEntry> entries;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array()) {
    return entries;
  }
  for (const Json& item : json) {
    if (item.is_array() && item.size() == 3 && item[0].is_number_integer() &&
        item[1].is_string() && item[2].is_string()) {
      entries.push_back({std::chrono::milliseconds(item[0].get<std::int64_t>()),
                         ModelName(item[1].get<std::string>()),
                         UpstreamId(item[2].get<std::string>())});
    }
  }
  return entries;
}

bool MayBegin(const std::vector<LedgerEntry>& entries,
              std::chrono::milliseconds now, const LoadPace& pace) {
  const auto begun =
      std::ranges::count_if(entries, [&](const LedgerEntry& entry) {
        return now - entry.begun_at < pace.window;
      });
  const double allowed =
      std::max(1.0, pace.loads_per_second * ToSeconds(pace.window));
  return static_cast<double>(begun) + 1.0 <= allowed;
}

LoadLedger::LoadLedger(EventLoop& loop, FleetTable& table)
    : m_loop(loop), m_table(table) {}

void LoadLedger::Refresh(std::function<void(bool)> done) {
  m_table.List(kTable, "", [this, done = std::move(done)](TableResult result) {
    const auto* page = std::get_if<TablePage>(&result);
    if (page != nullptr) {
      Apply(*page);
    }
    done(page != nullptr);
  });
}

void LoadLedger::Apply(const TablePage& page) {
  m_store_version = std::max(m_store_version.value_or(0), page.version);
  m_store_time = page.store_time;
  m_store_time_read_at = m_loop.clock().Now();
  const auto row = std::ranges::find(page.rows, kRow, &TableRow::key);
  if (row != page.rows.end()) {
    m_row_version = row->version;
    m_entries = DecodeLedger(row->value);
  }
}

std::chrono::milliseconds LoadLedger::StoreNow() const {
  return m_store_time + std::chrono::duration_cast<std::chrono::milliseconds>(
                            m_loop.clock().Now() - m_store_time_read_at);
}

void LoadLedger::Acquire(const ModelName& model, const UpstreamId& engine,
                         const LoadPace& pace, std::function<void(bool)> done) {
  m_pending = true;
  TryWrite({StoreNow(), model, engine}, pace, 0,
           [this, done = std::move(done)](bool granted) {
             m_pending = false;
             done(granted);
           });
}

void LoadLedger::TryWrite(const LedgerEntry& wanted, const LoadPace& pace,
                          int attempts, std::function<void(bool)> done) {
  const std::chrono::milliseconds now = StoreNow();
  if (attempts >= kMaxAttempts || !MayBegin(m_entries, now, pace)) {
    done(false);
    return;
  }
  std::vector<LedgerEntry> entries = m_entries;
  std::erase_if(entries, [&](const LedgerEntry& entry) {
    return now - entry.begun_at > pace.window * 2;
  });
  entries.push_back(wanted);
  entries.back().begun_at = now;
  TableRow row{kTable, kRow, EncodeLedger(entries), m_row_version, false};
  TableWrite write;
  write.expected.push_back(row);
  write.puts.push_back(row);
  m_table.Write(write, [this, wanted, pace, attempts, entries,
                        done = std::move(done)](TableWriteResult result) {
    if (const auto* page = std::get_if<TablePage>(&result)) {
      m_row_version = page->version;
      m_entries = entries;
      m_store_time = page->store_time;
      m_store_time_read_at = m_loop.clock().Now();
      done(true);
    } else if (const auto* conflict = std::get_if<TableConflict>(&result)) {
      Apply(conflict->current);
      TryWrite(wanted, pace, attempts + 1, done);
    } else {
      LogEvent(LogLevel::kWarning, "load_permit_unknown")
          .With("model", wanted.model.value());
      done(false);
    }
  });
}

}  // namespace bambooquay
