// Keeps a copy of one of the store's tables up to date by watching it.
#include "bambooquay/serving/table_mirror.h"

#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

// Delay after the first failed call to the store. Each further failure doubles
// it, up to kMaxRetryDelay.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(60);
// Failures in a row after which the fallback is used. They take about a third
// of a second.
constexpr int kFailuresToFallback = 3;
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(500);
// Deleted rows that are kept for entries that watch this copy.
constexpr std::size_t kMaxDeletedRows = 1000;
// After the store has returned from an older copy, its writers write again
// within this time what the copy lacks.
constexpr Duration kRewriteTime = std::chrono::seconds(4);
// The store's copies are not older than this.
constexpr Duration kMaxCopyAge = std::chrono::minutes(1);

}  // namespace

TableMirror::TableMirror(EventLoop& loop, FleetTable& table,
                         RandomSource& random, MirrorSettings settings,
                         RowHandler handler)
    : m_loop(loop),
      m_table(table),
      m_random(random),
      m_settings(std::move(settings)),
      m_handler(std::move(handler)) {}

void TableMirror::Start() { List(""); }

void TableMirror::List(const std::string& first_key) {
  if (first_key.empty()) {
    m_listed.clear();
    m_list_position.reset();
  }
  m_call_started_at = m_loop.clock().Now();
  m_table.List(m_settings.table, first_key,
               [this](TableResult result) { HandleList(std::move(result)); });
}

void TableMirror::HandleList(TableResult result) {
  if (const auto* failure = std::get_if<TableFailure>(&result)) {
    RetryLater([this] { List(""); }, *failure);
    return;
  }
  HandleStoreResponse();
  auto& page = std::get<TablePage>(result);
  // Discards a listing that is older than the copy, and lists again later.
  if (page.position < m_position) {
    LogEvent(LogLevel::kWarning, "table_listing_older")
        .With("table", m_settings.table)
        .With("version", m_position.version)
        .With("era", m_position.era.number)
        .With("listed", page.position.version)
        .With("listed_era", page.position.era.number);
    RetryLater([this] { List(""); }, TableFailure::kUnavailable);
    return;
  }
  if (m_list_position.has_value() &&
      page.position.era != m_list_position->era) {
    List("");
    return;
  }
  // Later pages may miss changes that happen during the listing. The watch
  // starts at the version of the first page and so returns them.
  if (!m_list_position.has_value()) {
    m_list_position = page.position;
  }
  const std::string last_key = page.rows.empty() ? "" : page.rows.back().key;
  for (TableRow& row : page.rows) {
    m_listed[row.key] = std::move(row);
  }
  if (page.has_more && !last_key.empty()) {
    List(last_key + '\0');
    return;
  }
  ApplyListing();
  Watch();
}

void TableMirror::ApplyListing() {
  const bool is_new_era = m_complete && m_list_position->era > m_position.era;
  if (is_new_era) {
    BeginEra();
  }
  std::vector<TableRow> deleted_rows;
  for (const auto& [key, row] : m_rows) {
    if (!m_listed.contains(key) && !m_unconfirmed.contains(key)) {
      deleted_rows.push_back(row);
      deleted_rows.back().deleted = true;
    }
  }
  std::ranges::for_each(deleted_rows,
                        [this](const TableRow& row) { Apply(row); });
  for (const auto& [key, row] : std::exchange(m_listed, {})) {
    const auto unconfirmed = m_unconfirmed.find(key);
    const bool is_unconfirmed = unconfirmed != m_unconfirmed.end();
    if (is_unconfirmed && unconfirmed->second.version == row.version) {
      continue;
    }
    const auto found = m_rows.find(key);
    // The version of a row from another era says nothing.
    const bool is_known =
        found != m_rows.end() &&
        (is_new_era || is_unconfirmed ? found->second.value == row.value
                                      : found->second.version == row.version);
    if (is_known) {
      found->second.version = row.version;
      m_unconfirmed.erase(key);
    } else {
      Apply(row);
    }
  }
  // The versions of deletions that a listing reveals are not known.
  m_position = std::max(m_position, *m_list_position);
  m_deleted.clear();
  m_history_start = m_position.version;
  m_complete = true;
  NotifyUpdated();
}

