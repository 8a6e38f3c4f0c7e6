// Handling of an upstream's response to a forwarded call, and of failed
// attempts.
#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/forwarded_call.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// A response that is not a stream is buffered until it is complete, so that
// the call can still be retried. One larger than this is relayed as it arrives.
constexpr std::size_t kMaxBufferedResponseBytes = 256 * 1024;
// Reading from the upstream pauses when more bytes than this wait to be sent
// to the caller.
constexpr std::size_t kMaxUnsentResponseBytes = 64 * 1024;
// An upstream whose event is larger than this is in trouble: events are a few
// hundred bytes.
constexpr std::size_t kMaxEventBytes = 256 * 1024;
// No attempt is made with less time left than this.
constexpr Duration kMinAttemptTime = milliseconds(50);
// A call gives up after more unreachable upstreams than this, as each can take
// the whole connect timeout.
constexpr int kMaxUnreachableAttempts = 4;
// Interval at which a call that should leave a silent upstream looks for
// another one.
constexpr Duration kStallRecheckInterval = milliseconds(200);
// A stream reports that it lasts after this time, and whenever it has doubled.
constexpr Duration kMinLastingReport = milliseconds(50);
// A check that is later than this says that the event loop was held up, so that
// the reports of upstreams are old.
constexpr Duration kMaxStallCheckDelay = milliseconds(200);

}  // namespace

StallPolicy ForwardedCall::MakeStallPolicy() const {
  return StallPolicy(
      {m_route->target_latency, m_route->max_pause, m_time_limit});
}

SilentAttempt ForwardedCall::DescribeSilence() const {
  const Upstream* upstream = m_context.upstreams.Find(*m_upstream);
  return {.silent_for = m_context.loop.clock().Now() - m_progress_at,
          .caller_waits_for = CallerWait(),
          .started = m_attempt_events > 0,
          .upstream = upstream == nullptr
                          ? SignOfLife::kUnknown
                          : m_context.upstreams.FindSignOfLife(*upstream)};
}

Duration ForwardedCall::CallerWait() const {
  return Elapsed() -
         (m_first_event.has_value() ? m_last_event : Duration::zero());
}

void ForwardedCall::RestartStallTimer() {
  if (!m_route->repeatable()) {
    return;
  }
  m_progress_at = m_context.loop.clock().Now();
  // An upstream may stop to give signs of life at any moment.
  const SilentAttempt attempt{.started = m_attempt_events > 0,
                              .upstream = SignOfLife::kNone};
  m_repeats_stall_check = false;
  StartStallTimer(MakeStallPolicy().TimeUntilMove(attempt));
}

void ForwardedCall::StartStallTimer(Duration wait) {
  m_stall_check_at = m_context.loop.clock().Now() + wait;
  m_stall_timer = m_context.loop.After(wait, [this] {
    // Input that is still unread after that waits for the caller to read.
    m_stall_timer = m_context.loop.AfterInput(
        [this] { HandleStall(); },
        [this] { return m_attempt->HasUnreadInput(); });
  });
}

void ForwardedCall::HandleStall() {
  const bool is_late =
      m_context.loop.clock().Now() - m_stall_check_at > kMaxStallCheckDelay;
  m_repeats_stall_check = is_late && !m_repeats_stall_check;
  if (m_repeats_stall_check) {
    StartStallTimer(kStallRecheckInterval);
    return;
  }
  const StallPolicy policy = MakeStallPolicy();
  const SilentAttempt attempt = DescribeSilence();
  const Duration wait = policy.TimeUntilMove(attempt);
  if (wait == Duration::zero() && !m_attempt->HasUnreadInput()) {
    const auto next = PickForRepeat();
    if (const auto* upstream = std::get_if<UpstreamId>(&next)) {
      MoveTo(*upstream);
      return;
    }
    LogHeldCall(std::get<RepeatObstacle>(next));
    if (policy.ShouldGiveUp(attempt)) {
      GiveUp("upstream_silent", Duration::zero());
      return;
    }
  }
  StartStallTimer(wait == Duration::zero()
                      ? kStallRecheckInterval
                      : std::min(wait, kStallRecheckInterval));
}

