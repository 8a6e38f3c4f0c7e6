// The upstreams that an entry knows, their estimated state, and the choice of
// one for a call.
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
#include "bambooquay/core/engine_work.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/random.h"
#include "bambooquay/scheduling/data_centre_policy.h"
#include "bambooquay/scheduling/engine_choice.h"
#include "bambooquay/scheduling/engine_work_view.h"
#include "bambooquay/serving/call_codec.h"
#include "bambooquay/serving/prompt_cache_view.h"
#include "bambooquay/serving/stall_policy.h"
#include "bambooquay/serving/upstream_notices.h"
#include "bambooquay/serving/upstream_record.h"

namespace bambooquay {

/// The result of an attempt, as far as it says something about the upstream.
enum class AttemptResult : std::uint8_t {
  kServed,
  kShed,         ///< Rejected under load; the request has not run.
  kMisdirected,  ///< Another instance answered, or the model is not loaded.
  kUnreachable,  ///< No connection could be made.
  kBroken,       ///< The connection broke or the response was invalid.
  kFailed,       ///< The upstream answered with a server error.
  kTimedOut,     ///< No response or event in time.
  kCancelled,    ///< Ended by the entry or the caller, not the upstream.
};

/// A call's requirements on an upstream.
struct PickQuery {
  ServiceName service;
  ModelName model;        ///< Empty for plain services.
  AdapterName adapter;    ///< Empty for the base model.
  PromptPrefixes prompt;  ///< Empty if the service has no prompt cache.
  double prompt_tokens = 0.0;
  int events = 0;  ///< Expected of the response; 0 if it is not a stream.
  CallNeeds needs;
  std::size_t body_bytes = 0;
  /// Whether the call can wait until its adapter is loaded on another engine.
  bool may_load_adapter = false;
  /// Whether the call can wait for a permit.
  bool may_request_permit = false;
  /// The upstream for which a permit was granted to this call.
  std::optional<UpstreamId> permitted;
  std::set<UpstreamId> excluded;  ///< Upstreams that were tried already.
  /// The only one that may serve the call: that which began its stream.
  std::optional<SoftwareVersion> software_version;
};

/// Why no upstream was chosen.
enum class PickFailure : std::uint8_t {
  kNoUpstream,      ///< The service has no usable upstream.
  kModelMissing,    ///< No upstream has the model.
  kAdapterMissing,  ///< Some upstreams have the model, but not the adapter.
  /// The upstreams with the adapter are so busy that another one would serve
  /// the call sooner, even after loading the adapter.
  kAdapterCrowded,
  kFull,  ///< All that could serve it are full, cold, limited or failing.
};

/// The best upstream names a call limit. A permit is needed to send to it.
struct PermitNeeded {
  UpstreamId upstream;
};

using PickResult = std::variant<UpstreamId, PickFailure, PermitNeeded>;

/// How many upstreams of a service passed or failed each filter of one choice.
struct PickCounts {
  int usable = 0;        ///< May get calls at all, see UpstreamSet::IsUsable().
  int with_model = 0;    ///< Of the usable ones, those with the model.
  int with_adapter = 0;  ///< Of those with the model, those with the adapter.
  /// Of these, those that were tried, are avoided, or want no calls.
  int avoided = 0;
  /// Of the avoided ones, those without a sign of life that have a call.
  int silent = 0;
  int full = 0;     ///< Of the others, those with too many calls.
  int limited = 0;  ///< Of the remaining ones, those that denied a permit.
  int cold = 0;     ///< Of the remaining ones, those that are cold.
};

/// What an entry knows of one upstream.
struct Upstream {
  UpstreamRecord record;
  /// Whether the store's table still has it; if not, it stays until its calls
  /// end.
  bool listed = true;
  /// An engine with an agent beside it, as opposed to a plain service.
  bool has_engine = false;
  /// Set if its row was deleted while the store was unreachable, or soon after:
  /// it is removed at this time unless it is listed again.
  std::optional<TimePoint> removal_at;
  /// A newer upstream is listed at its address.
  bool superseded = false;
  /// A response from its address came from another instance.
  bool replaced = false;
  TimePoint cold_until{};
  /// Token bucket for requests without a permit while the upstream's rate is
  /// limited.
  double unpermitted_level = 0.0;
  TimePoint unpermitted_refilled_at{};
  /// Expiry times of the unused permits to send to it.
  std::vector<TimePoint> permit_expiries;
  /// No permit is requested for it before this time.
  TimePoint permit_denied_until{};
  /// When the next permit should be available, by the last denial.
  TimePoint permit_expected_at{};

