// Passes copies of the store's tables between entries.
#include "bambooquay/serving/table_relay.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

// Entries respond to each other within some milliseconds.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(700);

}  // namespace

std::string EncodePage(const TablePage& page) {
  Json rows = Json::array();
  for (const TableRow& row : page.rows) {
    rows.push_back({row.key, row.version,
                    Json::binary({row.value.begin(), row.value.end()})});
  }
  const std::vector<std::uint8_t> bytes =
      Json::to_cbor({{"version", page.version}, {"rows", std::move(rows)}});
  return std::string(bytes.begin(), bytes.end());
}

std::optional<TablePage> DecodePage(std::string_view body) {
  try {
    const Json json = Json::from_cbor(body.begin(), body.end());
    TablePage page;
    page.version = json.at("version");
    for (const Json& item : json.at("rows")) {
      const Json::binary_t& value = item.at(2).get_binary();
      page.rows.push_back(
          {"", item.at(0), {value.begin(), value.end()}, item.at(1), false});
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
    : m_loop(loop), m_choose_peer(std::move(choose_peer)) {}

void PeerTable::List(const std::string& table, const std::string& /*first_key*/,
                     std::function<void(TableResult)> done) {
  const auto peer = m_choose_peer();
  if (!peer.has_value()) {
    done(TableFailure::kUnavailable);
    return;
  }
  HttpRequest request;
  request.target = "/tables/" + table;
  m_calls.Fetch(m_loop, *peer, request, kPeerTimeout,
                [done = std::move(done)](const HttpResult& result) {
                  const auto* response = std::get_if<HttpResponse>(&result);
                  std::optional<TablePage> page;
                  if (response != nullptr &&
                      response->status == ToCode(HttpStatus::kOk)) {
                    page = DecodePage(response->body);
                  }
                  if (page.has_value()) {
                    done(std::move(*page));
                  } else {
                    done(TableFailure::kUnavailable);
                  }
                });
}

void PeerTable::Watch(const std::string& /*table*/, std::uint64_t /*after*/,
                      Duration /*wait*/,
                      std::function<void(TableResult)> done) {
  done(TableFailure::kUnavailable);
}

void PeerTable::Write(const TableWrite& /*write*/,
                      std::function<void(TableWriteResult)> done) {
  done(TableFailure::kUnavailable);
}

}  // namespace bambooquay