void ForwardedCall::LogHeldCall(RepeatObstacle obstacle) {
  if (m_held_by == obstacle) {
    return;
  }
  m_held_by = obstacle;
  m_context.metrics.Increment("calls_held_total{reason=\"" +
                              std::string(ToString(obstacle)) + "\"}");
  LogEvent event(LogLevel::kInfo, "call_held");
  event.With("request", m_call.id.value())
      .With("upstream", m_upstream->value())
      .With("reason", ToString(obstacle))
      .With("attempts", m_attempt_count)
      .With("events", m_attempt_events)
      .WithMilliseconds("silent_ms", DescribeSilence().silent_for);
  if (const Upstream* upstream = m_context.upstreams.Find(*m_upstream)) {
    event
        .WithMilliseconds("report_age_ms",
                          m_context.upstreams.ReportAge(*upstream))
        .With("upstream_calls", upstream->in_flight)
        .WithMilliseconds("upstream_silent_ms",
                          m_context.upstreams.SilentFor(*upstream));
  }
}

void ForwardedCall::MoveTo(const UpstreamId& next) {
  LogFailedAttempt(*m_upstream, "too_slow", true, "yes");
  m_context.metrics.Increment("attempts_failed_total{reason=\"too_slow\"}");
  EndAttempt(AttemptResult::kTimedOut);
  m_may_have_run = true;
  DropPartialResponse();
  StartAttempt(next);
}

ResponseMatch ForwardedCall::Match(const HttpHeaders& headers) {
  return m_context.codec.MatchResponse(headers, m_call.id);
}

void ForwardedCall::OnHead(int status, const HttpHeaders& headers) {
  m_status = status;
  m_context.retry_budget_for(m_service->name).RecordResponse(*m_upstream);
  m_context.upstreams.RecordProgress(*m_upstream);
  const ResponseInfo info = m_context.codec.InspectResponse(status, headers);
  RecordNotices(info);
  if (info.not_run || info.misdirected) {
    if (!info.answered_by.empty() && info.answered_by != *m_upstream) {
      m_context.upstreams.MarkReplaced(*m_upstream);
    }
    HandleFailedAttempt(
        info.misdirected ? AttemptResult::kMisdirected : AttemptResult::kShed,
        false, info.misdirected ? "misdirected" : "shed");
    return;
  }
  if (!info.authentic) {
    HandleFailedAttempt(AttemptResult::kBroken, true, "not_authentic");
    return;
  }
  m_attempt_begun_at = m_context.loop.clock().Now();
  if (m_route->kind != CallKind::kStream || status != ToCode(HttpStatus::kOk)) {
    // A stream begins with its first event, which is still to come.
    CountRun();
  }
  const bool failed = status >= ToCode(HttpStatus::kInternalError);
  if (!m_relaying) {
    m_response_headers = m_context.codec.CallerHeaders(headers);
    m_event_stream = m_route->kind == CallKind::kStream && !failed &&
                     status == ToCode(HttpStatus::kOk);
    if (m_event_stream) {
      StartRelay();
    }
  } else if (status != ToCode(HttpStatus::kOk) ||
             headers.Get("Content-Type") !=
                 m_response_headers.Get("Content-Type")) {
    // An error, perhaps with the status of a success, is no part of the stream.
    HandleFailedAttempt(AttemptResult::kFailed, true, "resume_refused");
  }
}

void ForwardedCall::RecordNotices(const ResponseInfo& info) {
  const Upstream* upstream = m_context.upstreams.Find(*m_upstream);
  const bool is_own = info.misdirected
                          ? info.answered_by == *m_upstream
                          : info.authentic || info.not_run ||
                                info.turned_away_for > Duration::zero();
  if (upstream == nullptr || !is_own) {
    return;
  }
  const UpstreamRun run{*m_upstream, upstream->record.started_at_ms};
  UpstreamNotices& notices = m_context.upstreams.notices();
  // A refusal that names no limit does not end one: it may come from a part of
  // the upstream that knows nothing of it.
  const bool has_run = info.authentic && !info.not_run;
  if (has_run || !std::holds_alternative<NoCallLimit>(info.call_limit)) {
    notices.RecordCallLimit(run, info.call_limit);
  }
  if (info.is_leaving) {
    notices.RecordLeaving(run);
  }
  if (info.turned_away_for > Duration::zero()) {
    notices.RecordTurnedAway(run, info.turned_away_for);
  }
}

void ForwardedCall::StartRelay() {
  m_relaying = true;
  m_exchange->StartStream(m_status, m_response_headers);
}

