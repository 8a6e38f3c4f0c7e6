// Which services share the streams of a route, now or in the recent past.
#include "bambooquay/serving/stream_route_history.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <iterator>
#include <vector>

#include "bambooquay/serving/stream_origins.h"

namespace bambooquay {

std::set<StreamRouteHistory::PathKey> StreamRouteHistory::KeysOf(
    const ActiveConfiguration& configuration) {
  std::set<PathKey> keys;
  std::ranges::transform(
      configuration.configuration.routes, std::inserter(keys, keys.end()),
      [](const ServingRoute& route) {
        return PathKey(NormalizeHost(route.host), route.prefix);
      });
  return keys;
}

std::set<ServiceName> StreamRouteHistory::ServicesAt(
    const ActiveConfiguration& configuration, const PathKey& key) {
  const ServingRoute* route =
      configuration.routes.FindRoute(key.first, key.second);
  if (route == nullptr || route->kind != CallKind::kStream ||
      !route->resumable) {
    return {};
  }
  const std::vector<ServiceName> used = route->UsedServices();
  return {used.begin(), used.end()};
}

std::uint64_t StreamRouteHistory::DigestOf(
    const ActiveConfiguration& configuration) {
  std::size_t digest = 0;
  for (const PathKey& key : KeysOf(configuration)) {
    for (const ServiceName& service : ServicesAt(configuration, key)) {
      boost::hash_combine(digest, key.first);
      boost::hash_combine(digest, key.second);
      boost::hash_combine(digest, service.value());
    }
  }
  // 0 stands for no configuration.
  return std::max<std::uint64_t>(digest, 1);
}

void StreamRouteHistory::Apply(
    std::shared_ptr<const ActiveConfiguration> configuration) {
  if (m_present != nullptr) {
    std::set<PathKey> keys = KeysOf(*m_present);
    keys.merge(KeysOf(*configuration));
    for (const PathKey& key : keys) {
      const std::set<ServiceName> before = ServicesAt(*m_present, key);
      if (before != ServicesAt(*configuration, key)) {
        std::ranges::for_each(before, [&](const ServiceName& service) {
          m_past[key][service] = m_clock.Now();
        });
      }
    }
  }
  m_present = std::move(configuration);
  m_digest = DigestOf(*m_present);
}

std::map<ServiceName, TimePoint> StreamRouteHistory::SharedServices() const {
  if (m_present == nullptr) {
    return {};
  }
  std::map<PathKey, UsedAt> by_path = m_past;
  std::set<PathKey> keys = KeysOf(*m_present);
  std::ranges::transform(m_past, std::inserter(keys, keys.end()),
                         [](const auto& item) { return item.first; });
  for (const PathKey& key : keys) {
    for (const ServiceName& service : ServicesAt(*m_present, key)) {
      by_path[key][service] = m_clock.Now();
    }
  }
  std::map<ServiceName, TimePoint> shared;
  for (const auto& [key, services] : by_path) {
    for (const auto& [service, used_at] : services) {
      for (const auto& [other, other_used_at] : services) {
        if (other != service) {
          TimePoint& shared_at =
              shared.try_emplace(service, other_used_at).first->second;
          shared_at = std::max(shared_at, other_used_at);
        }
      }
    }
  }
  return shared;
}

void StreamRouteHistory::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  std::ranges::for_each(m_past, [now](auto& item) {
    std::erase_if(item.second, [now](const auto& used) {
      return now - used.second >= StreamOrigins::kMaxOriginAge;
    });
  });
  std::erase_if(m_past, [](const auto& item) { return item.second.empty(); });
}

}  // namespace bambooquay
