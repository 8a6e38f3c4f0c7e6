// Passes copies of the store's tables between entries.
#include "bambooquay/serving/table_relay.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

// Entries respond to each other within some milliseconds.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(700);
// Longest wait of a watch of another entry's copy.
constexpr Duration kMaxPeerWatch = std::chrono::seconds(1);
constexpr Duration kExpiryCheckPeriod = std::chrono::milliseconds(100);
constexpr int kHistoryGoneStatus = 410;
const std::string kPathPrefix = "/tables/";
const std::string kEraField = "?era=";
const std::string kAfterField = "&after=";

/// @returns the position that the target of a watch names; nothing if there is
///   none.
std::optional<StorePosition> ReadPosition(const std::string& target) {
  const auto era = target.find(kEraField);
  const auto after = target.find(kAfterField);
  if (era == std::string::npos || after == std::string::npos || after < era) {
    return std::nullopt;
  }
  StorePosition position;
  const char* const text = target.data();
  const char* const era_end = text + after;
  const char* const end = text + target.size();
  const bool is_read =
      std::from_chars(text + era + kEraField.size(), era_end,
                      position.era.number)
              .ptr == era_end &&
      std::from_chars(era_end + kAfterField.size(), end, position.version)
              .ptr == end;
  return is_read ? std::optional(position) : std::nullopt;
}

}  // namespace

std::string EncodePage(const TablePage& page) {
  Json rows = Json::array();
  for (const TableRow& row : page.rows) {
    if (row.deleted) {
      rows.push_back({row.key, row.version});
    } else {
      rows.push_back({row.key, row.version,
                      Json::binary({row.value.begin(), row.value.end()})});
    }
  }
  const std::vector<std::uint8_t> bytes =
      Json::to_cbor({{"era", page.position.era.number},
                     {"version", page.position.version},
                     {"rows", std::move(rows)}});
  return std::string(bytes.begin(), bytes.end());
}

std::optional<TablePage> DecodePage(std::string_view body) {
  try {
    const Json json = Json::from_cbor(body.begin(), body.end());
    TablePage page;
    page.position.era.number = json.at("era");
    page.position.version = json.at("version");
    for (const Json& item : json.at("rows")) {
      // A deleted row has no value.
      TableRow row{"", item.at(0), "", item.at(1), item.size() < 3};
      if (!row.deleted) {
        const Json::binary_t& value = item.at(2).get_binary();
        row.value.assign(value.begin(), value.end());
      }
      page.rows.push_back(std::move(row));
    }
    return page;
  } catch (const Json::exception& error) {
    LogEvent(LogLevel::kWarning, "relayed_page_unreadable")
        .With("error", error.what());
    return std::nullopt;
  }
}

PeerTable::PeerTable(EventLoop& loop,
                     std::function<std::optional<Endpoint>()> choose_peer)
    : m_client(loop, {.connect_timeout = kPeerTimeout,
                      .tcp_user_timeout = kPeerTimeout}),
      m_choose_peer(std::move(choose_peer)) {}

void PeerTable::Fetch(const std::string& target, Duration timeout,
                      std::function<void(TableResult)> done) {
  const auto peer = m_choose_peer();
  if (!peer.has_value()) {
    done(TableFailure::kPeerUnavailable);
    return;
  }
  HttpRequest request;
  request.target = target;
  m_calls.Fetch(m_client, *peer, request, timeout,
                [done = std::move(done)](const HttpResult& result) {
                  const auto* response = std::get_if<HttpResponse>(&result);
                  if (response == nullptr) {
                    done(TableFailure::kPeerUnavailable);
                    return;
                  }
                  std::optional<TablePage> page;
                  if (response->status == ToCode(HttpStatus::kOk)) {
                    page = DecodePage(response->body);
                  }
                  if (page.has_value()) {
                    done(std::move(*page));
                  } else if (response->status == kHistoryGoneStatus) {
                    done(TableFailure::kHistoryGone);
                  } else {
                    done(TableFailure::kPeerUnavailable);
                  }
                });
}

void PeerTable::List(const std::string& table, const std::string& /*first_key*/,
                     std::function<void(TableResult)> done) {
  Fetch(kPathPrefix + table, kPeerTimeout, std::move(done));
}

void PeerTable::Watch(const std::string& table, StorePosition after,
                      Duration /*wait*/,
                      std::function<void(TableResult)> done) {
  Fetch(kPathPrefix + table + kEraField + std::to_string(after.era.number) +
            kAfterField + std::to_string(after.version),
        kMaxPeerWatch + kPeerTimeout, std::move(done));
}

void PeerTable::Write(const TableWrite& /*write*/,
                      std::function<void(TableWriteResult)> done) {
  done(TableFailure::kUnavailable);
}

TableRelay::TableRelay(EventLoop& loop)
    : m_loop(loop),
      m_expiry_timer(
          loop.Every(kExpiryCheckPeriod, [this] { AnswerWatches(); })) {}

void TableRelay::Serve(TableMirror& mirror) {
  m_mirrors.push_back(&mirror);
  mirror.OnUpdated([this] { AnswerWatches(); });
}

void TableRelay::HandleRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& target = exchange->request().target;
  const std::string path = target.substr(0, target.find('?'));
  const auto mirror =
      std::ranges::find_if(m_mirrors, [&](const TableMirror* candidate) {
        return candidate->is_complete() &&
               path == kPathPrefix + candidate->table();
      });
  if (mirror == m_mirrors.end()) {
    exchange->Respond(ToCode(HttpStatus::kNotFound), {}, "");
    return;
  }
  if (target.find('?') == std::string::npos) {
    exchange->Respond(ToCode(HttpStatus::kOk), {},
                      EncodePage((*mirror)->Snapshot()));
    return;
  }
  const auto after = ReadPosition(target);
  if (!after.has_value()) {
    exchange->Respond(ToCode(HttpStatus::kBadRequest), {}, "");
    return;
  }
  PendingWatch watch{*mirror, *after, exchange,
                     m_loop.clock().Now() + kMaxPeerWatch};
  if (!TryAnswer(watch)) {
    m_watches.push_back(std::move(watch));
  }
}

void TableRelay::AnswerWatches() {
  for (auto watch = m_watches.begin(); watch != m_watches.end();) {
    watch = TryAnswer(*watch) ? m_watches.erase(watch) : std::next(watch);
  }
}

bool TableRelay::TryAnswer(const PendingWatch& watch) {
  const TableMirror& mirror = *watch.mirror;
  HttpExchange& exchange = *watch.exchange;
  if (mirror.is_store_lost()) {
    // The other entry may reach the store itself.
    exchange.Respond(ToCode(HttpStatus::kServiceUnavailable), {}, "");
  } else if (!mirror.HasChangesSince(watch.after)) {
    exchange.Respond(kHistoryGoneStatus, {}, "");
  } else if (mirror.position() > watch.after ||
             m_loop.clock().Now() >= watch.expires_at) {
    exchange.Respond(ToCode(HttpStatus::kOk), {},
                     EncodeChanges(mirror, watch.after.version));
  } else {
    return false;
  }
  return true;
}

const std::string& TableRelay::EncodeChanges(const TableMirror& mirror,
                                             std::uint64_t after) {
  if (m_encoded.mirror != &mirror || m_encoded.after != after ||
      m_encoded.position != mirror.position()) {
    m_encoded = {&mirror, after, mirror.position(),
                 EncodePage(mirror.ChangesSince(after))};
  }
  return m_encoded.body;
}

}  // namespace bambooquay
