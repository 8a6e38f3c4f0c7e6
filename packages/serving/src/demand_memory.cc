// Keeps the fleet's demand for models in the store.
#include "bambooquay/serving/demand_memory.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;
using Key = std::pair<ServiceName, ModelName>;

constexpr const char* kTable = "demand";
constexpr const char* kRowKey = "recent";
constexpr Duration kSavePeriod = std::chrono::seconds(5);
// Time in which the stored demand loses its weight. By then demand has been
// measured, and engines have had time to load two models.
constexpr Duration kFadeTime = std::chrono::seconds(5);
// The row must stay well below the store's limit of 64 KB.
constexpr std::size_t kMaxStoredModels = 400;

/// @returns the sum over all entries, by model.
std::map<Key, ModelDemand> SumByModel(const std::vector<ModelDemand>& demand) {
  std::map<Key, ModelDemand> sums;
  for (const ModelDemand& item : demand) {
    ModelDemand& sum = sums[{item.service, item.model}];
    sum.service = item.service;
    sum.model = item.model;
    sum.requests_per_second += item.requests_per_second;
    sum.prompt_tokens_per_second += item.prompt_tokens_per_second;
  }
  return sums;
}

}  // namespace

std::string EncodeDemand(const std::vector<ModelDemand>& demand) {
  std::vector<ModelDemand> sums;
  for (auto& [key, sum] : SumByModel(demand)) {
    sums.push_back(std::move(sum));
  }
  std::ranges::sort(sums, std::greater<>(), &ModelDemand::requests_per_second);
  sums.resize(std::min(sums.size(), kMaxStoredModels));
  Json json = Json::array();
  for (const ModelDemand& item : sums) {
    json.push_back({item.service.value(), item.model.value(),
                    item.requests_per_second, item.prompt_tokens_per_second});
  }
  return json.dump();
}

std::vector<ModelDemand> DecodeDemand(std::string_view text) {
  std::vector<ModelDemand> demand;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array()) {
    return demand;
  }
  for (const Json& item : json) {
    if (item.is_array() && item.size() == 4 && item[0].is_string() &&
        item[1].is_string() && item[2].is_number() && item[3].is_number()) {
      demand.push_back({ServiceName(item[0].get<std::string>()),
                        ModelName(item[1].get<std::string>()),
                        item[2].get<double>(), item[3].get<double>()});
    }
  }
  return demand;
}

void DemandMemory::Read() {
  m_state = State::kReading;
  m_table.List(kTable, "", [this](const TableResult& result) {
    const auto* page = std::get_if<TablePage>(&result);
    if (page == nullptr) {
      LogEvent(LogLevel::kWarning, "stored_demand_unknown");
      m_state = State::kNotRead;
      return;
    }
    m_state = State::kRead;
    m_read_at = m_clock.Now();
    const auto row = std::ranges::find(page->rows, kRowKey, &TableRow::key);
    if (row != page->rows.end()) {
      m_stored = DecodeDemand(row->value);
    }
    LogEvent(LogLevel::kInfo, "stored_demand").With("models", m_stored.size());
  });
}

std::vector<ModelDemand> DemandMemory::Complete(
    std::vector<ModelDemand> measured) {
  if (m_state == State::kNotRead) {
    Read();
  }
  const double weight =
      1.0 - ToSeconds(m_clock.Now() - m_read_at) / ToSeconds(kFadeTime);
  if (m_state != State::kRead || weight <= 0.0) {
    return measured;
  }
  const std::map<Key, ModelDemand> sums = SumByModel(measured);
  for (ModelDemand missing : m_stored) {
    missing.requests_per_second *= weight;
    missing.prompt_tokens_per_second *= weight;
    const auto sum = sums.find({missing.service, missing.model});
    if (sum != sums.end()) {
      missing.requests_per_second -= sum->second.requests_per_second;
      missing.prompt_tokens_per_second -= sum->second.prompt_tokens_per_second;
    }
    if (missing.requests_per_second > 0.0) {
      missing.prompt_tokens_per_second =
          std::max(0.0, missing.prompt_tokens_per_second);
      measured.push_back(std::move(missing));
    }
  }
  return measured;
}

void DemandMemory::Save(const std::vector<ModelDemand>& measured) {
  const TimePoint now = m_clock.Now();
  if (m_state != State::kRead || now - m_read_at < kFadeTime ||
      now - m_saved_at < kSavePeriod || measured.empty()) {
    return;
  }
  m_saved_at = now;
  TableWrite write;
  write.puts.push_back({kTable, kRowKey, EncodeDemand(measured), 0, false});
  m_table.Write(write, [](const TableWriteResult& result) {
    if (!std::holds_alternative<TablePage>(result)) {
      LogEvent(LogLevel::kWarning, "demand_not_stored");
    }
  });
}

}  // namespace bambooquay
