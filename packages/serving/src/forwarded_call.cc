// A forwarded call from its arrival to an attempt, and its end. What follows
// from an upstream's response is in forwarded_response.cc.
#include "bambooquay/serving/forwarded_call.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// A call that is not complete this long before its time limit is ended, so that
// the caller gets the error response in time.
constexpr Duration kLimitMargin = milliseconds(30);
// Interval at which a call without an upstream tries to choose one again.
constexpr Duration kPickRetryInterval = milliseconds(50);
// Share of the latency objective for which a call waits for an upstream.
constexpr double kMaxWaitShare = 0.6;
// Short, as another entry can take the call at once.
constexpr Duration kDrainingRetryAfter = milliseconds(20);
// Retry delays are spread by up to this, so that callers do not retry together.
constexpr Duration kRetryAfterSpread = milliseconds(500);

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(duration));
  return text.data();
}

}  // namespace

ForwardedCall::ForwardedCall(ServingContext& context,
                             std::shared_ptr<const ActiveConfiguration> active,
                             std::shared_ptr<HttpExchange> exchange,
                             std::function<void(ForwardedCall&)> finished)
    : m_context(context),
      m_active_configuration(std::move(active)),
      m_exchange(std::move(exchange)),
      m_on_finished(std::move(finished)),
      m_arrived_at(context.loop.clock().Now()),
      m_call(context.codec.DecodeCall(m_exchange->request())),
      m_held_bytes(context.response_buffers) {
  m_events.StartAfter(m_call.last_event_id);
}

ForwardedCall::~ForwardedCall() = default;

Duration ForwardedCall::Elapsed() const {
  return m_context.loop.clock().Now() - m_arrived_at;
}

Duration ForwardedCall::TimeLeft() const { return m_time_limit - Elapsed(); }

void ForwardedCall::RefuseWhileDraining() {
  Refuse(ToCode(HttpStatus::kServiceUnavailable), "leaving",
         kDrainingRetryAfter);
}

void ForwardedCall::Start() {
  m_exchange->OnDisconnect([this] { HandleCallerDisconnect(); });
  if (m_active_configuration == nullptr) {
    Refuse(ToCode(HttpStatus::kServiceUnavailable), "no_configuration",
           kRetryAfter);
    return;
  }
  m_route = m_active_configuration->routes.FindRoute(
      m_call.host, PathOf(m_call.http_request->target));
  if (m_route == nullptr) {
    Refuse(ToCode(HttpStatus::kNotFound), "no_route", Duration::zero());
    return;
  }
  m_time_limit = m_call.time_limit.value_or(m_route->timeout);
  if (m_route->timeout > Duration::zero()) {
    m_time_limit = std::min(m_time_limit, m_route->timeout);
  }
  if (!Authenticate()) {
    return;
  }
  if (!m_call.has_valid_names) {
    Refuse(ToCode(HttpStatus::kBadRequest), "bad_model", Duration::zero());
    return;
  }
  if (!ChooseService() || !PassQuarantine() || !SpendAllowance()) {
    return;
  }
  BuildQuery();
  m_limit_timer = m_context.loop.After(
      std::max(m_time_limit - kLimitMargin, Duration::zero()),
      [this] { HandleTimeLimit(); });
  m_context.retry_budget_for(m_service->name).CountRequest();
  m_context.demand.Count(m_service->name, m_call.model, m_call.prompt_tokens);
  TryUpstream();
}

bool ForwardedCall::Authenticate() {
  if (m_route->auth_exempt ||
      m_active_configuration->configuration.organisations.empty()) {
    return true;
  }
  if (!m_call.api_key.empty()) {
    m_organisation = m_active_configuration->routes.FindOrganisation(
        KeyDigest(Sha256Hex(m_call.api_key)));
  }
  if (m_organisation == nullptr) {
    Refuse(ToCode(HttpStatus::kUnauthorized), "bad_key", Duration::zero());
    return false;
  }
  return true;
}

