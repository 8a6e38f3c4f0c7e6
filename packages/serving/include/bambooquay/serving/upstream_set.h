// The upstreams that an entry knows, what it believes of each, and the choice
// of one for a call.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/random.h"
#include "bambooquay/serving/call_codec.h"
#include "bambooquay/serving/prompt_cache_view.h"
#include "bambooquay/serving/upstream_record.h"

namespace bambooquay {

/// How an attempt at an upstream ended, as far as it tells of the upstream.
enum class AttemptEnd : std::uint8_t {
  kServed,
  kShed,         ///< Full or busy; has not run the request.
  kNotThere,     ///< Another instance, or the model is not on it.
  kUnreachable,  ///< No connection could be made.
  kBroken,       ///< The connection or the response broke.
  kFailed,       ///< A failure of its own.
  kTimedOut,     ///< Silent for too long.
  kCancelled,    ///< Ended from this side; tells nothing.
};

/// What a call needs of an upstream.
struct PickQuery {
  ServiceName service;
  ModelName model;
  AdapterName adapter;
  PromptPrefixes prompt;  ///< Empty where nothing is kept.
  double prompt_tokens = 0.0;
  std::size_t body_bytes = 0;
  std::set<UpstreamId> excluded;  ///< Tried already.
};

/// Why no upstream was chosen.
enum class PickFailure : std::uint8_t {
  kNoUpstream,      ///< None of the service is known, or all are leaving.
  kModelMissing,    ///< None holds the model.
  kAdapterMissing,  ///< Some hold the model, none the adapter.
  kFull,            ///< All that could serve it are full, cold or failing.
};

/// How far the upstreams of a service came in one choice.
struct PickCounts {
  int usable = 0;  ///< Listed, and not leaving or in a data centre that is out.
  int holding = 0;       ///< Of these, with the model.
  int with_adapter = 0;  ///< Of these, with the adapter.
  int avoided = 0;       ///< Of these, tried already or failing.
  int full = 0;          ///< Of these, with too many calls.
  int cold = 0;          ///< Of those left, cold.
};

struct Upstream {
  UpstreamRecord record;
  bool listed = true;
  /// An engine with an agent beside it, not a plain service.
  bool has_engine = false;
  /// When the list dropped it while the store had been away; it is given this
  /// long to come back.
  std::optional<TimePoint> gone_at;
  /// A later one has its address.
  bool superseded = false;
  /// Told by its own responses.
  bool leaving = false;
  TimePoint cold_until{};
  double cold_level = 0.0;
  TimePoint cold_refilled_at{};
  /// Permits of its agent that are not used yet, by when they expire.
  std::vector<TimePoint> cold_grants;
  /// Its agent has no permit before this time.
  TimePoint cold_denied_until{};

  std::optional<EngineReport> report;
  TimePoint reported_at{};
  /// Calls sent from here that have not ended.
  int in_flight = 0;
  /// Calls sent from here since the last report.
  int sent_since_report = 0;
  /// Exponentially weighted share of failed attempts.
  double failure_share = 0.0;
  int failures_in_row = 0;
  TimePoint avoid_until{};
  TimePoint last_failure_at{};
  /// Models or adapters that answered "not here", until when to believe it.
  std::unordered_map<std::string, TimePoint> missing;
  /// Adapters that were loaded on request, ahead of the next report.
  std::set<std::string> fresh_adapters;
  PromptCacheView cache;
};

/// All upstreams of all services.
class UpstreamSet {
 public:
  /// @param is_connected  tells whether a call to an address needs no new
  ///   connection.
  UpstreamSet(const Clock& clock, RandomSource& random,
              DataCentreId own_data_centre,
              std::function<bool(const Endpoint&)> is_connected);

  void Put(const UpstreamRecord& record);
  /// @param grace  how long the upstream may still be used: for an entry that
  ///   lapsed while the store was away.
  void Remove(const UpstreamId& id, Duration grace);
  void SetReport(const UpstreamId& id, const EngineReport& report);
  /// The same for a report without its lists, which stay as they are.
  void SetBriefReport(const UpstreamId& id, const EngineReport& report);
  void SetDataCentreOut(const DataCentreId& data_centre, bool out);
  /// @param self  this entry.
  /// @param entries  all entries that may be serving, this one included.
  void SetEntries(const InstanceId& self, std::vector<InstanceId> entries);
  void SetColdRate(const ServiceName& service, double requests_per_second);
  /// Sets which services are served by engines.
  void SetEngineServices(std::set<ServiceName> services);
  void MarkLeaving(const UpstreamId& id);
  void MarkMissing(const UpstreamId& id, const ModelName& model,
                   const AdapterName& adapter);
  void MarkAdapterLoaded(const UpstreamId& id, const ModelName& model,
                         const AdapterName& adapter);
  /// Expires grace periods.
  void Tick();

