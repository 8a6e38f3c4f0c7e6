// Runs one request on the upstream and streams its response to the entry.
#include "running_work.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/tracing.h"
#include "bambooquay/upstreams/agent.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr Duration kUpstreamIdleTimeout = std::chrono::seconds(300);
constexpr std::size_t kBodyTailBytes = 4096;
// Limit on the part of one response body that is stored.
constexpr std::size_t kMaxStoredBodyBytes = 1024 * 1024;
// Reading from the upstream pauses and resumes by the number of bytes that the
// entry has not consumed yet.
constexpr std::size_t kPauseAboveBytes = 256 * 1024;
constexpr std::size_t kResumeBelowBytes = 64 * 1024;
// Number of stream parts over which the pace is averaged.
constexpr std::size_t kPaceWindowParts = 4;

}  // namespace

RunningWork::RunningWork(Agent& agent, Work work,
                         std::shared_ptr<WorkSink> sink,
                         std::unique_ptr<opentracing::Span> span,
                         bool is_plain_service)
    : m_agent(agent),
      m_work(std::move(work)),
      m_sink(std::move(sink)),
      m_span(std::move(span)),
      m_is_plain_service(is_plain_service) {}

RunningWork::~RunningWork() = default;

void RunningWork::Start(EventLoop& loop, const Endpoint& upstream) {
  m_upstream_span =
      StartSpan(m_agent.m_context.tracer, "upstream", TraceparentOf(*m_span));
  m_started_at = loop.clock().Now();
  HttpRequest request;
  request.method = m_work.method;
  request.target = m_work.target;
  request.headers.Add("Content-Type", m_work.content_type.empty()
                                          ? "application/json"
                                          : m_work.content_type);
  request.headers.Add("traceparent", TraceparentOf(*m_upstream_span));
  request.headers.Add("X-Request-Id", m_work.id.value());
  request.headers.Add("X-Priority", m_work.priority == Priority::kBatch
                                        ? "batch"
                                        : "interactive");
  if (!m_work.organisation.empty()) {
    request.headers.Add("X-Organisation", m_work.organisation.value());
  }
  request.body = m_work.body;
  if (m_sink != nullptr) {
    m_sink->OnBytesConsumed([this] { ApplyBackPressure(); });
  }
  m_call = StartHttpCall(loop, upstream, request, kUpstreamIdleTimeout, *this);
}

void RunningWork::FailUnsent(Refusal refusal) {
  m_result.outcome = Outcome::kNotRun;
  m_result.refusal = refusal;
  Finish();
}

void RunningWork::Abort(const std::string& reason) {
  m_call = nullptr;
  m_result.outcome = Outcome::kRan;
  m_result.refusal = Refusal::kKeyWithdrawn;
  m_result.message = reason;
  Finish();
}

StoredResponse RunningWork::TakeStoredResponse() {
  return {m_result, m_status, std::move(m_content_type),
          std::move(m_stored_body)};
}

void RunningWork::OnHead(int status, const HttpHeaders& headers) {
  m_status = status;
  m_content_type = headers.Get("Content-Type");
  // An engine answers 503 before it runs anything, so the entry may send the
  // request to another engine.
  m_upstream_failed =
      !m_is_plain_service && status == ToCode(HttpStatus::kServiceUnavailable);
  if (m_sink != nullptr && !m_upstream_failed) {
    m_sink->SendHead(status, m_content_type);
  }
}

void RunningWork::OnPart(std::string_view bytes) {
  if (m_upstream_failed) {
    return;
  }
  if (m_sink != nullptr) {
    m_sink->SendPart(bytes);
    ApplyBackPressure();
  }
  if (!m_work.idempotent && m_stored_body.size() < kMaxStoredBodyBytes) {
    m_stored_body += bytes;
  }
  m_body_tail += bytes;
  if (m_body_tail.size() > kBodyTailBytes * 2) {
    m_body_tail.erase(0, m_body_tail.size() - kBodyTailBytes);
  }
  RecordStreamPace();
}

// Windows in which this agent paused reading are skipped: they do not show the
// upstream's pace.
void RunningWork::RecordStreamPace() {
  const TimePoint now = m_agent.m_context.loop.clock().Now();
  if (m_part_count++ % kPaceWindowParts != 0) {
    return;
  }
  if (m_part_count > 1 && !m_was_paused && !m_is_plain_service) {
    m_agent.m_limit.RecordPace(
        (now - m_pace_window_start) / static_cast<int>(kPaceWindowParts),
        static_cast<std::uint32_t>(m_agent.m_running.size()));
  }
  m_pace_window_start = now;
  m_was_paused = m_paused;
}

void RunningWork::ApplyBackPressure() {
  if (m_sink == nullptr || m_call == nullptr) {
    return;
  }
  const std::size_t pending = m_sink->pending_bytes();
  if (!m_paused && pending > kPauseAboveBytes) {
    m_paused = true;
    m_was_paused = true;
    m_call->SetPaused(true);
  } else if (m_paused && pending < kResumeBelowBytes) {
    m_paused = false;
    m_call->SetPaused(false);
  }
}

void RunningWork::OnEnd(HttpOutcome http_outcome) {
  switch (http_outcome) {
    case HttpOutcome::kComplete:
      m_result.outcome = m_upstream_failed ? Outcome::kNotRun : Outcome::kRan;
      m_result.refusal =
          m_upstream_failed ? Refusal::kUpstreamDown : Refusal::kNone;
      break;
    case HttpOutcome::kNotSent:
      m_upstream_failed = true;
      m_result.outcome = Outcome::kNotRun;
      m_result.refusal = Refusal::kUpstreamDown;
      break;
    case HttpOutcome::kBroken:
    case HttpOutcome::kTimedOut:
      m_upstream_failed = true;
      m_result.outcome = Outcome::kUnknown;
      m_result.message = "the upstream's response broke off";
      break;
  }
  ReadUsage();
  Finish();
}

// The "usage" object is at the end of a complete response, or in the last event
// of a stream.
void RunningWork::ReadUsage() {
  const std::size_t position = m_body_tail.rfind("\"usage\"");
  if (m_is_plain_service || position == std::string::npos) {
    return;
  }
  const std::size_t open_brace = m_body_tail.find('{', position);
  const std::size_t close_brace = m_body_tail.find('}', position);
  if (open_brace == std::string::npos || close_brace == std::string::npos ||
      close_brace < open_brace) {
    return;
  }
  const Json usage =
      Json::parse(m_body_tail.substr(open_brace, close_brace - open_brace + 1),
                  nullptr, false);
  if (usage.is_object()) {
    m_result.used = Tokens{usage.value("total_tokens", 0.0)};
    m_completion_tokens = usage.value("completion_tokens", 0.0);
  }
}

Duration RunningWork::MeasuredPace() const noexcept {
  const Duration elapsed = m_agent.m_context.loop.clock().Now() - m_started_at;
  if (m_is_plain_service) {
    return elapsed;
  }
  // For a longer stream, RecordStreamPace() recorded the pace while it ran.
  if (m_completion_tokens < 1.0 || m_part_count > kPaceWindowParts ||
      m_was_paused) {
    return Duration::zero();
  }
  return FromSeconds(ToSeconds(elapsed) / m_completion_tokens);
}

void RunningWork::Finish() {
  if (std::exchange(m_ended, true)) {
    return;
  }
  if (m_span != nullptr) {
    m_span->SetTag("outcome", std::string(ToString(m_result.outcome)));
  }
  m_upstream_span = nullptr;
  m_span = nullptr;
  m_agent.FinishRunning(*this);
}

}  // namespace bambooquay
