// The entry on a hosted platform: accepts callers' requests and forwards them
// to upstreams.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/buffer_budget.h"
#include "bambooquay/runtime/freeze_detector.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/serving/demand_meter.h"
#include "bambooquay/serving/document_codec.h"
#include "bambooquay/serving/fleet_contact.h"
#include "bambooquay/serving/fleet_planner.h"
#include "bambooquay/serving/forwarded_call.h"
#include "bambooquay/serving/peer_exchange.h"
#include "bambooquay/serving/quarantine_table.h"
#include "bambooquay/serving/serving_settings.h"
#include "bambooquay/serving/shared_table.h"
#include "bambooquay/serving/stream_origin_table.h"
#include "bambooquay/serving/stream_route_history.h"
#include "bambooquay/serving/table_mirror.h"
#include "bambooquay/serving/table_relay.h"

namespace bambooquay {

/// Objects that an entry uses. They must outlive it.
struct ServingEntryDeps {
  EventLoop& loop;
  const CallCodec& call_codec;
  const DocumentCodec& document_codec;
  FleetTable& table;
  Metrics& metrics;
  RandomSource& random;
};

/// Serves callers, exchanges state with the other entries and the agents,
/// follows the store's tables, and plans placement if it is this entry's turn.
class ServingEntry {
 public:
  ServingEntry(const ServingSettings& settings, const ServingEntryDeps& deps);
  ~ServingEntry();

  /// @returns whether all addresses could be bound.
  [[nodiscard]] bool Start();
  /// Starts to drain. `done` runs when all calls have ended and no new ones are
  /// expected, or shortly before the drain limit.
  void Drain(std::function<void()> done);
  /// @returns the port that is bound; differs from the settings if those say 0.
  [[nodiscard]] std::uint16_t caller_port() const { return m_server.port(); }
  [[nodiscard]] std::uint16_t readiness_port() const {
    return m_readiness_server.port();
  }
  /// Applies the settings that may change while the entry runs.
  void Reload(const ServingSettings& settings);
  /// @returns why the entry should get no new connections; empty if it is
  ///   ready.
  [[nodiscard]] std::string NotReadyReason() const;
  [[nodiscard]] std::string StatusJson() const;
  [[nodiscard]] const UpstreamSet& upstreams() const noexcept {
    return m_upstreams;
  }
  /// @returns the configuration in force; null before the first one.
  [[nodiscard]] const FleetConfiguration* configuration() const noexcept {
    return m_active_configuration == nullptr
               ? nullptr
               : &m_active_configuration->configuration;
  }
  using DemandByDataCentre = std::map<DataCentreId, std::vector<ModelDemand>>;
  /// @returns the demand of callers by the data centre of the entries that got
  ///   their calls; nothing if another entry plans placement, which alone gets
  ///   it.
  [[nodiscard]] std::optional<DemandByDataCentre> Demand();
  /// Counts the runs of calls that start from now on.
  /// @param runs  must outlive this entry.
  void SetRunSink(RunSink& runs) { m_context.runs = &runs; }
  [[nodiscard]] PeerExchange& peer_exchange() noexcept { return m_peers; }
  [[nodiscard]] bool is_draining() const noexcept {
    return m_draining_since.has_value();
  }