StreamKey ForwardedCall::OwnStreamKey() const {
  const bool is_taken_up =
      !m_call.last_event_id.empty() && !m_call.resumed_request.empty();
  return MakeStreamKey(is_taken_up ? m_call.resumed_request : m_call.id);
}

bool ForwardedCall::TakesUpStream() const {
  return m_route->kind == CallKind::kStream && !m_call.last_event_id.empty();
}

bool ForwardedCall::FindStreamOrigin() {
  const auto found =
      m_context.stream_origins.Find(m_route->UsedServices(), OwnStreamKey());
  if (const auto* obstacle = std::get_if<StreamObstacle>(&found)) {
    Refuse(ToCode(HttpStatus::kServiceUnavailable), ToString(*obstacle),
           kRetryAfter);
    return false;
  }
  const auto& origin = std::get<StreamOrigin>(found);
  m_query.software_version = origin.version;
  m_service = m_active_configuration->routes.FindService(origin.service);
  return true;
}

bool ForwardedCall::PassQuarantine() {
  const PromptVerdict verdict = m_context.quarantine.Judge(m_call.prompt);
  m_is_trial = verdict == PromptVerdict::kTrial;
  if (verdict == PromptVerdict::kQuarantined) {
    RefuseQuarantined();
    return false;
  }
  return true;
}

void ForwardedCall::RefuseQuarantined() {
  if (m_may_have_run) {
    Refuse(ToCode(HttpStatus::kBadGateway), "quarantined", Duration::zero());
    return;
  }
  Refuse(ToCode(HttpStatus::kServiceUnavailable), "quarantined",
         std::max(m_context.quarantine.TimeLeft(m_call.prompt), kRetryAfter));
}

void ForwardedCall::HandleQuarantine() {
  if (m_done || m_is_trial || m_relaying || m_attempt_begun_at.has_value() ||
      !m_context.quarantine.IsQuarantined(m_call.prompt)) {
    return;
  }
  m_may_have_run = m_may_have_run || m_upstream.has_value();
  EndAttempt(AttemptResult::kCancelled);
  RefuseQuarantined();
}

bool ForwardedCall::SpendAllowance() {
  if (m_organisation == nullptr) {
    return true;
  }
  const Tokens cost = m_call.tokens.value_or(m_organisation->default_cost);
  if (m_context.allowance.TrySpend(m_organisation->name, cost)) {
    return true;
  }
  const Duration wait =
      m_context.allowance.TimeUntilAvailable(m_organisation->name, cost);
  LogEvent(LogLevel::kInfo, "over_allowance")
      .With("request", m_call.id.value())
      .With("organisation", m_organisation->name.value())
      .With("cost", cost.count)
      .With("level", m_context.allowance.Level(m_organisation->name).count)
      .With("rate", m_organisation->rate.value)
      .With("burst", m_organisation->burst.count)
      .With("configuration", m_active_configuration->configuration.version);
  Refuse(ToCode(HttpStatus::kTooManyRequests), "over_allowance",
         std::max(wait, kRetryAfter));
  return false;
}

bool ForwardedCall::ChooseService() {
  if (!TakesUpStream()) {
    m_service = DrawService();
  } else if (!FindStreamOrigin()) {
    return false;
  }
  if (m_service == nullptr) {
    Refuse(ToCode(HttpStatus::kServiceUnavailable), "unknown_service",
           kRetryAfter);
    return false;
  }
  return true;
}

const ServingService* ForwardedCall::DrawService() {
  const auto& shares = m_route->services;
  if (shares.empty()) {
    return nullptr;
  }
  double total = 0.0;
  std::ranges::for_each(
      shares, [&](const ServiceShare& share) { total += share.weight; });
  constexpr std::uint32_t kResolution = 1 << 20;
  double remainder =
      total * m_context.random.UniformBelow(kResolution) / kResolution;
  const auto chosen =
      std::ranges::find_if(shares, [&](const ServiceShare& share) {
        remainder -= share.weight;
        return remainder < 0.0;
      });
  return m_active_configuration->routes.FindService(
      chosen == shares.end() ? shares.back().service : chosen->service);
}

