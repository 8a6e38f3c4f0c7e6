// What a forwarded call makes of an upstream's response, and of its absence.
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/forwarded_call.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// A reply that is not a stream is relayed once it is whole, up to this size;
// a larger one is relayed as it arrives.
constexpr std::size_t kWholeReplyBytes = 256 * 1024;
// Bytes that the caller has not taken at which reading the upstream pauses.
constexpr std::size_t kPauseBytes = 64 * 1024;
// Attempts with less time left than this are not worth making.
constexpr Duration kLeastAttemptTime = milliseconds(50);
// Upstreams that could not be reached, beyond which a call gives up: each costs
// up to the time in which connections are made.
constexpr int kMostUnsent = 4;
// A stream is moved when it pauses for this multiple of the longest pause
// that its route allows.
constexpr double kSilencePauses = 2.0;

}  // namespace

void ForwardedCall::WatchSilence(Duration limit) {
  if (limit > Duration::zero()) {
    m_silence_timer = m_context.loop.After(limit, [this] { HandleSilence(); });
  }
}

bool ForwardedCall::Accepts(const HttpHeaders& headers) {
  return m_context.codec.Answers(headers, m_call.id);
}

void ForwardedCall::OnHead(int status, const HttpHeaders& headers) {
  m_status = status;
  const ResponseFacts facts = m_context.codec.InspectResponse(status, headers);
  if (facts.not_run || facts.misdirected) {
    if (!facts.answered_by.empty() && facts.answered_by != *m_upstream) {
      m_context.upstreams.MarkLeaving(*m_upstream);
    }
    HandleFailedAttempt(
        facts.misdirected ? AttemptEnd::kNotThere : AttemptEnd::kShed, false,
        facts.misdirected ? "misdirected" : "shed");
    return;
  }
  if (!facts.authentic) {
    HandleFailedAttempt(AttemptEnd::kBroken, true, "not_authentic");
    return;
  }
  const bool failed = status >= ToCode(HttpStatus::kInternalError);
  if (!m_relaying) {
    m_reply_headers = m_context.codec.CallerHeaders(headers);
    m_event_stream = m_route->kind == CallKind::kStream && !failed &&
                     status == ToCode(HttpStatus::kOk);
    if (m_event_stream) {
      StartRelay();
    }
  } else if (status != ToCode(HttpStatus::kOk)) {
    HandleFailedAttempt(AttemptEnd::kFailed, true, "resume_refused");
  }
}

void ForwardedCall::StartRelay() {
  m_relaying = true;
  m_exchange->StartStream(m_status, m_reply_headers);
}

void ForwardedCall::OnPart(std::string_view bytes) {
  if (m_event_stream) {
    const std::string events = m_events.Add(bytes);
    if (!events.empty()) {
      NoteEvent();
      RelayBody(events);
      if (m_route->repeatable()) {
        WatchSilence(std::chrono::duration_cast<Duration>(m_route->max_pause *
                                                          kSilencePauses));
      }
    }
    return;
  }
  if (m_relaying) {
    RelayBody(bytes);
    return;
  }
  m_body += bytes;
  if (m_body.size() > kWholeReplyBytes) {
    StartRelay();
    RelayBody(std::exchange(m_body, {}));
  }
}

void ForwardedCall::NoteEvent() {
  const Duration now = Elapsed();
  if (m_first_event.has_value()) {
    m_longest_pause = std::max(m_longest_pause, now - m_last_event);
  } else {
    m_first_event = now;
  }
  m_last_event = now;
}

void ForwardedCall::RelayBody(std::string_view bytes) {
  m_unsent_bytes += bytes.size();
  m_exchange->SendPart(bytes, [this] {
    m_unsent_bytes = 0;
    if (m_attempt != nullptr) {
      m_attempt->SetPaused(false);
    }
  });
  if (m_unsent_bytes > kPauseBytes && m_attempt != nullptr) {
    m_attempt->SetPaused(true);
  }
}

