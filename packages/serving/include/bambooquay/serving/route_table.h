// Finds the route of a request by host and longest path prefix.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "bambooquay/serving/fleet_configuration.h"

namespace bambooquay {

/// Indexes over one configuration, which must outlive this object.
class RouteTable {
 public:
  explicit RouteTable(const FleetConfiguration& configuration);

  /// @returns the route of the host with the longest prefix of `path`, or null.
  [[nodiscard]] const ServingRoute* FindRoute(std::string_view host,
                                              std::string_view path) const;
  [[nodiscard]] const ServingOrganisation* FindOrganisation(
      const KeyDigest& key) const;
  [[nodiscard]] const ServingService* FindService(
      const ServiceName& name) const;

 private:
  /// The routes of one host by prefix.
  using Prefixes = std::map<std::string, const ServingRoute*, std::less<>>;

  std::unordered_map<std::string, Prefixes> m_hosts;
  std::unordered_map<KeyDigest, const ServingOrganisation*> m_keys;
  std::unordered_map<ServiceName, const ServingService*> m_services;
};

/// @returns the path of a request target: `target` without its query.
[[nodiscard]] std::string_view PathOf(std::string_view target) noexcept;
/// @returns `host` in lower case and without a port.
[[nodiscard]] std::string NormalizeHost(std::string_view host);

}  // namespace bambooquay
