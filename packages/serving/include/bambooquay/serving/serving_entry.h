// The entry on a hosted platform: takes callers' requests and forwards them.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/freeze_detector.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/serving/demand_meter.h"
#include "bambooquay/serving/document_codec.h"
#include "bambooquay/serving/fleet_planner.h"
#include "bambooquay/serving/forwarded_call.h"
#include "bambooquay/serving/peer_exchange.h"
#include "bambooquay/serving/serving_settings.h"
#include "bambooquay/serving/table_mirror.h"
#include "bambooquay/serving/table_relay.h"

namespace bambooquay {

/// What an entry needs from outside.
struct ServingEntryDeps {
  EventLoop& loop;
  const CallCodec& calls;
  const DocumentCodec& documents;
  FleetTable& table;
  Metrics& metrics;
  RandomSource& random;
};

class ServingEntry {
 public:
  ServingEntry(const ServingSettings& settings, const ServingEntryDeps& deps);
  ~ServingEntry();

  /// @returns whether all addresses could be bound.
  [[nodiscard]] bool Start();
  /// Stops taking new work; `done` runs when all calls have ended.
  void Drain(std::function<void()> done);
  /// @returns the ports that are bound, also where the settings have 0.
  [[nodiscard]] std::uint16_t caller_port() const { return m_server.port(); }
  [[nodiscard]] std::uint16_t readiness_port() const {
    return m_readiness.port();
  }
  /// Takes over settings that may change while running.
  void Reload(const ServingSettings& settings);
  /// @returns why the entry should get no new connections, or "".
  [[nodiscard]] std::string NotReadyReason() const;
  [[nodiscard]] std::string StatusJson() const;

 private:
  void Serve(std::shared_ptr<HttpExchange> exchange);
  /// Answers another entry with a copy of a table.
  void Relay(HttpExchange& exchange) const;
  void HandleOperatorRow(const TableRow& row);
  void HandleUpstreamRow(const TableRow& row);
  void HandleMemberRow(const TableRow& row);
  void ApplyConfiguration(const TableRow& row);
  void RegisterMember();
  void RegisterGauges();
  /// Asks a peer for the tables if it has had a newer version for a while.
  void CatchUp();
  void Tick();
  void Plan();
  void CheckDrained();
  [[nodiscard]] RetryBudget& BudgetOf(const ServiceName& service);
  [[nodiscard]] EntryStatus MakeStatus();
  [[nodiscard]] Duration VanishedGrace() const;

  ServingSettings m_settings;
  ServingEntryDeps m_deps;
  UpstreamSet m_upstreams;
  FleetAllowance m_allowance;
  DemandMeter m_demand;
  FleetPlanner m_planner;
  HttpClient m_client;
  PeerExchange m_peers;
  ServingContext m_context;
  struct SpentTotal {
    Tokens tokens;
    TimePoint changed_at{};
  };

  std::map<OrganisationId, SpentTotal> m_spent;
  std::unordered_map<ServiceName, RetryBudget> m_budgets;
  std::shared_ptr<const ActiveConfiguration> m_active;
  std::list<std::unique_ptr<ForwardedCall>> m_calls;
  PeerTable m_peer_table;
  TableMirror m_operator_rows;
  TableMirror m_upstream_rows;
  TableMirror m_member_rows;
  /// All three.
  std::array<TableMirror*, 3> m_mirrors = {&m_operator_rows, &m_upstream_rows,
                                           &m_member_rows};
  HttpServer m_server;
  HttpServer m_readiness;
  HttpServer m_relay;
  FreezeDetector m_freezes;
  std::optional<TimePoint> m_store_regained_at;
  std::optional<TimePoint> m_behind_since;
  std::optional<TimePoint> m_draining_since;
  std::function<void()> m_drained;
  int m_idle_ticks = 0;
  std::unique_ptr<Timer> m_tick;
  std::unique_ptr<Timer> m_plan_timer;
  /// Runs when an engine's first report is to be planned for.
  std::unique_ptr<Timer> m_plan_soon;
  std::unique_ptr<Timer> m_register_timer;
};

}  // namespace bambooquay
