// Queries on the models of an engine profile.
#include "bambooquay/serving/fleet_configuration.h"

#include <algorithm>

namespace bambooquay {

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
