// The configuration in force, with its indexes.
#pragma once

#include <utility>

#include "bambooquay/serving/fleet_configuration.h"
#include "bambooquay/serving/route_table.h"

namespace bambooquay {

/// The active configuration with its indexes.
struct ActiveConfiguration {
  explicit ActiveConfiguration(FleetConfiguration decoded)
      : configuration(std::move(decoded)), routes(configuration) {}
  ActiveConfiguration(const ActiveConfiguration&) = delete;
  ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

  FleetConfiguration configuration;
  RouteTable routes;
};

}  // namespace bambooquay
