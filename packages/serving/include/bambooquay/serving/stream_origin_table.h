// Keeps in the store which service and software version began the streams in
// progress, for entries that start.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/serving/fleet_row.h"
#include "bambooquay/serving/fleet_table.h"
#include "bambooquay/serving/stream_origins.h"

namespace bambooquay {

/// @returns the reports as the value of a row.
[[nodiscard]] std::string EncodeStreamVersions(
    const std::vector<StreamVersionReport>& reports);
/// @returns the reports, as of now; nothing if `value` can't be read.
[[nodiscard]] std::optional<std::vector<StreamVersionReport>>
DecodeStreamVersions(std::string_view value);

/// Written only while the streams of a service have to be known one by one, so
/// that callers can take them up at entries that start.
class StreamOriginTable final : private FleetRowContent {
 public:
  /// @param is_writer  returns whether this entry is the one that writes.
  StreamOriginTable(EventLoop& loop, FleetTable& table, StreamOrigins& origins,
                    std::function<bool()> is_writer);

  void Start() { m_row.Start(); }

 private:
  [[nodiscard]] bool IsEmpty() const override;
  [[nodiscard]] std::string State() const override;
  [[nodiscard]] std::string Encode(
      std::chrono::milliseconds store_time) const override;
  void Load(std::optional<std::string_view> value,
            std::chrono::milliseconds store_time) override;

  StreamOrigins& m_origins;
  FleetRow m_row;
};

}  // namespace bambooquay
