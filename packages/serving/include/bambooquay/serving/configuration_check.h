// Checks a configuration before it is put in force: entries that can never have
// an effect, limits that contradict each other, and what differs from another
// version.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "bambooquay/serving/fleet_configuration.h"

namespace bambooquay {

enum class ConfigurationSection : std::uint8_t {
  kTop,
  kRoutes,
  kServices,
  kOrganisations,
};

enum class ConfigurationField : std::uint8_t {
  kEntry,  ///< The entry as a whole.
  kVersion,
  kName,
  kHost,
  kPrefix,
  kKind,
  kTimeout,
  kTargetLatency,
  kMaxPause,
  kPriority,
  kServices,
  kMaxAttempts,
  kAuthExempt,
  kResumable,
  kMaxConnections,
  kColdRate,
  kSlots,
  kKvTokens,
  kEngineMemory,
  kAdapterSlots,
  kLoadRate,
  kModels,
  kScaling,
  kKeys,
  kDefaultCost,
  kRate,
  kBurst,
};

/// A place in the configuration.
struct ConfigurationPosition {
  ConfigurationSection section{};
  std::string entry;  ///< Name of the entry in its section.
  ConfigurationField field{};
  std::string item;  ///< Name of an item of the field; empty for all.

  friend auto operator<=>(const ConfigurationPosition&,
                          const ConfigurationPosition&) = default;
};

struct ConfigurationFinding {
  ConfigurationPosition position;
  std::string description;

  friend auto operator<=>(const ConfigurationFinding&,
                          const ConfigurationFinding&) = default;
};

/// @returns what can never have an effect or contradicts itself, by position.
[[nodiscard]] std::vector<ConfigurationFinding> CheckConfiguration(
    const FleetConfiguration& configuration);

/// @returns what the later version adds, removes and changes, by position.
[[nodiscard]] std::vector<ConfigurationFinding> CompareConfigurations(
    const FleetConfiguration& before, const FleetConfiguration& after);

}  // namespace bambooquay