  std::optional<EngineReport> report;
  TimePoint reported_at{};
  /// When room on it is expected, by the last denial.
  TimePoint room_expected_at{};
  /// Its agent has left a request for room unanswered and gets none before this
  /// time.
  TimePoint no_room_requests_until{};
  EngineWorkView work;
  /// Calls from this entry that have not ended.
  int in_flight = 0;
  /// When this entry last sent a call to it.
  TimePoint last_attempt_at{};
  /// When any call from this entry last got a part of its response.
  TimePoint last_progress_at{};
  /// When the first of the calls in progress was sent.
  TimePoint in_use_since{};
  /// Calls sent from this entry since the last report.
  int sent_since_report = 0;
  /// Exponentially weighted share of failed attempts.
  double failure_share = 0.0;
  int failures_in_row = 0;
  /// It gets no calls before this time: it cannot be reached, gives no sign of
  /// life, or has just rejected a call under load.
  TimePoint avoid_until{};
  /// It fails calls but answers or reports: until this time it gets only calls
  /// that no other upstream can take.
  TimePoint distrust_until{};
  TimePoint last_failure_at{};
  /// Models and adapters that it lacks according to its own responses, and
  /// until when this overrides its reports.
  std::unordered_map<std::string, TimePoint> missing_until;
  /// Adapters that were loaded on request since the last report.
  std::set<std::string> newly_loaded_adapters;
  PromptCacheView prompt_cache;
};

/// All upstreams of all services.
class UpstreamSet {
 public:
  /// @param is_connected  returns whether a call to an address needs no new
  ///   connection.
  UpstreamSet(const Clock& clock, RandomSource& random,
              DataCentreId own_data_centre,
              std::function<bool(const Endpoint&)> is_connected);

  /// Sets the clock by which upstreams and agents are silent, such as
  /// EventLoop::input_clock().
  void SetInputClock(const Clock& input_clock) noexcept {
    m_input_clock = &input_clock;
  }
  void Put(const UpstreamRecord& record);
  /// @param grace  how long the upstream may still be used. For an upstream
  ///   whose listing expired because the store was lost.
  void Remove(const UpstreamId& id, Duration grace);
  void SetReport(const UpstreamId& id, const EngineReport& report);
  /// Updates all of the report but the lists of models, which `report` omits.
  /// Ignored if there is no earlier report of the same incarnation.
  void MergeReport(const UpstreamId& id, const EngineReport& report);
  /// @param work  what the agent estimates; nothing if it does not.
  /// @param read  parts of prompts that the engine has read for any entry.
  void SetWork(const UpstreamId& id, const std::optional<EngineWork>& work,
               const PromptPrefixes& read = {});
  /// @returns whether calls to it should ask its agent for room first. Calls
  ///   that need a permit don't.
  [[nodiscard]] bool GivesOutRoom(const UpstreamId& id) const;
  /// Records that a request for room was denied, with `wait` as the time until
  /// room is expected.
  void RecordRoomDenial(const UpstreamId& id, Duration wait);
  void RecordRoomUnanswered(const UpstreamId& id);
  /// @returns whether a call that was chosen for an upstream a while ago may
  ///   still be sent to it. Charges the call to the upstream's permits.
  [[nodiscard]] bool TryAdmitLater(const UpstreamId& id,
                                   const PickQuery& query);
  void SetDataCentreDisabled(const DataCentreId& data_centre, bool disabled);
  /// @param self  id of this entry.
  /// @param entries  all entries that may be serving, this one included.
  void SetEntries(const InstanceId& self, std::vector<InstanceId> entries);
  /// @param requests_per_second  requests that a cold upstream can take from
  ///   all entries together; 0 means no limit.
  void SetColdRate(const ServiceName& service, double requests_per_second);
  /// Sets the services that are served by engines.
  void SetEngineServices(std::set<ServiceName> services);
  /// Records that another instance answered at the upstream's address.
  void MarkReplaced(const UpstreamId& id);
  /// @returns the upstream's present run, by its row and its reports; nothing
  /// if
  ///   it has ended or is not listed.
  [[nodiscard]] std::optional<UpstreamRun> FindRun(const UpstreamId& id) const;
  /// Records that the upstream lacks a model or adapter, contrary to its
  /// report.
  void MarkMissing(const UpstreamId& id, const ModelName& model,
                   const AdapterName& adapter);
  void MarkAdapterLoaded(const UpstreamId& id, const ModelName& model,
                         const AdapterName& adapter);
  /// Removes upstreams whose grace period has ended.
  void Tick();

