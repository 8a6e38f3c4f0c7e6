// The agent on a hosted platform: reports its engine's state to the entries
// and is the only one that gives the engine orders.
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
#include "bambooquay/serving/cold_permits.h"
#include "bambooquay/serving/document_codec.h"
#include "bambooquay/serving/engine_memory_plan.h"
#include "bambooquay/serving/load_ledger.h"
#include "bambooquay/serving/order_count.h"
#include "bambooquay/serving/report_subscribers.h"
#include "bambooquay/serving/serving_settings.h"
#include "bambooquay/serving/table_mirror.h"

namespace bambooquay {

struct ServingAgentDeps {
  EventLoop& loop;
  const DocumentCodec& documents;
  FleetTable& table;
  EngineClient& engine;
  Metrics& metrics;
  RandomSource& random;
};

/// Invariants: at most one order is under way; each order names the number of
/// orders that the engine has accepted, so that one carried out late, after
/// another, is refused.
class ServingAgent {
 public:
  ServingAgent(const ServingSettings& settings, const ServingAgentDeps& deps);

  [[nodiscard]] bool Start();
  [[nodiscard]] std::string NotReadyReason() const;
  [[nodiscard]] std::string StatusJson() const;
  /// Applies what may change in a running process: the window of loads.
  void Reload(const ServingSettings& settings) {
    m_settings.load_window = settings.load_window;
  }

 private:
  void RegisterGauges();

  /// One report, encoded with and without its lists when first needed.
  struct ReportForms {
    std::string full;
    std::string brief;
  };
  struct AdapterJob {
    AdapterRequest request;
    Endpoint from;
    TimePoint received_at{};
  };

  void Receive(const Endpoint& from, std::string_view bytes);
  void HandleTarget(const Endpoint& from, const InstanceId& sender,
                    const EngineTarget& target);
  void HandleAdapterRequest(const Endpoint& from,
                            const AdapterRequest& request);
  /// A model in the target that the configuration lacks is in a newer one.
  void LookForUnknownModels();
  void HandlePermitRequest(const Endpoint& from, const PermitRequest& request);
  void HandleOperatorRow(const TableRow& row);
  void Poll();
  void HandleReport(const EngineReport& report);
  /// Sends the report to all entries that want it.
  void Broadcast();
  void SendReport(ReportSubscribers::Subscriber& subscriber,
                  ReportForms& forms);
  /// Numbers the report's lists anew if they have changed.
  void NumberLists();
  /// Starts the next order, if one is due.
  void Reconcile();
  bool ReconcileAdapters();
  void ReconcileModels();
  void AcquireFence();
  void StartOrder(const PlannedOrder& order);
  void HandleOrderResult(const EngineOrder& order, OrderResult result);
  /// Applies an accepted order to the report, which lags behind.
  void NoteAccepted(const EngineOrder& order);
  void Reply(const AdapterJob& job, bool loaded);
  void TouchAdapter(const std::string& key);
  /// @returns the service of the engine, if a configuration names it.
  [[nodiscard]] const ServingService* Service() const;
  [[nodiscard]] const EngineProfile* Profile() const;

  ServingSettings m_settings;
  ServingAgentDeps m_deps;
  std::uint64_t m_incarnation;
  DatagramSocket m_socket;
  TableMirror m_operator_rows;
  LoadLedger m_ledger;
  ColdPermits m_cold_permits;
  std::optional<FleetConfiguration> m_configuration;
  ReportSubscribers m_subscribers;
  UpstreamId m_upstream;
  std::optional<EngineReport> m_report;
  TimePoint m_reported_at{};
  /// Of the lists in the report: their number, and the text they were encoded
  /// as.
  std::uint64_t m_lists = 0;
  std::string m_lists_text;
  /// The last target and who sent it.
  std::optional<std::vector<ModelName>> m_target;
  TimePoint m_target_at{};
  std::deque<AdapterJob> m_jobs;
  std::deque<std::string> m_adapter_use;
  std::optional<EngineOrder> m_order;
  bool m_order_in_flight = false;
  OrderCount m_orders;
  int m_refused_in_row = 0;
  std::uint64_t m_fencing_token = 0;
  bool m_fence_pending = false;
  bool m_report_pending = false;
  int m_reports_missed = 0;
  std::unique_ptr<Timer> m_poll;
  std::unique_ptr<Timer> m_retry;
};

}  // namespace bambooquay
