// Keeps in the store which parts of prompts are under quarantine, for entries
// that start.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/peers/status_messages.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_row.h"
#include "bambooquay/serving/fleet_table.h"
#include "bambooquay/serving/prompt_quarantine.h"

namespace bambooquay {

/// @returns the quarantines as the value of a row.
/// @param store_time  the present time on the store's clock.
[[nodiscard]] std::string EncodeQuarantines(
    const std::vector<PartQuarantine>& quarantines,
    std::chrono::milliseconds store_time);
/// @returns the quarantines as they are at `store_time`; nothing if `value`
///   can't be read.
[[nodiscard]] std::optional<std::vector<PartQuarantine>> DecodeQuarantines(
    std::string_view value, std::chrono::milliseconds store_time);

/// Entries that all start at once have no peer to learn of a quarantine from.
class QuarantineTable final : private FleetRowContent {
 public:
  /// @param is_writer  returns whether this entry is the one that writes.
  QuarantineTable(EventLoop& loop, FleetTable& table,
                  PromptQuarantine& quarantine,
                  std::function<bool()> is_writer);

  void Start() { m_row.Start(); }

 private:
  [[nodiscard]] bool IsEmpty() const override;
  [[nodiscard]] std::string State() const override;
  [[nodiscard]] std::string Encode(
      std::chrono::milliseconds store_time) const override;
  void Load(std::optional<std::string_view> value,
            std::chrono::milliseconds store_time) override;

  PromptQuarantine& m_quarantine;
  FleetRow m_row;
};

}  // namespace bambooquay
