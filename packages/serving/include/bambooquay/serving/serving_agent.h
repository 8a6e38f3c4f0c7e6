// The agent on a hosted platform: forwards its engine's reports to the entries
// and is the only process that sends orders to the engine.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bambooquay/peers/status_messages.h"
#include "bambooquay/runtime/datagram_socket.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/scheduling/engine_work_estimator.h"
#include "bambooquay/serving/document_codec.h"
#include "bambooquay/serving/engine_memory_plan.h"
#include "bambooquay/serving/engine_rooms.h"
#include "bambooquay/serving/model_load_limiter.h"
#include "bambooquay/serving/order_count.h"
#include "bambooquay/serving/permit_issuer.h"
#include "bambooquay/serving/report_subscribers.h"
#include "bambooquay/serving/serving_settings.h"
#include "bambooquay/serving/table_mirror.h"

namespace bambooquay {

struct ServingAgentDeps {
  EventLoop& loop;
  const DocumentCodec& document_codec;
  FleetTable& table;
  EngineClient& engine;
  Metrics& metrics;
  RandomSource& random;
};

/// Forwards the reports of one engine to the entries that have contacted the
/// agent, and orders the engine to load and unload models and adapters as the
/// entries request.
///
/// Invariants: at most one order is in progress at a time. Each order states
/// the number of orders that the engine has accepted so far. The engine
/// therefore refuses an order that is delayed and arrives after a later one.
class ServingAgent {
 public:
  ServingAgent(const ServingSettings& settings, const ServingAgentDeps& deps);

  /// @returns whether the socket for datagrams could be bound.
  [[nodiscard]] bool Start();
  /// @returns why the agent is not ready; empty if it is ready.
  [[nodiscard]] std::string NotReadyReason() const;
  [[nodiscard]] std::string StatusJson() const;
  /// Applies the settings that may change in a running process: the load
  /// window.
  void Reload(const ServingSettings& settings) {
    m_settings.load_window = settings.load_window;
  }

 private:
  void RegisterGauges();

  /// One report with and without its lists, each encoded when first needed.
  struct EncodedReports {
    std::string with_lists;
    std::string without_lists;
  };
  /// An adapter request that the agent has not replied to yet.
  struct AdapterJob {
    AdapterRequest request;
    Endpoint sender_address;
    TimePoint received_at{};
  };

  void HandleDatagram(const Endpoint& sender_address, std::string_view bytes);
  void HandleTarget(const Endpoint& sender_address, const InstanceId& sender,
                    const EngineTarget& target);
  void HandleAdapterRequest(const Endpoint& sender_address,
                            const AdapterRequest& request);
  /// Reads the configuration at once if it lacks a model of the target: the
  /// entry that planned the target must have a newer configuration.
  void RefreshConfigurationIfModelUnknown();
  void HandlePermitRequest(const Endpoint& sender_address,
                           const PermitRequest& request);
  /// @returns what the configuration says of the room on the engine.
  [[nodiscard]] RoomBounds FindRoomBounds() const;
  void HandleOperatorRow(const TableRow& row);
  /// Fetches the engine's report, unless a fetch is still pending.
  void Poll();
  void HandleReport(const EngineReport& report);
  /// Sends the report to all subscribed entries.
  void Broadcast();
  void SendReport(ReportSubscribers::Subscriber& subscriber,
                  EncodedReports& encoded);
  /// Increments the lists version if the report's lists have changed.
  void UpdateListsVersion();
  /// Starts the next order, if one is needed and possible.
  void Reconcile();
  /// Replies to the adapter requests that need no order or cannot be carried
  /// out, and starts the next order for the others.
  /// @returns whether an order was started.
  bool ReconcileAdapters();
  void ReconcileModels();
  void AcquireFencingToken();
  void StartOrder(const PlannedOrder& planned);
  void HandleOrderResult(const EngineOrder& order, OrderResult result);
  /// Applies the effect of an accepted order to the last report, which does not
  /// show it yet.
  void ApplyAcceptedOrder(const EngineOrder& order);
  void SendAdapterReply(const AdapterJob& job, bool loaded);
  void MarkAdapterUsed(const std::string& key);
  /// @returns the service of the engine, or nullptr if the configuration is not
  ///   known yet or lacks the service.
  [[nodiscard]] const ServingService* FindService() const;
  /// @returns the profile of that service's engines, or nullptr without one.
  [[nodiscard]] const EngineProfile* FindProfile() const;

  ServingSettings m_settings;
  ServingAgentDeps m_deps;
  std::uint64_t m_incarnation;
  DatagramSocket m_socket;
  TableMirror m_operator_rows;
  ModelLoadLimiter m_load_limiter;
  PermitIssuer m_permits;
  EngineWorkEstimator m_work;
  EngineRooms m_rooms;
  std::optional<FleetConfiguration> m_configuration;
  ReportSubscribers m_subscribers;
  UpstreamId m_upstream;
  std::optional<EngineReport> m_report;
  TimePoint m_report_received_at{};
  /// Version of the lists in the report, and their encoded form.
  std::uint64_t m_lists_version = 0;
  std::string m_encoded_lists;
  /// The last target received from the entry that plans placement.
  std::optional<std::vector<ModelName>> m_target;
  TimePoint m_target_received_at{};
  std::deque<AdapterJob> m_adapter_jobs;
  /// Adapters as `model/adapter`, least recently requested first.
  std::deque<std::string> m_adapters_by_last_use;
  /// The order that was sent last, until its outcome is known.
  std::optional<EngineOrder> m_unconfirmed_order;
  bool m_order_in_flight = false;
  OrderCount m_order_count;
  int m_consecutive_refused_orders = 0;
  /// 0 until one has been acquired; no order is sent before.
  std::uint64_t m_fencing_token = 0;
  bool m_fencing_token_pending = false;
  bool m_report_pending = false;
  int m_consecutive_missed_reports = 0;
  std::unique_ptr<Timer> m_poll_timer;
  std::unique_ptr<Timer> m_retry_timer;
};

}  // namespace bambooquay
