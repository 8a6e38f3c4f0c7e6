// Accesses the object store with plain HTTP PUT and GET.
#include <utility>

#include "bambooquay/platform/platform_client.h"
#include "bambooquay/runtime/call_set.h"

namespace bambooquay {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(3);
constexpr const char* kBucketPath = "/bambooquay/";

PlatformUnavailable MakeUnavailable(const HttpResult& result) {
  const auto* outcome = std::get_if<HttpOutcome>(&result);
  return {"the object store is unavailable",
          outcome != nullptr && *outcome == HttpOutcome::kNotSent};
}

class HttpObjectStore final : public ObjectStore {
 public:
  HttpObjectStore(EventLoop& loop, const Endpoint& endpoint)
      : m_loop(loop), m_endpoint(endpoint) {}

  void Store(const std::string& name, const std::string& bytes,
             std::function<void(ObjectWriteResult)> done) override {
    HttpRequest request;
    request.method = "PUT";
    request.target = kBucketPath + name;
    request.body = bytes;
    m_calls.Fetch(m_loop, m_endpoint, request, kTimeout,
                  [done = std::move(done)](const HttpResult& result) {
                    const auto* response = std::get_if<HttpResponse>(&result);
                    if (response != nullptr &&
                        response->status == ToCode(HttpStatus::kOk)) {
                      done(ObjectStored{});
                    } else {
                      done(MakeUnavailable(result));
                    }
                  });
  }

  void Fetch(const std::string& name,
             std::function<void(ObjectReadResult)> done) override {
    HttpRequest request;
    request.target = kBucketPath + name;
    m_calls.Fetch(m_loop, m_endpoint, request, kTimeout,
                  [done = std::move(done)](const HttpResult& result) {
                    done(ParseResponse(result));
                  });
  }

 private:
  static ObjectReadResult ParseResponse(const HttpResult& result) {
    const auto* response = std::get_if<HttpResponse>(&result);
    const int status = response == nullptr ? 0 : response->status;
    if (status == ToCode(HttpStatus::kOk)) {
      return response->body;
    }
    if (status == ToCode(HttpStatus::kNotFound)) {
      return ObjectNotFound{};
    }
    return MakeUnavailable(result);
  }

  EventLoop& m_loop;
  Endpoint m_endpoint;
  CallSet m_calls;
};

}  // namespace

std::unique_ptr<ObjectStore> MakeObjectClient(EventLoop& loop,
                                              const Endpoint& endpoint) {
  return std::make_unique<HttpObjectStore>(loop, endpoint);
}

}  // namespace bambooquay