  /// Chooses an upstream. RecordAttemptStart() must be called for it before the
  /// next choice.
  [[nodiscard]] PickResult Pick(const PickQuery& query);
  /// @returns the counts of the last choice.
  [[nodiscard]] const PickCounts& last_counts() const noexcept {
    return m_last_counts;
  }
  /// Chooses an upstream that has the model, but not the adapter, to load the
  /// adapter on it.
  [[nodiscard]] std::optional<UpstreamId> PickForAdapter(
      const PickQuery& query);
  /// Chooses a cold engine whose agent is worth asking for a permit.
  [[nodiscard]] std::optional<UpstreamId> PickForColdPermit(
      const PickQuery& query);
  /// @returns the bounds that a permit for the upstream has to be within.
  [[nodiscard]] PermitBounds BoundsOf(const UpstreamId& id) const;
  /// Records that one request may be sent to the upstream now.
  void AddPermit(const UpstreamId& id);
  /// Records that a permit was denied, with `wait` as the time until the next
  /// one.
  void RecordPermitDenial(const UpstreamId& id, Duration wait);
  /// @returns the time until an upstream is expected to take the query: zero if
  ///   that may be at any moment, nothing if no upstream can serve it.
  [[nodiscard]] std::optional<Duration> TimeUntilOffer(
      const PickQuery& query) const;
  /// @returns what upstreams have said of the calls that they take.
  [[nodiscard]] UpstreamNotices& notices() noexcept { return m_notices; }
  /// @returns the time until the first upstream that can serve the query but
  ///   is cold has warmed up; nothing if there is no such upstream.
  [[nodiscard]] std::optional<Duration> TimeUntilWarm(const PickQuery& query);
  void RecordAttemptStart(const UpstreamId& id, const PickQuery& query);
  /// Records that a call in progress has got a part of its response.
  void RecordProgress(const UpstreamId& id);
  void RecordAttemptResult(const UpstreamId& id, const PickQuery& query,
                           AttemptResult result);

  [[nodiscard]] const Upstream* Find(const UpstreamId& id) const;
  [[nodiscard]] const std::unordered_map<UpstreamId, Upstream>& all()
      const noexcept {
    return m_upstreams;
  }
  [[nodiscard]] bool IsDataCentreDisabled(
      const DataCentreId& data_centre) const {
    return m_disabled_data_centres.contains(data_centre);
  }
  /// @returns whether new calls may be sent to `upstream` at all.
  [[nodiscard]] bool IsUsable(const Upstream& upstream) const;
  /// @returns whether calls to `upstream` leave the entry's data centre.
  [[nodiscard]] bool IsElsewhere(const Upstream& upstream) const {
    return upstream.record.data_centre != m_own_data_centre;
  }
  /// @returns whether its last report is recent enough to rely on.
  [[nodiscard]] bool HasFreshReport(const Upstream& upstream) const;
  /// @returns the time since its last report, if there is one.
  [[nodiscard]] std::optional<Duration> ReportAge(
      const Upstream& upstream) const;
  /// @returns what the upstream has shown of itself in the last second.
  [[nodiscard]] SignOfLife FindSignOfLife(const Upstream& upstream) const;
  /// @returns the time for which all calls in progress from this entry have
  ///   got nothing; nothing if there is no call.
  [[nodiscard]] std::optional<Duration> SilentFor(
      const Upstream& upstream) const;
  /// @returns the models that it has: from its report if that is fresh, else
  ///   from its record in the store.
  [[nodiscard]] const std::vector<LoadedModel>& Models(
      const Upstream& upstream) const;
  /// @returns an estimate of the calls at the upstream, from all entries.
  [[nodiscard]] double EstimateLoad(const Upstream& upstream) const;
  /// @returns what the engine works on now; nothing without a recent estimate.
  [[nodiscard]] std::optional<EngineWork> WorkOf(
      const Upstream& upstream) const;
  /// @returns what the call takes on the engine and costs there, by its agent's
  ///   estimate; nothing if there is none that is recent.
  [[nodiscard]] std::optional<PredictedCost> Predict(
      const Upstream& upstream, const PickQuery& query) const;