void TableMirror::BeginEra() {
  const TimePoint now = m_loop.clock().Now();
  m_unconfirmed.clear();
  for (const auto& [key, row] : m_rows) {
    if (!m_listed.contains(key)) {
      m_unconfirmed[key] = {row.table, key, "", 0, true};
    }
  }
  for (const auto& [key, deleted_at] : m_deleted_at) {
    const auto listed = m_listed.find(key);
    if (listed != m_listed.end() && !m_rows.contains(key) &&
        now - deleted_at < kMaxCopyAge) {
      m_unconfirmed[key] = listed->second;
    }
  }
  LogEvent(LogLevel::kWarning, "store_returned")
      .With("table", m_settings.table)
      .With("era", m_list_position->era.number)
      .With("version", m_list_position->version)
      .With("previous", m_position.version)
      .With("rows", m_listed.size())
      .With("unconfirmed", m_unconfirmed.size());
  ++m_return_count;
  m_last_change = 0;
  m_confirm_timer =
      m_loop.After(kRewriteTime, [this] { ApplyUnconfirmedRows(); });
}

void TableMirror::ApplyUnconfirmedRows() {
  if (is_store_lost()) {
    // The writers may not have reached the store either.
    m_confirm_timer =
        m_loop.After(kRewriteTime, [this] { ApplyUnconfirmedRows(); });
    return;
  }
  for (auto& [key, row] : std::exchange(m_unconfirmed, {})) {
    if (row.deleted) {
      row.version = m_position.version;
    }
    Apply(row);
  }
  NotifyUpdated();
}

void TableMirror::NotifyUpdated() const {
  if (m_on_updated) {
    m_on_updated();
  }
}

TablePage TableMirror::ChangesSince(std::uint64_t version) const {
  TablePage page;
  page.position = m_position;
  for (const auto& [key, row] : m_rows) {
    if (row.version > version && !m_unconfirmed.contains(key)) {
      page.rows.push_back(row);
    }
  }
  std::for_each(m_deleted.upper_bound(version), m_deleted.end(),
                [&](const auto& item) {
                  if (!m_rows.contains(item.second)) {
                    page.rows.push_back(
                        {m_settings.table, item.second, "", item.first, true});
                  }
                });
  return page;
}

TablePage TableMirror::Snapshot() const {
  TablePage page;
  page.position = m_position;
  for (const auto& [key, row] : m_rows) {
    if (!m_unconfirmed.contains(key)) {
      page.rows.push_back(row);
    }
  }
  for (const auto& [key, row] : m_unconfirmed) {
    if (!row.deleted) {
      page.rows.push_back(row);
    }
  }
  return page;
}

void TableMirror::ListFromFallback() {
  if (m_fallback == nullptr) {
    return;
  }
  m_fallback->List(m_settings.table, "", [this](TableResult result) {
    auto* page = std::get_if<TablePage>(&result);
    // The page may be no newer than the copy: the store may have responded
    // meanwhile, or the peer may have an older copy.
    if (page == nullptr || page->position <= m_position) {
      return;
    }
    LogEvent(LogLevel::kInfo, "table_relayed")
        .With("table", m_settings.table)
        .With("version", page->position.version)
        .With("previous", m_position.version);
    m_listed.clear();
    for (TableRow& row : page->rows) {
      m_listed[row.key] = std::move(row);
    }
    m_list_position = page->position;
    ApplyListing();
  });
}

void TableMirror::WatchNow() {
  if (m_pausing || m_watching) {
    m_next_timer = nullptr;
    Watch();
  }
}

void TableMirror::Watch() {
  m_pausing = false;
  m_watching = true;
  m_call_started_at = m_loop.clock().Now();
  // After a failure, a response that comes at once shows whether the store is
  // back.
  const Duration wait =
      m_failures > 0 ? Duration::zero() : m_settings.max_watch_time;
  m_table.Watch(m_settings.table, m_position, wait,
                [this, number = ++m_watch_count,
                 era = m_position.era](TableResult result) {
                  if (number == m_watch_count) {
                    HandleWatch(era, std::move(result));
                  } else if (const auto* page = std::get_if<TablePage>(&result);
                             page != nullptr && (m_watching || m_pausing) &&
                             HasAllChanges(era, *page)) {
                    // A late response to a watch that was replaced.
                    ApplyChanges(*page);
                  }
                });
}

