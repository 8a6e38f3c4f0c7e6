// Interfaces that decode the rows which operators and upstreams write to the
// store, and that call a model engine.
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

/// The row with the configuration.
struct ConfigurationRow {};
/// A row whose existence takes a data centre out of service.
struct DisabledDataCentreRow {
  DataCentreId data_centre;
};
/// Any other row of the operators' table.
struct OtherRow {};
using OperatorRow =
    std::variant<ConfigurationRow, DisabledDataCentreRow, OtherRow>;

/// Decodes the rows of the store's tables.
class DocumentCodec {
 public:
  DocumentCodec() = default;
  DocumentCodec(const DocumentCodec&) = delete;
  DocumentCodec& operator=(const DocumentCodec&) = delete;
  virtual ~DocumentCodec() = default;

  [[nodiscard]] virtual std::string OperatorTableName() const = 0;
  [[nodiscard]] virtual std::string UpstreamTableName() const = 0;
  [[nodiscard]] virtual OperatorRow ClassifyOperatorRow(
      std::string_view key) const = 0;
  [[nodiscard]] virtual std::variant<FleetConfiguration, DecodeFailure>
  DecodeConfiguration(std::string_view text) const = 0;
  [[nodiscard]] virtual std::variant<UpstreamRecord, DecodeFailure>
  DecodeUpstream(std::string_view key, std::string_view text) const = 0;
};

enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// An order to an engine to load or unload a model or an adapter.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  ModelName model;
  AdapterName adapter;  ///< Empty for the model itself.
  /// The engine rejects the order unless it has accepted exactly this many
  /// orders so far.
  std::optional<std::uint64_t> expected_orders;
  UpstreamId engine;
  InstanceId holder;  ///< The agent that holds the fencing token.
  std::uint64_t fencing_token = 0;
};

enum class OrderResult : std::uint8_t {
  kAccepted,     ///< The engine has started to carry it out.
  kAlreadyDone,  ///< The engine is in the requested state already.
  kConflict,  ///< Another order is in progress, or `expected_orders` differs.
  kFenced,    ///< The engine has seen a higher fencing token.
  kRejected,  ///< The order is invalid, or another engine has the address.
  kNotSent,   ///< The order did not leave, so it cannot have been accepted.
  kUnknown,   ///< The order may be carried out, now or later.
};

/// Calls the engine beside the agent. Callbacks run from the event loop;
/// pending ones are dropped when the client is destroyed.
class EngineClient {
 public:
  EngineClient() = default;
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;
  virtual ~EngineClient() = default;

  /// @param done  gets the report, or nothing if it could not be fetched.
  virtual void FetchReport(
      std::function<void(std::optional<EngineReport>)> done) = 0;
  virtual void SendOrder(const EngineOrder& order,
                         std::function<void(OrderResult)> done) = 0;
};

}  // namespace bambooquay