void ForwardedCall::BuildQuery() {
  m_query.service = m_service->name;
  m_query.prompt_tokens = m_call.prompt_tokens;
  m_query.body_bytes = m_call.http_request->body.size();
  if (m_service->engine.has_value()) {
    m_query.model = m_call.model;
    m_query.adapter = m_call.adapter;
    m_query.may_load_adapter = true;
    m_query.prompt = MakePrefixes(m_call.model, m_call.adapter, m_call.prompt);
    m_query.events = static_cast<int>(
        std::lround(m_context.call_lengths.Expected(m_route->name)));
  }
}

void ForwardedCall::TryUpstream() {
  UpdateNeeds();
  m_query.may_request_permit = true;
  const auto picked = m_context.upstreams.Pick(m_query);
  m_query.permitted.reset();
  m_query.may_request_permit = false;
  if (const auto* upstream = std::get_if<UpstreamId>(&picked)) {
    SendWithRoom(*upstream);
  } else if (const auto* needed = std::get_if<PermitNeeded>(&picked)) {
    RequestPermit(needed->upstream);
  } else {
    HandleNoUpstream(std::get<PickFailure>(picked));
  }
}

void ForwardedCall::UpdateNeeds() {
  m_query.needs = {
      .first_event = m_first_event.has_value()
                         ? Duration::zero()
                         : std::max(m_route->target_latency - Elapsed(),
                                    Duration(milliseconds(1))),
      .max_pause = m_route->max_pause,
      .time_limit = std::max(TimeLeft(), Duration(milliseconds(1)))};
}

void ForwardedCall::HandleNoUpstream(PickFailure failure) {
  if (failure == PickFailure::kAdapterCrowded) {
    // If the load fails, the call goes to an upstream that has the adapter.
    m_query.may_load_adapter = false;
    LoadAdapter();
    return;
  }
  if (failure == PickFailure::kAdapterMissing && !m_adapter_requested) {
    LoadAdapter();
    return;
  }
  if (failure == PickFailure::kFull) {
    if (const auto cold = m_context.upstreams.PickForColdPermit(m_query)) {
      RequestPermit(*cold);
      return;
    }
  }
  // A caller that has received part of a stream waits for the rest, but not so
  // long that it has no time to come back.
  const Duration max_wait =
      m_relaying ? m_last_event + MakeStallPolicy().MaxCallerWait()
                 : std::chrono::duration_cast<Duration>(
                       m_route->target_latency * kMaxWaitShare);
  // A call that no upstream will take in time is refused at once.
  const Duration wait = std::max(
      m_context.upstreams.TimeUntilOffer(m_query).value_or(Duration::zero()),
      kPickRetryInterval);
  if (Elapsed() + wait < std::min(max_wait, m_time_limit)) {
    m_wait_timer =
        m_context.loop.After(kPickRetryInterval, [this] { TryUpstream(); });
    return;
  }
  const PickCounts& counts = m_context.upstreams.last_counts();
  LogEvent(LogLevel::kInfo, "no_upstream_free")
      .With("request", m_call.id.value())
      .With("model", AdapterKey(m_call.model, m_call.adapter))
      .With("usable", counts.usable)
      .With("holding", counts.with_model)
      .With("with_adapter", counts.with_adapter)
      .With("avoided", counts.avoided)
      .With("silent", counts.silent)
      .With("full", counts.full)
      .With("limited", counts.limited)
      .With("cold", counts.cold)
      .With("waited_ms", Elapsed() / milliseconds(1));
  constexpr std::array kReasons = {"no_upstream", "model_missing",
                                   "adapter_missing", "adapter_crowded",
                                   "upstreams_full"};
  RefuseUnserved(kReasons.at(static_cast<std::size_t>(failure)),
                 RetryDelay(failure));
}

