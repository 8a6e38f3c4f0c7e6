// The configuration of a fleet, parsed and validated: data centres,
// organisations, models, services with their dependencies, and upstreams.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/ini.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

struct DataCentreSettings {
  DataCentreId id;
  RegionId region;
};

/// An organisation and its allowance, which applies to the fleet as a whole.
struct OrganisationSettings {
  OrganisationId id;
  TokensPerSecond rate;
  /// Capacity of the token bucket.
  Tokens burst;
  /// Share of a contended upstream relative to other organisations.
  double weight = 1.0;
};

struct ModelSettings {
  ModelName name;
  /// Accelerator memory that the loaded model needs.
  MebiBytes memory;
  std::vector<AdapterName> adapters;
};

/// kModels: serves models through model engines. kPlain: any other HTTP
/// service, whose calls are forwarded by route.
enum class ServiceKind : std::uint8_t { kModels, kPlain };

struct ServiceSettings {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModels;
  /// Plain services only: calls under `/<route>/` go to this service.
  std::string route;
  /// Whether callers need no key.
  bool is_open = false;
  /// Plain services only: HTTP methods that may be retried, in upper case.
  std::vector<std::string> idempotent_methods;
  std::vector<ServiceName> depends_on;
  std::vector<ModelName> models;

  /// @returns whether a call with `method` may run more than once; always true
  ///   for services of models.
  [[nodiscard]] bool IsIdempotent(std::string_view method) const;
};

struct UpstreamSettings {
  UpstreamId id;
  ServiceName service;
  DataCentreId data_centre;
  /// Accelerator memory for models.
  MebiBytes memory;
  /// Requests in flight that the upstream can handle when warm.
  std::uint32_t warm_concurrency = 1;
  /// Requests in flight that the upstream can handle when cold.
  std::uint32_t cold_concurrency = 1;
  /// Time for each token, or for each call of a plain service, when warm.
  Duration expected_pace = std::chrono::milliseconds(30);
  /// Whether the engine refuses orders with an outdated fencing number.
  bool checks_fencing = false;
};

/// A valid configuration: names are unique and every reference resolves.
struct Configuration {
  std::string fleet;  ///< Name of the fleet.
  std::vector<DataCentreSettings> data_centres;
  std::vector<OrganisationSettings> organisations;
  std::vector<ModelSettings> models;
  std::vector<ServiceSettings> services;
  std::vector<UpstreamSettings> upstreams;

  [[nodiscard]] const OrganisationSettings* Find(
      const OrganisationId& id) const noexcept;
  [[nodiscard]] const ModelSettings* Find(const ModelName& name) const noexcept;
  [[nodiscard]] const ServiceSettings* Find(
      const ServiceName& name) const noexcept;
  [[nodiscard]] const UpstreamSettings* Find(
      const UpstreamId& id) const noexcept;
  [[nodiscard]] const DataCentreSettings* Find(
      const DataCentreId& id) const noexcept;
  /// @returns the service that serves `model`, or nullptr.
  [[nodiscard]] const ServiceSettings* ServiceOf(
      const ModelName& model) const noexcept;
  /// @returns the plain service for calls under `/<route>/`, or nullptr.
  [[nodiscard]] const ServiceSettings* ServiceForRoute(
      std::string_view route) const noexcept;
  /// @returns the model that serves `name`: the model itself, or the base
  ///   model if `name` is an adapter; nullptr if there is neither.
  [[nodiscard]] const ModelSettings* Resolve(std::string_view name) const;
};

using ConfigurationErrors = std::vector<IniError>;

/// Parses and validates the text of a configuration file.
///
/// @param file  file name for error messages.
/// @returns the configuration, or all errors found, sorted by line.
///
/// @code
/// auto parsed = ParseConfiguration("[fleet]\n", "fleet.ini");
/// // fleet.ini:1: [fleet] name: a value is required
/// @endcode
[[nodiscard]] std::variant<Configuration, ConfigurationErrors>
ParseConfiguration(std::string_view text, std::string file);

}  // namespace bambooquay
