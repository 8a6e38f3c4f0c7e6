// Blocking access to the platform's services, for commands.
#include "platform_session.h"

#include <optional>
#include <utility>

namespace bambooquay {
namespace {

constexpr Duration kResponseTimeout = std::chrono::seconds(20);
constexpr int kMaxReadAttempts = 3;
constexpr Duration kStatusTimeout = std::chrono::seconds(1);

}  // namespace

PlatformSession::PlatformSession(const PlatformEndpoints& endpoints)
    : m_table(MakeTableClient(m_loop, endpoints.table)),
      m_objects(MakeObjectClient(m_loop, endpoints.objects)),
      m_instances(MakeInstanceListClient(m_loop, endpoints.instances)),
      m_repository(*m_table, *m_objects) {}

LoadResult PlatformSession::Load(DocumentKind kind) {
  LoadResult result = PlatformUnavailable{"no answer in time"};
  for (int attempt = 0; attempt < kMaxReadAttempts; ++attempt) {
    result = LoadOnce(kind);
    if (!std::holds_alternative<PlatformUnavailable>(result)) {
      break;
    }
  }
  return result;
}

LoadResult PlatformSession::LoadOnce(DocumentKind kind) {
  auto response = std::make_shared<std::optional<LoadResult>>();
  m_repository.Load(
      kind, [response](const LoadResult& result) { *response = result; });
  m_loop.RunUntil([&] { return response->has_value(); }, kResponseTimeout);
  return response->value_or(PlatformUnavailable{"no answer in time"});
}

PublishResult PlatformSession::Publish(const Document& document) {
  auto response = std::make_shared<std::optional<PublishResult>>();
  m_repository.Publish(document, [response](const PublishResult& result) {
    *response = result;
  });
  m_loop.RunUntil([&] { return response->has_value(); }, kResponseTimeout);
  return response->value_or(PlatformUnavailable{"no answer in time"});
}

InstanceListResult PlatformSession::FetchInstances() {
  auto response = std::make_shared<std::optional<InstanceListResult>>();
  m_instances->Fetch(
      [response](InstanceListResult result) { *response = std::move(result); });
  m_loop.RunUntil([&] { return response->has_value(); }, kResponseTimeout);
  return response->value_or(PlatformUnavailable{"no answer in time"});
}

std::string PlatformSession::FetchStatus(const Endpoint& admin) {
  HttpRequest request;
  request.target = "/status";
  std::optional<HttpResult> result;
  const auto call =
      FetchHttp(m_loop, admin, request, kStatusTimeout,
                [&](HttpResult received) { result = std::move(received); });
  m_loop.RunUntil([&] { return result.has_value(); }, kResponseTimeout);
  const auto* response =
      result.has_value() ? std::get_if<HttpResponse>(&*result) : nullptr;
  return response == nullptr ? std::string() : response->body;
}

}  // namespace bambooquay
