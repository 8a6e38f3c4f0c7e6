// Reads the instance list in the HTTP service discovery format of Prometheus.
// Requests are conditional: if the list has not changed, the response has no
// body.
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/platform/platform_client.h"
#include "bambooquay/runtime/call_set.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(3);
constexpr const char* kInstancesPath = "/instances";

/// Converts one target group, which describes one instance.
/// @returns nullopt if the group is malformed.
std::optional<Instance> ToInstance(const Json& group) {
  if (!group.is_object() || !group.contains("targets") ||
      !group["targets"].is_array() || group["targets"].empty() ||
      !group["targets"][0].is_string() || !group.contains("labels")) {
    return std::nullopt;
  }
  const Json& labels = group["labels"];
  const auto label = [&](const char* name) {
    return labels.is_object() && labels.contains(name) &&
                   labels[name].is_string()
               ? labels[name].get<std::string>()
               : std::string();
  };
  const auto peer = ParseEndpoint(group["targets"][0].get<std::string>());
  if (!peer.has_value()) {
    return std::nullopt;
  }
  Instance instance;
  instance.id = InstanceId(label("instance"));
  instance.role =
      label("role") == "agent" ? InstanceRole::kAgent : InstanceRole::kEntry;
  instance.data_centre = DataCentreId(label("datacentre"));
  instance.upstream = UpstreamId(label("upstream"));
  instance.peer = *peer;
  instance.admin = ParseEndpoint(label("admin")).value_or(Endpoint{});
  instance.leaving = label("state") == "leaving";
  return instance;
}

class HttpInstanceList final : public InstanceList {
 public:
  HttpInstanceList(EventLoop& loop, const Endpoint& endpoint)
      : m_loop(loop), m_endpoint(endpoint) {}

  void Fetch(std::function<void(InstanceListResult)> done) override {
    HttpRequest request;
    request.target = kInstancesPath;
    if (!m_etag.empty()) {
      request.headers.Add("If-None-Match", m_etag);
    }
    m_calls.Fetch(m_loop, m_endpoint, request, kTimeout,
                  [this, done = std::move(done)](const HttpResult& result) {
                    done(ParseResponse(result));
                  });
  }

 private:
  InstanceListResult ParseResponse(const HttpResult& result) {
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
      return PlatformUnavailable{"the instance list is unavailable"};
    }
    if (response->status == ToCode(HttpStatus::kNotModified)) {
      return InstancesUnchanged{};
    }
    const Json groups = Json::parse(response->body, nullptr, false);
    if (response->status != ToCode(HttpStatus::kOk) || !groups.is_array()) {
      return PlatformUnavailable{"the instance list is malformed"};
    }
    std::vector<Instance> instances;
    for (const Json& group : groups) {
      if (auto instance = ToInstance(group)) {
        instances.push_back(std::move(*instance));
      }
    }
    m_etag = response->headers.Get("ETag");
    return instances;
  }

  EventLoop& m_loop;
  Endpoint m_endpoint;
  CallSet m_calls;
  /// Entity tag of the last list that was received.
  std::string m_etag;
};

}  // namespace

std::unique_ptr<InstanceList> MakeInstanceListClient(EventLoop& loop,
                                                     const Endpoint& endpoint) {
  return std::make_unique<HttpInstanceList>(loop, endpoint);
}

}  // namespace bambooquay