void ForwardedCall::OnEnd(HttpEnding ending) {
  switch (ending) {
    case HttpEnding::kComplete:
      HandleComplete();
      return;
    case HttpEnding::kNotSent:
      HandleFailedAttempt(AttemptEnd::kUnreachable, false, "unreachable");
      return;
    case HttpEnding::kBroken:
      HandleFailedAttempt(AttemptEnd::kBroken, true, "broken");
      return;
    case HttpEnding::kTimedOut:
      HandleFailedAttempt(AttemptEnd::kTimedOut, true, "silent");
      return;
  }
}

void ForwardedCall::HandleComplete() {
  const bool failed = m_status >= ToCode(HttpStatus::kInternalError);
  const UpstreamId upstream = *m_upstream;
  EndAttempt(failed ? AttemptEnd::kFailed : AttemptEnd::kServed);
  if (failed && !m_relaying) {
    const auto next = NextAfterFailure();
    LogFailedAttempt(upstream, std::to_string(m_status), true,
                     next.has_value() ? "yes" : "no");
    if (next.has_value()) {
      m_body.clear();
      Attempt(*next);
      return;
    }
  }
  if (!m_relaying) {
    m_exchange->Reply(m_status, m_reply_headers, m_body);
  } else {
    const std::string rest = m_events.TakeRest();
    if (!rest.empty()) {
      m_exchange->SendPart(rest, nullptr);
    }
    m_exchange->EndStream();
  }
  Finish(failed ? "upstream_error" : "served", std::to_string(m_status));
}

std::optional<UpstreamId> ForwardedCall::NextAfterFailure() {
  m_may_have_run = true;
  if (!CanRetry(true)) {
    return std::nullopt;
  }
  const auto picked = m_context.upstreams.Pick(m_query);
  const auto* upstream = std::get_if<UpstreamId>(&picked);
  if (upstream == nullptr || !TakeRetry(AttemptEnd::kFailed)) {
    return std::nullopt;
  }
  return *upstream;
}

void ForwardedCall::EndAttempt(AttemptEnd end) {
  m_silence_timer = nullptr;
  m_attempt = nullptr;
  if (m_upstream.has_value()) {
    m_context.upstreams.Ended(*m_upstream, m_query, end);
    m_upstream.reset();
  }
}

bool ForwardedCall::CanRetry(bool may_have_run) {
  if (may_have_run && !m_route->repeatable()) {
    return false;
  }
  return m_attempts - m_unsent < m_route->max_attempts &&
         m_unsent <= kMostUnsent && TimeLeft() > kLeastAttemptTime;
}

bool ForwardedCall::TakeRetry(AttemptEnd end) {
  const bool burdens = end != AttemptEnd::kUnreachable;
  const bool granted =
      !burdens || m_context.budget_of(m_service->name).TryRetry();
  m_context.metrics.Increment(granted ? "retries_total{granted=\"yes\"}"
                                      : "retries_total{granted=\"no\"}");
  return granted;
}

void ForwardedCall::HandleFailedAttempt(AttemptEnd end, bool may_have_run,
                                        std::string_view reason) {
  const UpstreamId upstream = *m_upstream;
  m_context.metrics.Increment("attempts_failed_total{reason=\"" +
                              std::string(reason) + "\"}");
  EndAttempt(end);
  m_unsent += end == AttemptEnd::kUnreachable ? 1 : 0;
  m_may_have_run = m_may_have_run || may_have_run;
  m_body.clear();
  static_cast<void>(m_events.TakeRest());
  const bool allowed = CanRetry(may_have_run);
  const bool retry = allowed && TakeRetry(end);
  LogFailedAttempt(upstream, reason, may_have_run,
                   retry ? "yes" : (allowed ? "over_budget" : "no"));
  if (retry) {
    TryUpstream();
    return;
  }
  if (m_relaying) {
    m_exchange->Abort();
    Finish("cut", reason);
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
      .With("elapsed_ms", Elapsed() / milliseconds(1));
}

void ForwardedCall::HandleSilence() {
  if (m_upstream.has_value() && CanRetry(true)) {
    HandleFailedAttempt(AttemptEnd::kTimedOut, true, "too_slow");
  }
}

}  // namespace bambooquay
