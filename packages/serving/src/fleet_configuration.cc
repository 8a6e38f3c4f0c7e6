// Queries on a route's services and on the models of an engine profile.
#include "bambooquay/serving/fleet_configuration.h"

#include <algorithm>

namespace bambooquay {

std::vector<ServiceName> ServingRoute::UsedServices() const {
  std::vector<ServiceName> used;
  for (const ServiceShare& share : services) {
    if (share.weight > 0.0) {
      used.push_back(share.service);
    }
  }
  if (used.empty() && !services.empty()) {
    used.push_back(services.back().service);
  }
  return used;
}

const ServingModel* EngineProfile::Find(const ModelName& model) const noexcept {
  const auto found = std::ranges::find(models, model, &ServingModel::name);
  return found == models.end() ? nullptr : &*found;
}

double EngineProfile::LargestModelMb() const noexcept {
  double largest = 0.0;
  for (const ServingModel& model : models) {
    largest = std::max(largest, model.weights_mb);
  }
  return largest;
}

double EngineProfile::AdapterReserveMb() const noexcept {
  double largest = 0.0;
  for (const ServingModel& model : models) {
    largest = std::max(largest, model.adapter_mb);
  }
  return largest * adapter_slots;
}

}  // namespace bambooquay
