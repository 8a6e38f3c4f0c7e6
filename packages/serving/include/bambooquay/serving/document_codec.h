// Decodes the rows that operators and upstreams write to the store, and the
// calls to an engine, from a wire dialect into the project's types.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "bambooquay/core/ids.h"
#include "bambooquay/serving/fleet_configuration.h"
#include "bambooquay/serving/upstream_record.h"

namespace bambooquay {

/// Why a document could not be read.
struct DecodeFailure {
  std::string description;
};

/// What a row of the operators' table is about.
struct ConfigurationRow {};
struct DataCentreOutRow {
  DataCentreId data_centre;
};
struct OtherRow {};
using OperatorRow = std::variant<ConfigurationRow, DataCentreOutRow, OtherRow>;

/// Decodes stored documents. Decides nothing.
class DocumentCodec {
 public:
  DocumentCodec() = default;
  DocumentCodec(const DocumentCodec&) = delete;
  DocumentCodec& operator=(const DocumentCodec&) = delete;
  virtual ~DocumentCodec() = default;

  [[nodiscard]] virtual std::string OperatorTable() const = 0;
  [[nodiscard]] virtual std::string UpstreamTable() const = 0;
  [[nodiscard]] virtual OperatorRow ClassifyOperatorRow(
      std::string_view key) const = 0;
  [[nodiscard]] virtual std::variant<FleetConfiguration, DecodeFailure>
  DecodeConfiguration(std::string_view text) const = 0;
  [[nodiscard]] virtual std::variant<UpstreamRecord, DecodeFailure>
  DecodeUpstream(std::string_view key, std::string_view text) const = 0;
};

enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// An order to an engine's memory.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  ModelName model;
  AdapterName adapter;  ///< Empty for the model itself.
  /// Carried out only while the engine has accepted this many orders.
  std::optional<std::uint64_t> expected_orders;
  UpstreamId engine;
  InstanceId holder;
  std::uint64_t fencing_token = 0;
};

enum class OrderResult : std::uint8_t {
  kAccepted,  ///< Being carried out.
  kHoldsAlready,
  kConflict,  ///< Another order is under way, or others were accepted.
  kFenced,    ///< The engine has seen a higher fencing token.
  kRejected,  ///< No such order, or another engine has the address.
  kNotSent,   ///< It cannot have been accepted.
  kUnknown,   ///< It may be carried out, also later.
};

/// Calls to the engine beside the agent. Callbacks run from the event loop
/// and are dropped when the object goes.
class EngineClient {
 public:
  EngineClient() = default;
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;
  virtual ~EngineClient() = default;

  virtual void FetchReport(
      std::function<void(std::optional<EngineReport>)> done) = 0;
  virtual void SendOrder(const EngineOrder& order,
                         std::function<void(OrderResult)> done) = 0;
};

}  // namespace bambooquay