void ForwardedCall::OnPart(std::string_view bytes) {
  m_context.upstreams.RecordProgress(*m_upstream);
  m_context.quarantine.RecordProgress(m_attempt_run, m_attempt_sent_at);
  const std::size_t max_holding = m_context.response_buffers.MaxHolding();
  if (m_event_stream) {
    const std::string events = m_events.Append(bytes);
    if (!events.empty()) {
      CountRun();
      m_has_cut_event = false;
      if (m_attempt_events++ == 0) {
        KeepSoftwareVersion();
        RecordFirstEvent();
      } else {
        RecordLasting();
      }
      RecordEventTime();
      RelayBody(events);
      RestartStallTimer();
    }
    UpdateHeldBytes();
    if (!m_events.out_of_order_id().empty()) {
      LogEvent(LogLevel::kWarning, "event_out_of_order")
          .With("request", m_call.id.value())
          .With("upstream", m_upstream->value())
          .With("last_event_id", m_events.last_id())
          .With("event_id", m_events.out_of_order_id());
      // What the caller claims to have got does not count against an upstream.
      HandleFailedAttempt(m_first_event.has_value() ? AttemptResult::kBroken
                                                    : AttemptResult::kCancelled,
                          true, "event_out_of_order");
      return;
    }
    if (m_events.pending_bytes() > std::min(kMaxEventBytes, max_holding)) {
      HandleFailedAttempt(AttemptResult::kBroken, true, "event_too_large");
    }
    return;
  }
  if (m_relaying) {
    RelayBody(bytes);
    return;
  }
  m_body += bytes;
  UpdateHeldBytes();
  if (m_body.size() > std::min(kMaxBufferedResponseBytes, max_holding)) {
    StartRelay();
    RelayBody(std::exchange(m_body, {}));
  }
}

void ForwardedCall::DropPartialResponse() {
  m_body.clear();
  // What is left of an event that repeats another one promises no more.
  m_has_cut_event = m_has_cut_event || (m_events.pending_bytes() > 0 &&
                                        m_events.out_of_order_id().empty());
  static_cast<void>(m_events.TakeRemainder());
  UpdateHeldBytes();
}

void ForwardedCall::UpdateHeldBytes() {
  m_held_bytes.Set(m_body.size() + m_events.pending_bytes() +
                   m_unsent_response_bytes);
}

void ForwardedCall::CountRun() {
  if (std::exchange(m_has_begun, true) || m_context.runs == nullptr ||
      m_organisation == nullptr) {
    return;
  }
  m_context.runs->CountRun(m_organisation->name);
}

void ForwardedCall::KeepSoftwareVersion() {
  if (!m_query.software_version.has_value()) {
    m_query.software_version = m_attempt_version;
  }
  if (m_route->repeatable()) {
    m_context.stream_origins.Record(
        OwnStreamKey(), {m_service->name, *m_query.software_version});
  }
}

void ForwardedCall::RecordFirstEvent() {
  if (m_attempt_begun_at.has_value()) {
    m_context.quarantine.RecordSurvival(m_call.prompt, *m_attempt_begun_at);
  }
  m_attempt_first_event = m_context.loop.clock().Now() - m_attempt_sent_at;
  m_lasting_reported = Duration::zero();
  m_context.demand.RecordReading(m_service->name, m_query.model,
                                 m_unread_tokens, *m_attempt_first_event);
  ReleaseRoom(true);
  RecordPrediction();
}

CallProgress ForwardedCall::AttemptProgress() const {
  return m_attempt_events == 0
             ? kNoEvent
             : CallProgress(m_context.loop.clock().Now() - m_attempt_sent_at -
                            *m_attempt_first_event);
}

void ForwardedCall::RecordLasting() {
  const Duration lasted = *AttemptProgress();
  if (lasted >= std::max(m_lasting_reported * 2, kMinLastingReport)) {
    m_lasting_reported = lasted;
    m_context.quarantine.RecordSurvival(
        m_call.prompt, m_attempt_begun_at.value_or(m_attempt_sent_at), lasted);
  }
}

void ForwardedCall::RecordEventTime() {
  const Duration now = Elapsed();
  if (m_first_event.has_value()) {
    m_longest_pause = std::max(m_longest_pause, now - m_last_event);
  } else {
    m_first_event = now;
  }
  m_last_event = now;
}