void ForwardedCall::RefuseUnserved(std::string_view reason,
                                   Duration retry_after) {
  if (m_relaying) {
    AbortRelay(reason);
    return;
  }
  if (m_may_have_run) {
    Refuse(ToCode(HttpStatus::kBadGateway), "upstream_failed",
           Duration::zero());
    return;
  }
  Refuse(ToCode(HttpStatus::kServiceUnavailable), reason, retry_after);
}

Duration ForwardedCall::RetryDelay(PickFailure failure) {
  if (failure != PickFailure::kFull) {
    return kRetryAfter;
  }
  // Cold upstreams are a bottleneck until they are warm. A caller whose time
  // limit ends before that may as well retry earlier.
  const Duration wait = std::max(
      m_context.upstreams.TimeUntilWarm(m_query).value_or(Duration::zero()),
      m_context.upstreams.TimeUntilOffer(m_query).value_or(Duration::zero()));
  return wait + kRetryAfterSpread < TimeLeft() ? std::max(wait, kRetryAfter)
                                               : kRetryAfter;
}

void ForwardedCall::LoadAdapter() {
  m_adapter_requested = true;
  const auto upstream = m_context.upstreams.PickForAdapter(m_query);
  if (!upstream.has_value()) {
    HandleNoUpstream(PickFailure::kFull);
    return;
  }
  m_wait_timer = nullptr;
  m_context.agents.RequestAdapterLoad(
      *upstream, m_call.model, m_call.adapter,
      [this, alive = std::weak_ptr(m_alive), id = *upstream](bool loaded) {
        if (alive.expired() || m_done) {
          return;
        }
        if (loaded) {
          m_context.upstreams.MarkAdapterLoaded(id, m_call.model,
                                                m_call.adapter);
        } else {
          m_adapter_requested = false;
        }
        m_wait_timer =
            m_context.loop.After(loaded ? Duration::zero() : kPickRetryInterval,
                                 [this] { TryUpstream(); });
      });
}

void ForwardedCall::RequestPermit(const UpstreamId& upstream) {
  m_wait_timer = nullptr;
  // The reply is recorded even if this call has ended meanwhile, as other calls
  // can use the permit.
  m_context.agents.RequestPermit(
      upstream, m_context.upstreams.BoundsOf(upstream),
      [this, alive = std::weak_ptr(m_alive), &upstreams = m_context.upstreams,
       id = upstream](bool granted, Duration wait) {
        if (granted) {
          upstreams.AddPermit(id);
        } else {
          upstreams.RecordPermitDenial(id, wait);
        }
        if (!alive.expired() && !m_done) {
          if (granted) {
            m_query.permitted = id;
          }
          TryUpstream();
        }
      });
}

std::optional<Duration> ForwardedCall::PredictFirstEvent(
    std::optional<EngineWork> work) const {
  if (!work.has_value()) {
    return std::nullopt;
  }
  // The call has room, so those that wait for it come later.
  work->waiting_prompt_tokens = 0.0;
  const auto times = PredictTimes(*work, {m_unread_tokens, m_query.events});
  return times.has_value() ? std::optional(times->first_event) : std::nullopt;
}

