// A row of the store in which the fleet keeps what processes that start need to
// know.
#include "bambooquay/serving/fleet_row.h"

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLoadRetryDelay = milliseconds(200);
// A row that the store has lost, or that another entry has replaced, is written
// again after this time.
constexpr Duration kRefreshPeriod = std::chrono::seconds(10);

}  // namespace

FleetRow::FleetRow(EventLoop& loop, FleetTable& table, FleetRowContent& content,
                   Settings settings, std::function<bool()> is_writer)
    : m_loop(loop),
      m_table(table),
      m_content(content),
      m_settings(std::move(settings)),
      m_is_writer(std::move(is_writer)) {}

void FleetRow::Start() { Load(); }

void FleetRow::Load() {
  m_table.List(m_settings.table, "", [this](const TableResult& result) {
    if (const auto* page = std::get_if<TablePage>(&result)) {
      HandleLoaded(*page);
    } else {
      m_load_timer = m_loop.After(kLoadRetryDelay, [this] { Load(); });
    }
  });
}

void FleetRow::HandleLoaded(const TablePage& page) {
  m_store_time.Set(page.store_time);
  const auto row = std::ranges::find(page.rows, m_settings.key, &TableRow::key);
  m_may_exist = row != page.rows.end();
  m_content.Load(
      m_may_exist ? std::optional<std::string_view>(row->value) : std::nullopt,
      page.store_time);
  m_update_timer = m_loop.Every(m_settings.write_period, [this] { Update(); });
}

void FleetRow::Update() {
  const bool is_empty = m_content.IsEmpty();
  m_may_exist = m_may_exist || !is_empty;
  if (m_is_writing || !m_may_exist || !m_is_writer()) {
    return;
  }
  const std::string state = is_empty ? "" : m_content.State();
  if (state.empty() || state != m_written ||
      m_loop.clock().Now() - m_written_at >= kRefreshPeriod) {
    Write(state);
  }
}

void FleetRow::Write(const std::string& state) {
  TableWrite write;
  const std::string value =
      state.empty() ? "" : m_content.Encode(m_store_time.Now());
  (state.empty() ? write.deletes : write.puts)
      .push_back({m_settings.table, m_settings.key, value, 0, false});
  m_is_writing = true;
  m_table.Write(write, [this, state](const TableWriteResult& result) {
    m_is_writing = false;
    if (const auto* page = std::get_if<TablePage>(&result)) {
      m_store_time.Set(page->store_time);
      m_written = state;
      m_written_at = m_loop.clock().Now();
      m_may_exist = !state.empty();
    }
  });
}

}  // namespace bambooquay