void ForwardedCall::RecordPrediction() {
  if (!m_predicted_first_event.has_value()) {
    return;
  }
  m_context.metrics.Increment(
      "first_event_predictions_total{error=\"" +
      std::string(ToString(
          JudgePrediction(*m_predicted_first_event, *m_attempt_first_event))) +
      "\"}");
}

void ForwardedCall::RelayBody(std::string_view bytes) {
  m_unsent_response_bytes += bytes.size();
  m_exchange->SendPart(bytes, [this] {
    m_unsent_response_bytes = 0;
    UpdateHeldBytes();
    if (m_attempt != nullptr) {
      m_attempt->SetPaused(false);
    }
  });
  const std::size_t max_unsent = std::min(
      kMaxUnsentResponseBytes, m_context.response_buffers.MaxHolding());
  UpdateHeldBytes();
  if (m_unsent_response_bytes > max_unsent && m_attempt != nullptr) {
    m_attempt->SetPaused(true);
  }
}

void ForwardedCall::OnEnd(HttpOutcome outcome) {
  switch (outcome) {
    case HttpOutcome::kComplete:
      if (IsStreamBrokenOff()) {
        RecordBroken();
        HandleFailedAttempt(AttemptResult::kBroken, true, "broken_off");
        return;
      }
      HandleCompleteResponse();
      return;
    case HttpOutcome::kNotSent:
      m_context.quarantine.RecordUnreachable(m_attempt_run);
      HandleFailedAttempt(AttemptResult::kUnreachable, false, "unreachable");
      return;
    case HttpOutcome::kBroken:
      RecordBroken();
      HandleFailedAttempt(AttemptResult::kBroken, true, "broken");
      return;
    case HttpOutcome::kTimedOut:
      HandleFailedAttempt(AttemptResult::kTimedOut, true, "silent");
      return;
  }
}

bool ForwardedCall::IsStreamBrokenOff() const {
  // The caller of a stream that is taken up may have all of its events.
  const bool has_more = m_events.last_id().empty() || m_has_cut_event;
  return m_event_stream &&
         (m_events.pending_bytes() > 0 || (has_more && m_attempt_events == 0));
}

void ForwardedCall::HandleCompleteResponse() {
  const bool failed = m_status >= ToCode(HttpStatus::kInternalError);
  const UpstreamId upstream = *m_upstream;
  if (!failed && m_attempt_begun_at.has_value()) {
    m_context.quarantine.RecordSurvival(m_call.prompt, *m_attempt_begun_at,
                                        kCompleteCall);
  }
  EndAttempt(failed ? AttemptResult::kFailed : AttemptResult::kServed);
  if (failed && !m_relaying) {
    m_may_have_run = true;
    const auto picked = PickForRepeat();
    const auto* next = std::get_if<UpstreamId>(&picked);
    LogFailedAttempt(upstream, std::to_string(m_status), true,
                     next != nullptr ? "yes" : "no");
    if (next != nullptr) {
      DropPartialResponse();
      StartAttempt(*next);
      return;
    }
  }
  if (!m_relaying) {
    m_exchange->Respond(m_status, m_response_headers, m_body);
  } else {
    m_exchange->EndStream();
  }
  if (m_event_stream && !failed) {
    m_context.call_lengths.Record(m_route->name, m_attempt_events);
  }
  Finish(failed ? "upstream_error" : "served", std::to_string(m_status));
}

void ForwardedCall::RecordBroken() {
  m_context.quarantine.RecordBroken(
      m_call.prompt, m_attempt_run,
      m_attempt_begun_at.value_or(m_attempt_sent_at),
      m_event_stream && m_attempt_begun_at.has_value(), AttemptProgress());
}

std::variant<UpstreamId, RepeatObstacle> ForwardedCall::PickForRepeat() {
  if (const auto obstacle = FindObstacle(true)) {
    return *obstacle;
  }
  const auto picked = m_context.upstreams.Pick(m_query);
  const auto* upstream = std::get_if<UpstreamId>(&picked);
  // An attempt that is still in progress is left because it is silent.
  const AttemptResult result = m_upstream.has_value() ? AttemptResult::kTimedOut
                                                      : AttemptResult::kFailed;
  if (upstream == nullptr) {
    return RepeatObstacle::kNoUpstreamFree;
  }
  if (!AcquireRetry(result, m_upstream)) {
    return RepeatObstacle::kOverBudget;
  }
  return *upstream;
}