void ForwardedCall::StartAttempt(const UpstreamId& id) {
  const Upstream* upstream = m_context.upstreams.Find(id);
  if (m_room_upstream != id) {
    AnnounceAttempt(id);
  }
  m_room_search.Reset();
  ++m_attempt_count;
  m_query.excluded.insert(id);
  m_query.may_load_adapter = false;
  m_upstream = id;
  m_status = 0;
  m_attempt_begun_at.reset();
  m_attempt_events = 0;
  m_attempt_version = upstream->record.software_version;
  m_attempt_run = m_context.upstreams.FindRun(id).value_or(UpstreamRun{id, 0});
  m_attempt_first_event.reset();
  m_attempt_sent_at = m_context.loop.clock().Now();
  const double kept_tokens =
      upstream->prompt_cache.CachedTokens(m_query.prompt);
  m_unread_tokens = m_call.prompt_tokens - kept_tokens;
  m_held_by.reset();
  UpdateNeeds();
  const auto work = m_context.upstreams.WorkOf(*upstream);
  m_predicted_first_event = m_room_first_event.has_value()
                                ? m_room_first_event
                                : PredictFirstEvent(work);
  m_room_first_event.reset();
  AttemptMetadata metadata;
  metadata.upstream = id;
  metadata.time_left = TimeLeft();
  if (m_organisation != nullptr) {
    metadata.organisation = m_organisation->name;
  }
  if (m_service->engine.has_value()) {
    metadata.priority = m_route->priority;
  }
  metadata.last_event_id = m_events.last_id();
  LogEvent(LogLevel::kInfo, "attempt")
      .With("request", m_call.id.value())
      .With("number", m_attempt_count)
      .With("upstream", id.value())
      .With("load", m_context.upstreams.EstimateLoad(*upstream))
      .WithMilliseconds("report_age_ms",
                        m_context.upstreams.ReportAge(*upstream))
      .With("failure_share", upstream->failure_share)
      .With("elsewhere",
            m_context.upstreams.IsElsewhere(*upstream) ? "yes" : "no")
      .With("kept_tokens", kept_tokens)
      .With("prompt_tokens", m_call.prompt_tokens)
      .WithMilliseconds("predicted_first_ms", m_predicted_first_event)
      .With("unread_tokens",
            work.has_value() ? work->unread_prompt_tokens : 0.0)
      .With("tokens_per_ms",
            work.has_value() ? work->prompt_tokens_per_ms : 0.0)
      .With("streams", work.has_value() ? work->streams : 0)
      .WithMilliseconds(
          "event_interval_ms",
          work.has_value() ? std::optional(work->event_interval) : std::nullopt)
      .With("time_left_ms", TimeLeft() / milliseconds(1));
  if (!metadata.last_event_id.empty()) {
    LogEvent(LogLevel::kInfo, "stream_resumed")
        .With("request", m_call.id.value())
        .With("begun_by", m_call.resumed_request.value())
        .With("upstream", id.value())
        .With("service", m_service->name.value())
        .With("software_version", m_attempt_version.value())
        .With("last_event_id", metadata.last_event_id);
  }
  if (m_context.upstreams.IsElsewhere(*upstream)) {
    m_context.metrics.Increment("calls_left_data_centre_total{service=\"" +
                                m_service->name.value() + "\"}");
  }
  const HttpRequest request = m_context.codec.EncodeAttempt(m_call, metadata);
  m_context.upstreams.RecordAttemptStart(id, m_query);
  m_attempt = m_context.client.Start(
      upstream->record.address, request, m_time_limit + kLimitMargin,
      m_route->repeatable() ? ConnectionReuse::kAllowed
                            : ConnectionReuse::kRecentlyUsedOnly,
      *this);
  RestartStallTimer();
}

void ForwardedCall::HandleTimeLimit() {
  const auto give_up = [this] { GiveUp("time_limit", Duration::zero()); };
  if (m_attempt == nullptr) {
    give_up();
    return;
  }
  // The response may have arrived during a pause of the event loop.
  m_limit_timer = m_context.loop.AfterInput(give_up, [this] {
    return m_attempt != nullptr && m_attempt->HasUnreadInput();
  });
}

void ForwardedCall::GiveUp(std::string_view reason, Duration retry_after) {
  const bool attempt_in_progress = m_upstream.has_value();
  EndAttempt(AttemptResult::kTimedOut);
  if (m_relaying) {
    AbortRelay(reason);
    return;
  }
  const bool may_have_run = attempt_in_progress || m_may_have_run;
  Refuse(ToCode(may_have_run ? HttpStatus::kGatewayTimeout
                             : HttpStatus::kServiceUnavailable),
         reason, may_have_run ? Duration::zero() : retry_after);
}