  /// Chooses an upstream; Began() must follow before the next choice.
  [[nodiscard]] std::variant<UpstreamId, PickFailure> Pick(
      const PickQuery& query);
  /// @returns what the last choice was made from.
  [[nodiscard]] const PickCounts& last_counts() const noexcept {
    return m_last_counts;
  }
  /// Chooses an upstream that holds the model, for loading an adapter.
  [[nodiscard]] std::optional<UpstreamId> PickForAdapter(
      const PickQuery& query);
  /// Chooses a cold engine whose agent is worth asking for a permit.
  [[nodiscard]] std::optional<UpstreamId> PickForPermit(const PickQuery& query);
  /// Notes that its agent permits one request now.
  void GrantCold(const UpstreamId& id);
  /// Notes that its agent has no permit for this long.
  void DenyCold(const UpstreamId& id, Duration wait);
  /// @returns the time until an upstream that is only cold bears any load;
  ///   nothing if there is none.
  [[nodiscard]] std::optional<Duration> TimeUntilWarm(const PickQuery& query);
  void Began(const UpstreamId& id, const PickQuery& query);
  void Ended(const UpstreamId& id, const PickQuery& query, AttemptEnd end);

  [[nodiscard]] const Upstream* Find(const UpstreamId& id) const;
  [[nodiscard]] const std::unordered_map<UpstreamId, Upstream>& all()
      const noexcept {
    return m_upstreams;
  }
  [[nodiscard]] bool IsDataCentreOut(const DataCentreId& data_centre) const {
    return m_centres_out.contains(data_centre);
  }
  /// @returns whether new calls may be sent to `upstream` at all.
  [[nodiscard]] bool Usable(const Upstream& upstream) const;
  /// @returns whether its agent has reported lately.
  [[nodiscard]] bool HasFreshReport(const Upstream& upstream) const;
  /// @returns the time since its last report, if there is one.
  [[nodiscard]] std::optional<Duration> ReportAge(
      const Upstream& upstream) const;
  /// @returns what it holds: as reported lately, or as listed.
  [[nodiscard]] const std::vector<ResidentModel>& Models(
      const Upstream& upstream) const;
  /// @returns an estimate of the calls at the upstream from all entries.
  [[nodiscard]] double Load(const Upstream& upstream) const;

 private:
  struct Candidate {
    Upstream* upstream = nullptr;
    double cost = 0.0;
  };

  [[nodiscard]] std::vector<Candidate> FindCandidates(const PickQuery& query);
  void PreferByPrompt(std::vector<Candidate>& candidates,
                      const PickQuery& query) const;
  /// Marks whichever of `newest` and others at its address was born first.
  void Supersede(const Upstream& newest);
  [[nodiscard]] bool Holds(const Upstream& upstream,
                           const ModelName& model) const;
  [[nodiscard]] bool HoldsAdapter(const Upstream& upstream,
                                  const ModelName& model,
                                  const AdapterName& adapter) const;
  [[nodiscard]] bool KnownMissing(const Upstream& upstream,
                                  const std::string& what) const;
  [[nodiscard]] double Cost(const Upstream& upstream,
                            const PickQuery& query) const;
  [[nodiscard]] bool TakeColdPermit(Upstream& upstream);
  [[nodiscard]] bool TakeGrant(Upstream& upstream) const;
  /// @returns whether the upstream is cold and what it bears is limited.
  [[nodiscard]] bool IsColdLimited(const Upstream& upstream) const;
  /// @returns how many entries may send to this cold upstream, or nothing if
  /// this entry is not one of them.
  /// @param most  entries that may.
  [[nodiscard]] std::optional<std::size_t> ColdSenders(const UpstreamId& id,
                                                       std::size_t most) const;

  const Clock& m_clock;
  RandomSource& m_random;
  DataCentreId m_own;
  std::function<bool(const Endpoint&)> m_is_connected;
  InstanceId m_self;
  std::vector<InstanceId> m_entries;
  std::unordered_map<UpstreamId, Upstream> m_upstreams;
  std::set<DataCentreId> m_centres_out;
  PickCounts m_last_counts;
  std::unordered_map<ServiceName, double> m_cold_rates;
  std::set<ServiceName> m_engine_services;
};

}  // namespace bambooquay