 private:
  /// Limits what entries send to an upstream without a permit.
  struct UnpermittedShare {
    /// Share of the rate that all entries use together.
    double rate_share = 0.0;
    /// Number of entries that may send. Each can save up one request and send
    /// it at any moment, so more entries could exceed the rate together.
    std::size_t max_senders = 0;
  };
  // Less than the whole rate, so that entries that disagree on the number of
  // entries stay within it.
  static constexpr UnpermittedShare kShareWithoutAgent{0.9, 5};
  // For entries that cannot reach the agent, in addition to the permits that
  // the agent gives to others.
  static constexpr UnpermittedShare kShareWithUnreachableAgent{0.2, 2};

  struct Candidate {
    Upstream* upstream = nullptr;
    double cost = 0.0;  ///< Expected delay in milliseconds.
    std::optional<PredictedCost> predicted;
  };
  /// An upstream that could load an adapter.
  struct AdapterHost {
    UpstreamId id;
    double cost = 0.0;  ///< Expected delay in milliseconds.
  };

  /// @returns the best upstream to load the query's adapter on.
  [[nodiscard]] std::optional<AdapterHost> FindAdapterHost(
      const PickQuery& query) const;
  /// @param candidates  the upstreams that have the query's adapter.
  /// @returns whether to load the adapter on another upstream.
  [[nodiscard]] bool IsAdapterCrowded(
      const PickQuery& query, const std::vector<Candidate>& candidates) const;
  /// Also sets m_last_counts.
  [[nodiscard]] std::vector<Candidate> FindCandidates(const PickQuery& query);
  /// Lowers the cost of the candidate that prompts with these shared parts
  /// prefer. All entries agree on it without communication, so that such
  /// prompts meet in one engine's prompt cache.
  void ApplyPromptAffinity(std::vector<Candidate>& candidates,
                           const PickQuery& query) const;
  /// Marks all but the most recently started upstream at the address of
  /// `updated` as superseded.
  void MarkSuperseded(const Upstream& updated);
  [[nodiscard]] bool HasModel(const Upstream& upstream,
                              const ModelName& model) const;
  [[nodiscard]] bool HasAdapter(const Upstream& upstream,
                                const ModelName& model,
                                const AdapterName& adapter) const;
  /// @param key  name of a model, or AdapterKey() of an adapter.
  [[nodiscard]] bool IsKnownMissing(const Upstream& upstream,
                                    const std::string& key) const;
  /// @returns an estimate of the calls that other entries have sent since the
  ///   last report. They see the same reports and choose alike, so each is
  ///   assumed to have sent as many as this entry. Load it answers: without it,
  ///   all entries send to the least loaded engine until its next report, and
  ///   the prompts of such a burst pause all of its streams.
  [[nodiscard]] double EstimateUnreportedLoad(const Upstream& upstream) const;
  /// Raises the costs of either the candidates in this data centre or those in
  /// others, so that they are the last choice.
  void ChooseSide(std::vector<Candidate>& candidates, const PickQuery& query);
  /// @returns a candidate with its cost.
  [[nodiscard]] Candidate Weigh(Upstream& upstream,
                                const PickQuery& query) const;
  /// @param predicted  what Predict() returns for the query.
  [[nodiscard]] double Cost(
      const Upstream& upstream, const PickQuery& query,
      const std::optional<PredictedCost>& predicted) const;
  /// @returns the delay by the calls that the engine has, and by the call's own
  ///   prompt, in milliseconds, from constants instead of a prediction.
  [[nodiscard]] double UnpredictedDelay(const Upstream& upstream,
                                        const PickQuery& query) const;
  /// Sets the usual work of each service's engines.
  void UpdateUsualWork();
  /// Charges a call to the permits of an upstream that is cold or names a call
  /// limit, or to this entry's share of its rate. Always succeeds for others.
  [[nodiscard]] bool TryAdmit(Upstream& upstream);
  [[nodiscard]] bool TryUsePermit(Upstream& upstream) const;
  /// Charges a call to this entry's share of `rate`, for an upstream whose
  /// permits are not available.
  [[nodiscard]] bool TryUseShare(Upstream& upstream, CallsPerSecond rate,
                                 const UnpermittedShare& share) const;
  [[nodiscard]] static UpstreamRun RunOf(const Upstream& upstream) {
    return {upstream.record.id, upstream.record.started_at_ms};
  }
  [[nodiscard]] std::optional<CallsPerSecond> CallLimitOf(
      const Upstream& upstream) const {
    return m_notices.CallLimit(RunOf(upstream));
  }
  /// @returns whether the upstream gives no sign of life and a call of this
  ///   entry already waits for one. Load it answers: a machine stands still,
  ///   and each call sent there waits, and may still be run after its caller
  ///   has left.
  [[nodiscard]] bool AwaitsSignOfLife(const Upstream& upstream) const {
    return upstream.in_flight > 0 &&
           FindSignOfLife(upstream) == SignOfLife::kNone;
  }
  /// @returns whether the upstream wants no calls from this entry now.
  [[nodiscard]] bool IsTurnedAway(const Upstream& upstream) const {
    return m_notices.TurnedAwayFor(RunOf(upstream)) > Duration::zero();
  }
  /// @returns whether the upstream names a call limit and a process issues
  ///   permits for it that can be reached.
  [[nodiscard]] bool IsLimitedByPermits(const Upstream& upstream) const;
  /// @returns whether a permit is needed and none is expected yet.
  [[nodiscard]] bool IsPermitDenied(const Upstream& upstream) const;
  /// @returns whether the upstream belongs to the query's service, runs its
  ///   software version if it names one, and may get calls.
  [[nodiscard]] bool IsEligible(const Upstream& upstream,
                                const PickQuery& query) const;
  /// @returns whether the upstream's present run is known to be of `version`.
  [[nodiscard]] static bool RunsVersion(const Upstream& upstream,
                                        const SoftwareVersion& version);
  /// @returns whether the upstream has what the query asks for and may get
  ///   calls.
  [[nodiscard]] bool CanServe(const Upstream& upstream,
                              const PickQuery& query) const;
  /// @returns whether the upstream is cold and its service has a cold rate.
  [[nodiscard]] bool IsColdLimited(const Upstream& upstream) const;
  /// @param max_senders  number of entries that may send to the upstream.
  /// @returns the number of entries that may send to this cold upstream, or
  ///   nothing if this entry is not one of them.
  [[nodiscard]] std::optional<std::size_t> CountUnpermittedSenders(
      const UpstreamId& id, std::size_t max_senders) const;

  /// @returns the time for which nothing has followed what was handled at `at`.
  [[nodiscard]] Duration SilentSince(TimePoint at) const {
    return m_input_clock->Now() - at;
  }

  const Clock& m_clock;
  const Clock* m_input_clock;
  RandomSource& m_random;
  DataCentreId m_own_data_centre;
  std::function<bool(const Endpoint&)> m_is_connected;
  InstanceId m_self;
  std::vector<InstanceId> m_entries;
  std::unordered_map<UpstreamId, Upstream> m_upstreams;
  std::set<DataCentreId> m_disabled_data_centres;
  PickCounts m_last_counts;
  std::unordered_map<ServiceName, double> m_cold_rates;
  std::set<ServiceName> m_engine_services;
  /// The median of what is known of each service's engines.
  std::unordered_map<ServiceName, EngineWork> m_usual_work;
  DataCentrePolicy m_data_centre_policy;
  UpstreamNotices m_notices;
};

}  // namespace bambooquay
