// One caller's request on its way through one or more upstreams.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/http_client.h"
#include "bambooquay/runtime/http_server.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/serving/call_codec.h"
#include "bambooquay/serving/event_stream.h"
#include "bambooquay/serving/fleet_allowance.h"
#include "bambooquay/serving/retry_budget.h"
#include "bambooquay/serving/route_table.h"
#include "bambooquay/serving/upstream_set.h"

namespace bambooquay {

/// A configuration in force with its indexes.
struct ActiveConfiguration {
  explicit ActiveConfiguration(FleetConfiguration read)
      : configuration(std::move(read)), routes(configuration) {}
  ActiveConfiguration(const ActiveConfiguration&) = delete;
  ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

  FleetConfiguration configuration;
  RouteTable routes;
};

/// What calls ask of the agents beside engines.
class EngineAgents {
 public:
  EngineAgents() = default;
  EngineAgents(const EngineAgents&) = delete;
  EngineAgents& operator=(const EngineAgents&) = delete;
  virtual ~EngineAgents() = default;

  /// @param done  runs with whether the adapter is there now; may run at once.
  virtual void Load(const UpstreamId& upstream, const ModelName& model,
                    const AdapterName& adapter,
                    std::function<void(bool)> done) = 0;
  /// Asks for a permit to send one request to a cold engine.
  /// @param done  runs with whether it is granted, and if not, for how long
  ///   asking again is useless; may run at once.
  virtual void AskPermit(const UpstreamId& upstream,
                         std::function<void(bool, Duration)> done) = 0;
};

/// Counts what is asked for, for placement.
class DemandSink {
 public:
  DemandSink() = default;
  DemandSink(const DemandSink&) = delete;
  DemandSink& operator=(const DemandSink&) = delete;
  virtual ~DemandSink() = default;

  virtual void Count(const ServiceName& service, const ModelName& model,
                     double prompt_tokens) = 0;
};

/// What all forwarded calls of an entry share.
struct ServingContext {
  EventLoop& loop;
  const CallCodec& codec;
  HttpClient& client;
  UpstreamSet& upstreams;
  FleetAllowance& allowance;
  RandomSource& random;
  Metrics& metrics;
  EngineAgents& agents;
  DemandSink& demand;
  std::function<RetryBudget&(const ServiceName&)> budget_of;
};

/// Authenticates one request, spends the allowance, tries upstreams and
/// relays the response. Every request gets exactly one final answer.
///
/// Invariants: at most one attempt is under way; a call that may have run is
/// attempted again only if its route allows it; nothing but whole events of
/// one stream, in order, reaches the caller.
class ForwardedCall final : public HttpObserver {
 public:
  /// @param finished  runs once, after the last use of this object.
  ForwardedCall(ServingContext& context,
                std::shared_ptr<const ActiveConfiguration> active,
                std::shared_ptr<HttpExchange> exchange,
                std::function<void(ForwardedCall&)> finished);
  ~ForwardedCall() override;

  void Start();
  /// Instead of Start(): the entry is about to stop and could not finish it.
  void RefuseLeaving();

 private:
  /// Delay before a refused caller comes back.
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(250);

  [[nodiscard]] bool Accepts(const HttpHeaders& headers) override;
  void OnHead(int status, const HttpHeaders& headers) override;
  void OnPart(std::string_view bytes) override;
  void OnEnd(HttpEnding ending) override;

  [[nodiscard]] bool Authenticate();
  [[nodiscard]] bool SpendAllowance();
  /// Leaves the service unset if the configuration does not know it.
  void ChooseService();
  void TryUpstream();
  /// @returns the time after which a caller that no upstream could take now
  ///   should come back.
  [[nodiscard]] Duration RetryDelay(PickFailure failure);
  void LoadAdapter();
  /// Asks for a permit, if a cold engine could take the call.
  /// @returns whether one was asked for.
  [[nodiscard]] bool AskColdPermit();
  void Attempt(const UpstreamId& upstream);
  void HandleNoUpstream(PickFailure failure);
  void RelayBody(std::string_view bytes);
  void StartRelay();
  void HandleComplete();
  /// @returns the upstream to try after one has answered with a failure, which
  ///   is the caller's answer if no other is free now.
  [[nodiscard]] std::optional<UpstreamId> NextAfterFailure();
  /// Decides what follows an attempt that gave no usable response.
  void HandleFailedAttempt(AttemptEnd end, bool may_have_run,
                           std::string_view reason);
  void LogFailedAttempt(const UpstreamId& upstream, std::string_view reason,
                        bool may_have_run, std::string_view retry);
  void EndAttempt(AttemptEnd end);
  void HandleTimeLimit();
  void HandleSilence();
  void WatchSilence(Duration limit);
  void HandleCallerGone();
  void Refuse(int status, std::string_view code, Duration retry_after);
  void NoteEvent();
  /// Logs and counts how the call ended.
  void Record(std::string_view outcome, std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);

  [[nodiscard]] Duration Elapsed() const;
  [[nodiscard]] Duration TimeLeft() const;
  /// @returns whether the route and the time left allow another attempt.
  [[nodiscard]] bool CanRetry(bool may_have_run);
  /// @returns whether the service's budget allows another attempt, and takes it
  ///   from there. One that reached no upstream burdens none.
  [[nodiscard]] bool TakeRetry(AttemptEnd end);
  /// Sets what the call needs of an upstream.
  void MakeQuery();

  ServingContext& m_context;
  std::shared_ptr<const ActiveConfiguration> m_active;
  std::shared_ptr<HttpExchange> m_exchange;
  std::function<void(ForwardedCall&)> m_finished;
  TimePoint m_arrived_at;
  ServingCall m_call;
  const ServingRoute* m_route = nullptr;
  const ServingOrganisation* m_organisation = nullptr;
  const ServingService* m_service = nullptr;
  Duration m_time_limit{};

  PickQuery m_query;
  int m_attempts = 0;
  /// Attempts whose upstream could not be reached; nothing was sent to it.
  int m_unsent = 0;
  /// Some attempt may have run the request.
  bool m_may_have_run = false;
  bool m_adapter_asked = false;

  std::optional<UpstreamId> m_upstream;
  std::unique_ptr<HttpCall> m_attempt;
  int m_status = 0;
  bool m_relaying = false;
  bool m_event_stream = false;
  HttpHeaders m_reply_headers;
  std::string m_body;
  EventStreamSplitter m_events;
  std::size_t m_unsent_bytes = 0;
  bool m_done = false;
  /// Since the call arrived.
  std::optional<Duration> m_first_event;
  Duration m_last_event{};
  Duration m_longest_pause{};

  /// Goes with the call; callbacks that may come later watch it.
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
  std::unique_ptr<Timer> m_limit_timer;
  std::unique_ptr<Timer> m_silence_timer;
  std::unique_ptr<Timer> m_wait_timer;
};

}  // namespace bambooquay
