// Finds the route of a request by host and longest path prefix.
#include "bambooquay/serving/route_table.h"

#include <algorithm>
#include <cctype>

namespace bambooquay {

RouteTable::RouteTable(const FleetConfiguration& configuration) {
  for (const ServingRoute& route : configuration.routes) {
    m_hosts[NormalizeHost(route.host)][route.prefix] = &route;
  }
  for (const ServingOrganisation& organisation : configuration.organisations) {
    for (const KeyDigest& key : organisation.keys) {
      m_keys[key] = &organisation;
    }
  }
  for (const ServingService& service : configuration.services) {
    m_services[service.name] = &service;
  }
}

const ServingRoute* RouteTable::FindRoute(std::string_view host,
                                          std::string_view path) const {
  const auto prefixes = m_hosts.find(NormalizeHost(host));
  if (prefixes == m_hosts.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the positions of slashes are looked up.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto route = prefixes->second.find(path.substr(0, end + 1));
    if (route != prefixes->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const ServingOrganisation* RouteTable::FindOrganisation(
    const KeyDigest& key) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : found->second;
}

const ServingService* RouteTable::FindService(const ServiceName& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

std::string_view PathOf(std::string_view target) noexcept {
  return target.substr(0, target.find('?'));
}

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace bambooquay
