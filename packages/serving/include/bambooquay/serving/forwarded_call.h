// Forwards one caller's request to an upstream, and to further ones if an
// attempt fails.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "bambooquay/core/random.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/runtime/buffer_budget.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/scheduling/call_lengths.h"
#include "bambooquay/scheduling/room_search.h"
#include "bambooquay/serving/active_configuration.h"
#include "bambooquay/serving/call_codec.h"
#include "bambooquay/serving/event_stream.h"
#include "bambooquay/serving/fleet_allowance.h"
#include "bambooquay/serving/prompt_quarantine.h"
#include "bambooquay/serving/repeat_obstacle.h"
#include "bambooquay/serving/retry_budget.h"
#include "bambooquay/serving/stall_policy.h"
#include "bambooquay/serving/stream_origins.h"
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {

/// What has become of a request for room on an engine.
struct RoomOutcome {
  enum class Kind : std::uint8_t {
    kGranted,
    kDenied,
    kUnanswered,  ///< The agent is lost, frozen or slow, or a message was lost.
  };
  Kind kind = Kind::kUnanswered;
  /// Time until room is expected, if denied; until the first event if granted.
  Duration wait{};
};

/// Requests that calls send to the agents beside engines.
class AgentClient {
 public:
  AgentClient() = default;
  AgentClient(const AgentClient&) = delete;
  AgentClient& operator=(const AgentClient&) = delete;
  virtual ~AgentClient() = default;

  /// Asks the agent to load an adapter.
  /// @param done  gets whether the adapter is loaded now. May run before this
  ///   function returns.
  virtual void RequestAdapterLoad(const UpstreamId& upstream,
                                  const ModelName& model,
                                  const AdapterName& adapter,
                                  std::function<void(bool)> done) = 0;
  /// Asks for a permit to send one request to an upstream that is cold or names
  /// a call limit. The agent issues it, or one of the entries if there is none.
  /// @param done  gets whether the permit is granted and, if not, the time
  ///   after which to ask again. May run before this function returns.
  virtual void RequestPermit(const UpstreamId& upstream,
                             const PermitBounds& bounds,
                             std::function<void(bool, Duration)> done) = 0;
  /// Asks the agent beside an engine for room for one call, or only announces
  /// the call if it can't wait.
  /// @param request  its number is set by this object.
  /// @param done  gets the outcome, unless the room is released before.
  virtual void RequestRoom(const RoomRequest& request,
                           std::function<void(const RoomOutcome&)> done) = 0;
  /// Gives back the room of a call that has sent its first event, has ended or
  /// does not wait any longer.
  virtual void ReleaseRoom(const RoomRelease& release) = 0;
};

/// Counts requests and prompt tokens for the planning of placement.
class DemandSink {
 public:
  DemandSink() = default;
  DemandSink(const DemandSink&) = delete;
  DemandSink& operator=(const DemandSink&) = delete;
  virtual ~DemandSink() = default;

  virtual void Count(const ServiceName& service, const ModelName& model,
                     double prompt_tokens) = 0;
  /// Records that an engine has sent a call's first event after `time`.
  /// @param unread_tokens  prompt tokens that the engine had not kept.
  virtual void RecordReading(const ServiceName& service, const ModelName& model,
                             double unread_tokens, Duration time) = 0;
};

/// Counts the requests that upstreams began to run, for their organisations'
/// bills.
class RunSink {
 public:
  RunSink() = default;
  RunSink(const RunSink&) = delete;
  RunSink& operator=(const RunSink&) = delete;
  virtual ~RunSink() = default;

  /// An upstream has shown that it began to run a request.
  virtual void CountRun(const OrganisationId& organisation) = 0;
  /// A request has ended that may have run; no upstream has shown that it did.
  virtual void CountUnknownRun() = 0;
};

/// Objects that all forwarded calls of an entry share.
struct ServingContext {
  EventLoop& loop;
  const CallCodec& codec;
  HttpClient& client;
  UpstreamSet& upstreams;
  FleetAllowance& allowance;
  RandomSource& random;
  Metrics& metrics;
  AgentClient& agents;
  DemandSink& demand;
  PromptQuarantine& quarantine;
  StreamOrigins& stream_origins;
  /// For the bytes of responses that are not sent to their callers yet.
  BufferBudget& response_buffers;
  std::function<RetryBudget&(const ServiceName&)> retry_budget_for;
  CallLengths call_lengths;
  /// Whether agents estimate the work of their engines.
  bool predicted_work = false;
  RunSink* runs = nullptr;  ///< Null if runs are not counted.
};

/// Authenticates one request, charges its organisation's allowance, tries
/// upstreams and relays the response. Every request gets exactly one final
/// response.
///
/// Invariants:
/// - At most one attempt is in progress.
/// - A call that may have run is attempted again only if its route allows it.
/// - Of an event stream the caller gets whole events in order.
class ForwardedCall final : public HttpObserver {
 public:
  /// @param finished  called once, as the last thing that this object does.
  ForwardedCall(ServingContext& context,
                std::shared_ptr<const ActiveConfiguration> active,
                std::shared_ptr<HttpExchange> exchange,
                std::function<void(ForwardedCall&)> finished);
  ~ForwardedCall() override;

  void Start();
  /// Called instead of Start() when the entry is about to stop and could not
  /// finish the call.
  void RefuseWhileDraining();
  /// Called when the entry is about to stop and the call is still in progress.
  /// Ends it with an error response if the caller has received nothing yet.
  void EndWhileDraining();
  /// Called when a part of prompts was put under quarantine. Ends the call if
  /// its prompt has the part and its upstream has not begun to respond.
  void HandleQuarantine();

 private:
  /// Delay after which a refused caller may retry, unless a better estimate
  /// is known.
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(250);

  [[nodiscard]] ResponseMatch Match(const HttpHeaders& headers) override;
  void OnHead(int status, const HttpHeaders& headers) override;
  void OnPart(std::string_view bytes) override;
  void OnEnd(HttpOutcome outcome) override;

  [[nodiscard]] bool Authenticate();
  [[nodiscard]] bool SpendAllowance();
  /// Refuses the call if its prompt is under quarantine.
  /// @returns whether it may go on.
  [[nodiscard]] bool PassQuarantine();
  /// Records that the attempt's connection broke.
  void RecordBroken();
  /// Records how far the attempt has come, at intervals that double.
  void RecordLasting();
  [[nodiscard]] CallProgress AttemptProgress() const;
  /// Ends the call because its prompt is under quarantine.
  void RefuseQuarantined();
  /// Chooses one of the route's services by weight, or the one that began the
  /// stream that the caller takes up. Refuses the call if there is none, or the
  /// configuration lacks it.
  /// @returns whether the call may go on.
  [[nodiscard]] bool ChooseService();
  /// @returns one of the route's services by weight; null without any.
  [[nodiscard]] const ServingService* DrawService();
  void TryUpstream();
  /// @returns the delay after which a caller should retry if no upstream can
  ///   take its call now.
  [[nodiscard]] Duration RetryDelay(PickFailure failure);
  void LoadAdapter();
  /// Asks for a permit for an upstream and tries again with the reply.
  void RequestPermit(const UpstreamId& upstream);
  /// Asks for room on an engine and sends the call when it is granted; sends it
  /// at once to an upstream that gives out none.
  void SendWithRoom(const UpstreamId& upstream);
  void HandleRoom(const UpstreamId& upstream, const RoomOutcome& outcome);
  /// Looks for room on another engine, or waits for the engine at which room is
  /// expected first, or ends the call if that is too late.
  void HandleRoomDenied(const UpstreamId& upstream, Duration wait);
  [[nodiscard]] RoomRequest MakeRoomRequest(const UpstreamId& upstream) const;
  /// Tells the agent of an engine of a call that is sent without asking.
  void AnnounceAttempt(const UpstreamId& upstream);
  /// @param begun  whether the call has sent its first event.
  void ReleaseRoom(bool begun);
  /// Ends a call that no upstream can take in time.
  void RefuseUnserved(std::string_view reason, Duration retry_after);
  void StartAttempt(const UpstreamId& upstream);
  /// @returns the time to the first event of an attempt that is sent now.
  [[nodiscard]] std::optional<Duration> PredictFirstEvent(
      std::optional<EngineWork> work) const;
  /// Compares the predicted time of the first event with the measured one.
  void RecordPrediction();
  void HandleNoUpstream(PickFailure failure);
  /// Records what a response of the present upstream says about the calls that
  /// it takes.
  void RecordNotices(const ResponseInfo& info);
  void RelayBody(std::string_view bytes);
  /// Drops what has arrived of a response and is not relayed yet.
  void DropPartialResponse();
  /// Charges the bytes that this call keeps to the budget of all calls.
  void UpdateHeldBytes();
  void StartRelay();
  void HandleCompleteResponse();
  /// @returns whether the stream of the attempt ends inside an event, or is
  ///   empty although the caller has no events from before. It was broken off
  ///   then, even if the transport says that the response is complete.
  [[nodiscard]] bool IsStreamBrokenOff() const;
  /// Chooses an upstream to repeat the call at, and charges the retry budget.
  [[nodiscard]] std::variant<UpstreamId, RepeatObstacle> PickForRepeat();
  /// Retries, or ends the call, after an attempt without a usable response.
  void HandleFailedAttempt(AttemptResult result, bool may_have_run,
                           std::string_view reason);
  void LogFailedAttempt(const UpstreamId& upstream, std::string_view reason,
                        bool may_have_run, std::string_view retry);
  void EndAttempt(AttemptResult result);
  void HandleTimeLimit();
  /// Ends the call, with an error response if the caller has received nothing
  /// yet.
  void GiveUp(std::string_view reason, Duration retry_after);
  /// Moves the call away from a silent upstream if that is due and another one
  /// is free, or ends it if its caller should have the time to come back.
  /// Otherwise the attempt continues and is checked again later.
  void HandleStall();
  /// Logs why the call stays at a silent upstream, unless that is known.
  void LogHeldCall(RepeatObstacle obstacle);
  /// Moves the call from its present upstream, which has sent nothing for too
  /// long, to another one.
  void MoveTo(const UpstreamId& next);
  /// Records that the attempt has been sent or has made progress.
  void RestartStallTimer();
  /// Checks for a stall after `wait`, once what has arrived by then is handled.
  void StartStallTimer(Duration wait);
  [[nodiscard]] SilentAttempt DescribeSilence() const;
  /// @returns the time since the caller got its last event, or sent its
  ///   request.
  [[nodiscard]] Duration CallerWait() const;
  [[nodiscard]] StallPolicy MakeStallPolicy() const;
  /// Ends a response that has been started but can't be completed.
  void AbortRelay(std::string_view reason);
  void HandleCallerDisconnect();
  void Refuse(int status, std::string_view code, Duration retry_after);
  void RecordEventTime();
  /// Counts this request as begun, once.
  void CountRun();
  /// @returns the key of the stream that the call begins or takes up.
  [[nodiscard]] StreamKey OwnStreamKey() const;
  /// @returns whether the caller takes up a stream that another call began.
  [[nodiscard]] bool TakesUpStream() const;
  /// Finds the service and the software version of a stream that the caller
  /// takes up, or refuses the call.
  /// @returns whether the call may go on.
  [[nodiscard]] bool FindStreamOrigin();
  /// Lets the call go on only at the software version of this attempt.
  void KeepSoftwareVersion();
  /// Records what the first event of an attempt says about its upstream.
  void RecordFirstEvent();
  /// Logs the outcome and updates the metrics.
  void RecordOutcome(std::string_view outcome, std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);

  [[nodiscard]] Duration Elapsed() const;
  [[nodiscard]] Duration TimeLeft() const;
  /// @returns why the call may not be sent to any further upstream, if so.
  [[nodiscard]] std::optional<RepeatObstacle> FindObstacle(bool may_have_run);
  /// Charges a retry to the service's retry budget. A retry after an attempt
  /// that reached no upstream is free, as it adds no load.
  /// @param result  of the attempt before.
  /// @param left  the upstream of the attempt before.
  /// @returns whether the budget allows the retry.
  [[nodiscard]] bool AcquireRetry(AttemptResult result,
                                  const std::optional<UpstreamId>& left);
  /// Sets m_query, the call's requirements on an upstream.
  void BuildQuery();
  /// Sets what the caller still expects in m_query.
  void UpdateNeeds();

  ServingContext& m_context;
  std::shared_ptr<const ActiveConfiguration> m_active_configuration;
  std::shared_ptr<HttpExchange> m_exchange;
  std::function<void(ForwardedCall&)> m_on_finished;
  TimePoint m_arrived_at;
  ServingCall m_call;
  const ServingRoute* m_route = nullptr;
  const ServingOrganisation* m_organisation = nullptr;
  const ServingService* m_service = nullptr;
  Duration m_time_limit{};

  PickQuery m_query;
  int m_attempt_count = 0;
  /// Attempts that sent nothing, as the upstream could not be reached.
  int m_unreachable_attempts = 0;
  /// Whether any attempt so far may have run the request.
  bool m_may_have_run = false;
  /// Whether an upstream has shown that it began to run the request.
  bool m_has_begun = false;
  bool m_adapter_requested = false;
  /// Whether the call finds out if its prompt still crashes engines.
  bool m_is_trial = false;

  RoomSearch m_room_search;
  /// The engine that the call has room on, or waits for.
  std::optional<UpstreamId> m_room_upstream;
  TimePoint m_room_asked_at{};
  /// How long the call has waited for room.
  Duration m_room_wait{};
  std::optional<UpstreamId> m_upstream;
  std::unique_ptr<HttpCall> m_attempt;
  int m_status = 0;
  /// Whether the caller's response has been started.
  bool m_relaying = false;
  bool m_event_stream = false;
  HttpHeaders m_response_headers;
  /// Buffered bytes of a response that is not relayed yet.
  std::string m_body;
  EventStreamSplitter m_events;
  /// Whether an attempt was cut inside an event, which is still to come.
  bool m_has_cut_event = false;
  /// Bytes relayed that the caller has not taken yet.
  std::size_t m_unsent_response_bytes = 0;
  /// Charges m_body, the incomplete event and m_unsent_response_bytes.
  BufferHolding m_held_bytes;
  bool m_done = false;
  /// Times of the first and the last event, since the call arrived.
  std::optional<Duration> m_first_event;
  Duration m_last_event{};
  Duration m_longest_pause{};
  /// When the current attempt was sent, or sent its last event.
  TimePoint m_progress_at{};
  /// When the current attempt was sent.
  TimePoint m_attempt_sent_at{};
  /// Prompt tokens that the upstream of the current attempt had not kept.
  double m_unread_tokens = 0.0;
  /// When the current attempt began to respond, if it has.
  std::optional<TimePoint> m_attempt_begun_at;
  /// Time to the first event that the agent expects for the call that it has
  /// given room.
  std::optional<Duration> m_room_first_event;
  /// From m_attempt_sent_at to the first event, if it is predicted.
  std::optional<Duration> m_predicted_first_event;
  /// From m_attempt_sent_at to the first event, once it has come.
  std::optional<Duration> m_attempt_first_event;
  /// Events that the current attempt has sent.
  int m_attempt_events = 0;
  /// The run of the current attempt's upstream.
  UpstreamRun m_attempt_run;
  /// Its software version when the attempt was sent.
  SoftwareVersion m_attempt_version;
  /// When RecordLasting() last recorded it, from the first event on.
  Duration m_lasting_reported{};
  /// What keeps the current attempt at its silent upstream, if it was logged.
  std::optional<RepeatObstacle> m_held_by;
  TimePoint m_stall_check_at;
  /// Whether the last check was late and is repeated once.
  bool m_repeats_stall_check = false;

  /// Callbacks that may run after the call was destroyed hold a weak pointer
  /// to this.
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
  std::unique_ptr<Timer> m_limit_timer;
  std::unique_ptr<Timer> m_stall_timer;
  std::unique_ptr<Timer> m_wait_timer;
};

}  // namespace bambooquay
