// Keeps the fleet's demand for models in the store, for the planning after all
// entries have restarted.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

[[nodiscard]] std::string EncodeDemand(const std::vector<ModelDemand>& demand);
/// @returns the demand; empty if `text` is not one.
[[nodiscard]] std::vector<ModelDemand> DecodeDemand(std::string_view text);

/// Used by the entry that plans placement. Its row in the store is written by
/// that entry alone; if two plan at a time, the last one counts.
///
/// Load it answers: after a power failure every engine is empty and loads one
/// model at a time, and no entry has measured any demand. The models in demand
/// before the failure are loaded first.
///
/// @code
/// demand = memory.Complete(demand);   // then plan with it
/// memory.Save(demand);
/// @endcode
class DemandMemory {
 public:
  /// `clock` and `table` must outlive this object.
  DemandMemory(const Clock& clock, FleetTable& table)
      : m_clock(clock), m_table(table) {}
  DemandMemory(const DemandMemory&) = delete;
  DemandMemory& operator=(const DemandMemory&) = delete;

  /// Adds the stored demand as far as it exceeds the measured one. Its weight
  /// falls to zero within seconds after it has been read.
  [[nodiscard]] std::vector<ModelDemand> Complete(
      std::vector<ModelDemand> measured);
  /// Writes the measured demand to the store from time to time.
  void Save(const std::vector<ModelDemand>& measured);

 private:
  enum class State : std::uint8_t { kNotRead, kReading, kRead };

  void Read();

  const Clock& m_clock;
  FleetTable& m_table;
  State m_state = State::kNotRead;
  std::vector<ModelDemand> m_stored;
  TimePoint m_read_at{};
  TimePoint m_saved_at{};
};

}  // namespace bambooquay
