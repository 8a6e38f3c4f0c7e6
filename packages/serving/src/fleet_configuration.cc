// Look-ups in a configuration.
#include "bambooquay/serving/fleet_configuration.h"

#include <algorithm>

namespace bambooquay {

const ServingModel* EngineProfile::Find(const ModelName& model) const noexcept {
  const auto found = std::ranges::find(models, model, &ServingModel::name);
  return found == models.end() ? nullptr : &*found;
}

}  // namespace bambooquay