void ForwardedCall::EndWhileDraining() {
  if (!m_done && !m_relaying) {
    GiveUp("leaving", kDrainingRetryAfter);
  }
}

void ForwardedCall::HandleCallerDisconnect() {
  EndAttempt(AttemptResult::kCancelled);
  Finish("caller_gone", "");
}

void ForwardedCall::Refuse(int status, std::string_view code,
                           Duration retry_after) {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  if (retry_after > Duration::zero()) {
    const auto spread = milliseconds(m_context.random.UniformBelow(
        static_cast<std::uint32_t>(kRetryAfterSpread / milliseconds(1))));
    headers.Add("Retry-After", FormatSeconds(retry_after + spread));
  }
  std::string body = R"({"error":{"code":")";
  body += code;
  body += R"(","outcome":")";
  const bool outcome_unknown = status == ToCode(HttpStatus::kBadGateway) ||
                               status == ToCode(HttpStatus::kGatewayTimeout);
  body += outcome_unknown ? "unknown" : "not_run";
  if (m_is_trial && !outcome_unknown) {
    m_context.quarantine.WithdrawTrial(m_call.prompt);
  }
  body += R"("}})";
  m_exchange->Respond(status, headers, body);
  Finish(std::to_string(status), code);
}

void ForwardedCall::RecordOutcome(std::string_view outcome,
                                  std::string_view reason) {
  Metrics& metrics = m_context.metrics;
  const std::string result(outcome);
  metrics.Increment("calls_total{outcome=\"" + result + "\",reason=\"" +
                    std::string(reason) + "\"}");
  const std::string priority =
      m_route == nullptr ? "none" : std::to_string(m_route->priority);
  metrics.Observe(
      "call_seconds{priority=\"" + priority + "\",outcome=\"" + result + "\"}",
      Elapsed());
  if (m_first_event.has_value()) {
    metrics.Observe("first_event_seconds{priority=\"" + priority + "\"}",
                    *m_first_event);
    metrics.Observe("longest_pause_seconds", m_longest_pause);
  }
  LogEvent(LogLevel::kInfo, "call_ended")
      .With("request", m_call.id.value())
      .With("outcome", outcome)
      .With("reason", reason)
      .With("route", m_route == nullptr ? "" : m_route->name)
      .With("organisation",
            m_organisation == nullptr ? "" : m_organisation->name.value())
      .With("model", AdapterKey(m_call.model, m_call.adapter))
      .With("attempts", m_attempt_count)
      .With("waited_ms", m_room_wait / milliseconds(1))
      .With("held_by", m_held_by.has_value() ? ToString(*m_held_by) : "")
      .With("configuration",
            m_active_configuration == nullptr
                ? 0
                : m_active_configuration->configuration.version)
      .WithMilliseconds("first_event_ms", m_first_event)
      .WithMilliseconds("predicted_ms", m_predicted_first_event)
      .WithMilliseconds("measured_ms", m_attempt_first_event)
      .With("longest_pause_ms", m_longest_pause / milliseconds(1))
      .With("elapsed_ms", Elapsed() / milliseconds(1));
}

void ForwardedCall::Finish(std::string_view outcome, std::string_view reason) {
  m_done = true;
  m_limit_timer = nullptr;
  m_stall_timer = nullptr;
  m_wait_timer = nullptr;
  ReleaseRoom(false);
  if (m_first_event.has_value()) {
    m_context.stream_origins.RecordEnd(OwnStreamKey());
  }
  RecordOutcome(outcome, reason);
  if (m_may_have_run && !m_has_begun && m_context.runs != nullptr) {
    m_context.runs->CountUnknownRun();
  }
  m_on_finished(*this);
}

}  // namespace bambooquay