void TableMirror::ApplyChanges(const TablePage& page) {
  std::ranges::for_each(page.rows, [this](const TableRow& row) {
    // Skips changes that the copy already has.
    if (row.version > m_position.version) {
      Apply(row);
    }
  });
  m_position = std::max(m_position, page.position);
  NotifyUpdated();
}

bool TableMirror::HasAllChanges(StoreEra watched, const TablePage& page) const {
  return page.position.era == watched && page.position.era == m_position.era;
}

void TableMirror::HandleWatch(StoreEra watched, TableResult result) {
  m_watching = false;
  if (const auto* failure = std::get_if<TableFailure>(&result)) {
    if (*failure == TableFailure::kHistoryGone) {
      LogEvent(LogLevel::kWarning, "table_history_gone")
          .With("table", m_settings.table)
          .With("version", m_position.version);
      List("");
      return;
    }
    RetryLater([this] { Watch(); }, *failure);
    return;
  }
  HandleStoreResponse();
  const auto& page = std::get<TablePage>(result);
  if (!HasAllChanges(watched, page)) {
    List("");
    return;
  }
  ApplyChanges(page);
  const bool use_short_pause = std::exchange(m_use_short_pause, false);
  m_pausing = true;
  m_next_timer =
      m_loop.After(use_short_pause ? m_settings.short_pause : m_settings.pause,
                   [this] { Watch(); });
}

void TableMirror::Apply(const TableRow& row) {
  m_last_change = std::max(m_last_change, row.version);
  m_unconfirmed.erase(row.key);
  if (row.deleted) {
    RecordDeletion(row.key);
    m_rows.erase(row.key);
    m_deleted.emplace(row.version, row.key);
    while (m_deleted.size() > kMaxDeletedRows) {
      m_history_start = m_deleted.begin()->first;
      m_deleted.erase(m_deleted.begin());
    }
  } else {
    m_rows[row.key] = row;
  }
  m_handler(row);
}

void TableMirror::RecordDeletion(const std::string& key) {
  const TimePoint now = m_loop.clock().Now();
  std::erase_if(m_deleted_at, [&](const auto& item) {
    return now - item.second >= kMaxCopyAge;
  });
  m_deleted_at[key] = now;
}

void TableMirror::RetryLater(std::function<void()> retry,
                             TableFailure failure) {
  if (failure == TableFailure::kUnavailable && m_grace != nullptr) {
    m_grace->RecordFailure(m_call_started_at);
  }
  if (m_failures == 0) {
    LogEvent(LogLevel::kWarning, "store_lost")
        .With("table", m_settings.table)
        .With("busy", failure == TableFailure::kBusy ? "yes" : "no")
        .With("peer", failure == TableFailure::kPeerUnavailable ? "yes" : "no")
        .With("version", m_position.version)
        .With("waited_ms", (m_loop.clock().Now() - m_call_started_at) /
                               std::chrono::milliseconds(1))
        .With("copy_age_ms", CopyAge() / std::chrono::milliseconds(1));
  }
  const Duration delay = std::min(
      kFirstRetryDelay * (1 << std::min(m_failures, 8)), kMaxRetryDelay);
  if (++m_failures >= kFailuresToFallback) {
    ListFromFallback();
  }
  NotifyUpdated();
  // A random delay, so that many processes do not call at the same time.
  const auto spread = std::chrono::microseconds(m_random.UniformBelow(
      static_cast<std::uint32_t>(delay / std::chrono::microseconds(2))));
  m_next_timer = m_loop.After(delay / 2 + spread, std::move(retry));
}

Duration TableMirror::CopyAge() const {
  return m_last_response_at.has_value()
             ? m_loop.clock().Now() - *m_last_response_at
             : std::chrono::milliseconds(-1);
}

void TableMirror::HandleStoreResponse() {
  const TimePoint now = m_loop.clock().Now();
  if (m_last_response_at.has_value()) {
    m_last_response_gap = now - *m_last_response_at;
  }
  m_last_response_at = now;
  if (std::exchange(m_failures, 0) > 0) {
    LogEvent(LogLevel::kInfo, "store_regained")
        .With("table", m_settings.table)
        .With("gap_ms", m_last_response_gap.value_or(Duration::zero()) /
                            std::chrono::milliseconds(1));
  }
  if (m_grace != nullptr) {
    m_grace->RecordResponse();
  }
}

}  // namespace bambooquay