void ForwardedCall::EndAttempt(AttemptResult result) {
  ReleaseRoom(false);
  m_stall_timer = nullptr;
  m_attempt = nullptr;
  if (m_upstream.has_value()) {
    m_context.upstreams.RecordAttemptResult(*m_upstream, m_query, result);
    m_upstream.reset();
  }
}

std::optional<RepeatObstacle> ForwardedCall::FindObstacle(bool may_have_run) {
  if (may_have_run && !m_route->repeatable()) {
    return RepeatObstacle::kNotRepeatable;
  }
  if (!m_context.quarantine.MayRepeat(m_call.prompt)) {
    return RepeatObstacle::kQuarantined;
  }
  if (m_relaying && !m_event_stream) {
    // The caller has bytes of a response that another run may not repeat.
    return RepeatObstacle::kPartialResponse;
  }
  if (m_attempt_count - m_unreachable_attempts >= m_route->max_attempts ||
      m_unreachable_attempts > kMaxUnreachableAttempts) {
    return RepeatObstacle::kNoAttemptLeft;
  }
  if (TimeLeft() <= kMinAttemptTime) {
    return RepeatObstacle::kNoTimeLeft;
  }
  return std::nullopt;
}

bool ForwardedCall::AcquireRetry(AttemptResult result,
                                 const std::optional<UpstreamId>& left) {
  RetryBudget& budget = m_context.retry_budget_for(m_service->name);
  const auto record = [this](std::string_view granted) {
    m_context.metrics.Increment("retries_total{service=\"" +
                                m_service->name.value() + "\",granted=\"" +
                                std::string(granted) + "\"}");
  };
  if (result == AttemptResult::kUnreachable) {
    record("uncharged");
    return true;
  }
  const bool was_silent = result == AttemptResult::kTimedOut &&
                          left.has_value() && !m_attempt_begun_at.has_value();
  const bool granted =
      was_silent ? budget.TryAcquireFromSilent(*left) : budget.TryAcquire();
  record(granted ? "yes" : "no");
  return granted;
}

void ForwardedCall::HandleFailedAttempt(AttemptResult result, bool may_have_run,
                                        std::string_view reason) {
  const UpstreamId upstream = *m_upstream;
  m_context.metrics.Increment("attempts_failed_total{reason=\"" +
                              std::string(reason) + "\"}");
  EndAttempt(result);
  m_unreachable_attempts += result == AttemptResult::kUnreachable ? 1 : 0;
  m_may_have_run = m_may_have_run || may_have_run;
  DropPartialResponse();
  const bool allowed = !FindObstacle(may_have_run).has_value();
  const bool retry = allowed && AcquireRetry(result, upstream);
  LogFailedAttempt(upstream, reason, may_have_run,
                   retry ? "yes" : (allowed ? "over_budget" : "no"));
  if (retry) {
    TryUpstream();
    return;
  }
  if (m_relaying) {
    AbortRelay(reason);
    return;
  }
  if (m_may_have_run) {
    Refuse(ToCode(HttpStatus::kBadGateway), reason, Duration::zero());
  } else {
    Refuse(ToCode(HttpStatus::kServiceUnavailable), reason, kRetryAfter);
  }
}

void ForwardedCall::LogFailedAttempt(const UpstreamId& upstream,
                                     std::string_view reason, bool may_have_run,
                                     std::string_view retry) {
  LogEvent(LogLevel::kInfo, "attempt_failed")
      .With("request", m_call.id.value())
      .With("upstream", upstream.value())
      .With("reason", reason)
      .With("may_have_run", may_have_run ? "yes" : "no")
      .With("retry", retry)
      .With("retries_left",
            m_context.retry_budget_for(m_service->name).RetriesLeft())
      .With("begun_ms",
            m_attempt_begun_at.has_value()
                ? (m_context.loop.clock().Now() - *m_attempt_begun_at) /
                      milliseconds(1)
                : -1)
      .With("events", m_attempt_events)
      .With("elapsed_ms", Elapsed() / milliseconds(1));
}

void ForwardedCall::AbortRelay(std::string_view reason) {
  m_exchange->Abort();
  Finish("cut", reason);
}

}  // namespace bambooquay
