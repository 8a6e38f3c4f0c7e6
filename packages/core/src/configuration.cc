// Look-ups in a configuration.
#include "bambooquay/core/configuration.h"

#include <algorithm>

namespace bambooquay {
namespace {

template <typename Items, typename Key, typename Projection>
auto FindBy(const Items& items, const Key& key, Projection projection) noexcept
    -> const typename Items::value_type* {
  const auto found = std::ranges::find(items, key, projection);
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

bool ServiceSettings::IsIdempotent(std::string_view method) const {
  return kind == ServiceKind::kModels ||
         std::ranges::find(idempotent_methods, method) !=
             idempotent_methods.end();
}

const OrganisationSettings* Configuration::Find(
    const OrganisationId& id) const noexcept {
  return FindBy(organisations, id, &OrganisationSettings::id);
}

const ModelSettings* Configuration::Find(const ModelName& name) const noexcept {
  return FindBy(models, name, &ModelSettings::name);
}

const ServiceSettings* Configuration::Find(
    const ServiceName& name) const noexcept {
  return FindBy(services, name, &ServiceSettings::name);
}

const UpstreamSettings* Configuration::Find(
    const UpstreamId& id) const noexcept {
  return FindBy(upstreams, id, &UpstreamSettings::id);
}

const DataCentreSettings* Configuration::Find(
    const DataCentreId& id) const noexcept {
  return FindBy(data_centres, id, &DataCentreSettings::id);
}

const ServiceSettings* Configuration::ServiceOf(
    const ModelName& model) const noexcept {
  const auto found =
      std::ranges::find_if(services, [&](const ServiceSettings& service) {
        return std::ranges::find(service.models, model) != service.models.end();
      });
  return found == services.end() ? nullptr : &*found;
}

const ServiceSettings* Configuration::ServiceForRoute(
    std::string_view route) const noexcept {
  const auto found =
      std::ranges::find_if(services, [&](const ServiceSettings& service) {
        return service.kind == ServiceKind::kPlain && service.route == route;
      });
  return found == services.end() ? nullptr : &*found;
}

const ModelSettings* Configuration::Resolve(std::string_view name) const {
  const auto found =
      std::ranges::find_if(models, [&](const ModelSettings& model) {
        return model.name.value() == name ||
               std::ranges::find(model.adapters,
                                 AdapterName(std::string(name))) !=
                   model.adapters.end();
      });
  return found == models.end() ? nullptr : &*found;
}

}  // namespace bambooquay
