// Accesses the table service with the DynamoDB JSON protocol.
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/platform/platform_client.h"
#include "bambooquay/runtime/call_set.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr const char* kTableName = "bambooquay";
// Error type in the response to a write whose condition did not hold.
constexpr const char* kConditionFailed = "ConditionalCheckFailedException";

PlatformUnavailable MakeUnavailable(const HttpResult& result) {
  if (const auto* outcome = std::get_if<HttpOutcome>(&result)) {
    return {*outcome == HttpOutcome::kNotSent
                ? "the table service refused the connection"
                : "the table service's answer was lost",
            *outcome == HttpOutcome::kNotSent};
  }
  const int status = std::get<HttpResponse>(result).status;
  return {"the table service answered with status " + std::to_string(status)};
}

/// @returns the parsed body of a successful response, or a value that is not a
///   JSON object if the call failed or the body is malformed.
Json ParseResponse(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr || response->status != ToCode(HttpStatus::kOk)) {
    return nullptr;
  }
  return Json::parse(response->body, nullptr, false);
}

/// @returns the value of an attribute of type S or N, or "" if there is none.
std::string StringAttribute(const Json& item, const char* name) {
  const auto attribute = item.find(name);
  if (attribute == item.end() || !attribute->is_object()) {
    return {};
  }
  const auto value = attribute->begin();
  return value == attribute->end() || !value->is_string()
             ? std::string()
             : value->get<std::string>();
}

Row ToRow(const Json& item) {
  Row row;
  row.key = {StringAttribute(item, "pk"), StringAttribute(item, "sk")};
  row.version =
      std::strtoull(StringAttribute(item, "version").c_str(), nullptr, 10);
  row.write_id = StringAttribute(item, "write_id");
  row.body = StringAttribute(item, "body");
  return row;
}

Json KeyJson(const RowKey& key) {
  return {{"pk", {{"S", key.partition}}}, {"sk", {{"S", key.name}}}};
}

class DynamoTable final : public TableService {
 public:
  DynamoTable(EventLoop& loop, const Endpoint& endpoint)
      : m_loop(loop), m_endpoint(endpoint) {}

  void Read(const RowKey& key, std::function<void(ReadResult)> done) override {
    const Json body = {{"TableName", kTableName},
                       {"Key", KeyJson(key)},
                       {"ConsistentRead", true}};
    Call("GetItem", body, [done = std::move(done)](const HttpResult& result) {
      const Json response = ParseResponse(result);
      if (!response.is_object()) {
        done(MakeUnavailable(result));
      } else if (!response.contains("Item")) {
        done(RowNotFound{});
      } else {
        done(ToRow(response["Item"]));
      }
    });
  }

  void Write(const Row& row, std::function<void(WriteResult)> done) override {
    Json item = KeyJson(row.key);
    item["version"] = {{"N", std::to_string(row.version)}};
    item["write_id"] = {{"S", row.write_id}};
    item["body"] = {{"S", row.body}};
    Json body = {{"TableName", kTableName}, {"Item", std::move(item)}};
    if (row.version <= 1) {
      body["ConditionExpression"] = "attribute_not_exists(pk)";
    } else {
      body["ConditionExpression"] = "version = :expected";
      body["ExpressionAttributeValues"] = {
          {":expected", {{"N", std::to_string(row.version - 1)}}}};
    }
    Call("PutItem", body, [done = std::move(done)](const HttpResult& result) {
      const auto* response = std::get_if<HttpResponse>(&result);
      if (response != nullptr && response->status == ToCode(HttpStatus::kOk)) {
        done(RowWritten{});
      } else if (response != nullptr &&
                 response->body.find(kConditionFailed) != std::string::npos) {
        done(RowConflict{});
      } else {
        done(MakeUnavailable(result));
      }
    });
  }

  void Query(const std::string& partition,
             std::function<void(QueryResult)> done) override {
    const Json body = {
        {"TableName", kTableName},
        {"KeyConditionExpression", "pk = :partition"},
        {"ExpressionAttributeValues", {{":partition", {{"S", partition}}}}},
        {"ConsistentRead", true}};
    Call("Query", body, [done = std::move(done)](const HttpResult& result) {
      const Json response = ParseResponse(result);
      if (!response.is_object() || !response.contains("Items")) {
        done(MakeUnavailable(result));
        return;
      }
      std::vector<Row> rows;
      for (const Json& item : response["Items"]) {
        rows.push_back(ToRow(item));
      }
      done(std::move(rows));
    });
  }

 private:
  void Call(const std::string& operation, const Json& body,
            std::function<void(HttpResult)> done) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/";
    request.headers.Add("Content-Type", "application/x-amz-json-1.0");
    request.headers.Add("X-Amz-Target", "DynamoDB_20120810." + operation);
    request.body = body.dump();
    m_calls.Fetch(m_loop, m_endpoint, request, kTimeout, std::move(done));
  }

  EventLoop& m_loop;
  Endpoint m_endpoint;
  CallSet m_calls;
};

}  // namespace

std::unique_ptr<TableService> MakeTableClient(EventLoop& loop,
                                              const Endpoint& endpoint) {
  return std::make_unique<DynamoTable>(loop, endpoint);
}

}  // namespace bambooquay
