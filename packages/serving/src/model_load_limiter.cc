// Limits the rate at which all agents together load models from the weight
// store.
#include "bambooquay/serving/model_load_limiter.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr const char* kTable = "loads";
constexpr const char* kRowKey = "recent";
// Attempts to write the row for one permit. An attempt fails if another agent
// has changed the row in the meantime.
constexpr int kMaxAttempts = 3;

}  // namespace

std::string EncodeLoadRecords(const std::vector<ModelLoadRecord>& records) {
  Json json = Json::array();
  for (const ModelLoadRecord& record : records) {
    json.push_back({record.started_at.count(), record.model.value(),
                    record.engine.value()});
  }
  return json.dump();
}

std::vector<ModelLoadRecord> DecodeLoadRecords(std::string_view text) {
  std::vector<ModelLoadRecord> records;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array()) {
    return records;
  }
  for (const Json& item : json) {
    if (item.is_array() && item.size() == 3 && item[0].is_number_integer() &&
        item[1].is_string() && item[2].is_string()) {
      records.push_back({std::chrono::milliseconds(item[0].get<std::int64_t>()),
                         ModelName(item[1].get<std::string>()),
                         UpstreamId(item[2].get<std::string>())});
    }
  }
  return records;
}

bool MayStartLoad(const std::vector<ModelLoadRecord>& records,
                  std::chrono::milliseconds now, const LoadRateLimit& limit) {
  const auto started =
      std::ranges::count_if(records, [&](const ModelLoadRecord& record) {
        return now - record.started_at < limit.window;
      });
  const double allowed =
      std::max(1.0, limit.loads_per_second * ToSeconds(limit.window));
  return static_cast<double>(started) + 1.0 <= allowed;
}

ModelLoadLimiter::ModelLoadLimiter(EventLoop& loop, FleetTable& table)
    : m_loop(loop), m_table(table) {}

void ModelLoadLimiter::Refresh(std::function<void(bool)> done) {
  m_table.List(kTable, "", [this, done = std::move(done)](TableResult result) {
    const auto* page = std::get_if<TablePage>(&result);
    if (page != nullptr) {
      ApplyPage(*page);
    }
    done(page != nullptr);
  });
}

void ModelLoadLimiter::ApplyPage(const TablePage& page) {
  const bool has_returned =
      m_position.has_value() && page.position.era > m_position->era;
  m_position = std::max(m_position.value_or(page.position), page.position);
  m_store_time.Set(page.store_time);
  const auto row = std::ranges::find(page.rows, kRowKey, &TableRow::key);
  const bool is_listed = row != page.rows.end();
  m_row_version = is_listed ? row->version : 0;
  std::vector<ModelLoadRecord> listed;
  if (is_listed) {
    listed = DecodeLoadRecords(row->value);
  }
  if (has_returned) {
    // Loads whose records the store has lost still count.
    std::erase_if(m_records, [&](const ModelLoadRecord& record) {
      return std::ranges::find(listed, record) != listed.end();
    });
    std::ranges::move(m_records, std::back_inserter(listed));
  }
  m_records = std::move(listed);
}

void ModelLoadLimiter::Acquire(const ModelName& model, const UpstreamId& engine,
                               const LoadRateLimit& limit,
                               std::function<void(bool)> done) {
  m_pending = true;
  TryWrite({m_store_time.Now(), model, engine}, limit, 0,
           [this, done = std::move(done)](bool granted) {
             m_pending = false;
             done(granted);
           });
}

void ModelLoadLimiter::TryWrite(const ModelLoadRecord& requested,
                                const LoadRateLimit& limit, int attempts,
                                std::function<void(bool)> done) {
  const std::chrono::milliseconds now = m_store_time.Now();
  if (attempts >= kMaxAttempts || !MayStartLoad(m_records, now, limit)) {
    done(false);
    return;
  }
  std::vector<ModelLoadRecord> records = m_records;
  std::erase_if(records, [&](const ModelLoadRecord& record) {
    return now - record.started_at > limit.window * 2;
  });
  records.push_back(requested);
  records.back().started_at = now;
  TableRow row{kTable, kRowKey, EncodeLoadRecords(records), m_row_version,
               false};
  TableWrite write;
  write.expected.push_back(row);
  write.puts.push_back(row);
  m_table.Write(write, [this, requested, limit, attempts, records,
                        done = std::move(done)](TableWriteResult result) {
    if (const auto* page = std::get_if<TablePage>(&result)) {
      m_position = page->position;
      m_row_version = page->position.version;
      m_records = records;
      m_store_time.Set(page->store_time);
      done(true);
    } else if (const auto* conflict = std::get_if<TableConflict>(&result)) {
      ApplyPage(conflict->current);
      TryWrite(requested, limit, attempts + 1, done);
    } else {
      LogEvent(LogLevel::kWarning, "load_permit_unknown")
          .With("model", requested.model.value());
      done(false);
    }
  });
}

}  // namespace bambooquay