 private:
  void HandleRequest(std::shared_ptr<HttpExchange> exchange);
  /// Runs `action`, which may end the call, for each call in progress.
  void ForEachCall(const std::function<void(ForwardedCall&)>& action);
  /// @returns the entry that reads the store for this data centre; nothing if
  ///   each reads for itself.
  [[nodiscard]] std::optional<InstanceId> ReaderOfDataCentre() const;
  /// @returns the address of the entry that reads the store for this data
  ///   centre; nothing if this entry reads for itself.
  [[nodiscard]] std::optional<Endpoint> TableReader() const;
  /// @returns the limits of a configuration, together with the connections and
  ///   the memory that this process has for callers.
  [[nodiscard]] HttpServerLimits CallerLimits(
      const HttpServerLimits& configured) const;
  /// @returns the name of the organisation whose API key is among the headers,
  ///   or an empty string.
  [[nodiscard]] std::string OrganisationOf(const HttpHeaders& headers) const;
  void HandleOperatorRow(const TableRow& row);
  void HandleUpstreamRow(const TableRow& row);
  void HandleMemberRow(const TableRow& row);
  void ApplyConfiguration(const TableRow& row);
  void RegisterMember();
  void RegisterGauges();
  /// Reads the tables again if peers have had newer rows of the operators for a
  /// while.
  void FetchTablesIfBehind();
  /// Sets how long watches of the operators' rows may wait. Where another entry
  /// reads the lists, that one watches closely and this one's watches are long,
  /// which saves calls to the store.
  void UpdateWatchTimes();
  void Tick();
  /// Records by how much the event loop is late.
  void ObserveLoopDelay();
  void Plan();
  /// Records which software versions are listed, and which services share the
  /// streams of a route.
  void NoteStreamOrigins();
  /// @returns whether the entry drains and takes no more calls.
  [[nodiscard]] bool RefusesCalls() const;
  /// Ends draining once all calls have ended or the drain limit is near.
  void CheckDrained();
  /// @param now  by which the limits are judged: all input that had arrived
  ///   then was handled.
  void EndDrainIfDue(TimePoint now);
  [[nodiscard]] RetryBudget& RetryBudgetFor(const ServiceName& service);
  [[nodiscard]] EntryStatus MakeStatus();
  /// @returns what this entry hears of the others and of the store.
  [[nodiscard]] FleetContact Contact() const;
  /// @returns the version of the configuration in force; 0 without one.
  [[nodiscard]] std::uint64_t ActiveVersion() const;
  /// @returns whether a peer that is not silent sends streams to other
  ///   services, as its configuration is newer or older.
  [[nodiscard]] bool HasOtherStreamRoutes() const;
  /// @returns whether this entry knows all services and software versions that
  ///   streams may begin at now.
  [[nodiscard]] bool KnowsStreamOrigins() const;
  /// @returns whether this entry tries a part of prompts again, the choice of
  ///   which all entries agree on without communication.
  [[nodiscard]] bool MakesTrial(PromptPartId part, std::uint64_t turn) const;

  ServingSettings m_settings;
  ServingEntryDeps m_deps;
  TimePoint m_started_at;
  TimePoint m_last_tick_at;
  /// When the event loop last ran on after it had stood still.
  std::optional<TimePoint> m_paused_until;
  UpstreamSet m_upstreams;
  FleetAllowance m_allowance;
  PromptQuarantine m_quarantine;
  StreamOrigins m_stream_origins;
  StreamRouteHistory m_stream_routes;
  DemandMeter m_demand;
  FleetPlanner m_planner;
  BufferBudget m_response_buffers;
  HttpClient m_client;
  PeerExchange m_peers;
  ServingContext m_context;
  /// What this entry has spent of one organisation's allowance.
  struct SpentTotal {
    Tokens tokens;
    TimePoint changed_at{};
  };

  std::map<OrganisationId, SpentTotal> m_spent_totals;
  std::unordered_map<ServiceName, RetryBudget> m_budgets;
  std::shared_ptr<const ActiveConfiguration> m_active_configuration;
  std::list<std::unique_ptr<ForwardedCall>> m_calls;
  PeerTable m_peer_table;
  PeerTable m_reader_table;
  /// For the tables that change all the time. Operators' rows are rare, and a
  /// withdrawn key must not wait for another entry, so each entry reads them
  /// itself.
  SharedTable m_shared_table;
  TableRelay m_table_relay;
  StreamOriginTable m_stream_origin_table;
  QuarantineTable m_quarantine_table;
  ExpiryGrace m_expiry_grace;
  TableMirror m_operator_rows;
  TableMirror m_upstream_rows;
  TableMirror m_member_rows;
  /// All table mirrors.
  std::array<TableMirror*, 3> m_mirrors = {&m_operator_rows, &m_upstream_rows,
                                           &m_member_rows};
  HttpServer m_server;
  HttpServer m_readiness_server;
  HttpServer m_table_server;
  FreezeDetector m_freeze_detector;
  /// Since when a peer has had a newer configuration.
  std::optional<TimePoint> m_behind_since;
  /// Whether another entry read the store for this data centre at the last
  /// tick.
  bool m_has_reader = false;
  std::optional<TimePoint> m_draining_since;
  /// Runs when draining has ended.
  std::function<void()> m_on_drained;
  int m_idle_ticks = 0;
  bool m_has_stopped_listening = false;
  std::unique_ptr<Timer> m_drain_timer;
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_plan_timer;
  std::unique_ptr<Timer> m_origins_timer;
  /// Plans ahead of m_plan_timer, after the first report of an engine.
  std::unique_ptr<Timer> m_early_plan_timer;
  std::unique_ptr<Timer> m_register_timer;
};

}  // namespace bambooquay
