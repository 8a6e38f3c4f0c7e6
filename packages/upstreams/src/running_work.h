// One request that runs on the upstream, and its response to the entry.
#pragma once

#include <opentracing/span.h>

#include <memory>
#include <string>

#include "bambooquay/core/attempt_ledger.h"
#include "bambooquay/core/work.h"
#include "bambooquay/peers/node_service.h"
#include "bambooquay/runtime/http_client.h"

namespace bambooquay {

class Agent;

/// Sends one request to the upstream and streams the response to the entry.
/// Non-idempotent work continues when its entry disconnects, and its response
/// is stored for later queries.
class RunningWork final : private HttpObserver {
 public:
  RunningWork(Agent& agent, Work work, std::shared_ptr<WorkSink> sink,
              std::unique_ptr<opentracing::Span> span, bool is_plain_service);
  ~RunningWork() override;

  void Start(EventLoop& loop, const Endpoint& upstream);
  /// Ends work that was not sent to the upstream, with `refusal` as the reason.
  void FailUnsent(Refusal refusal);
  /// Cancels the request to the upstream and reports to the entry that the key
  /// was withdrawn, with `reason` as the message.
  void Abort(const std::string& reason);
  /// Stops sending to the entry, which has disconnected.
  void Detach() noexcept { m_sink = nullptr; }

  [[nodiscard]] const Work& work() const noexcept { return m_work; }
  [[nodiscard]] const WorkResult& result() const noexcept { return m_result; }
  [[nodiscard]] StoredResponse TakeStoredResponse();
  /// @returns the time per output token, or per call of a plain service; zero
  ///   if it was not measured.
  [[nodiscard]] Duration MeasuredPace() const noexcept;
  [[nodiscard]] std::shared_ptr<WorkSink> sink() const noexcept {
    return m_sink;
  }
  [[nodiscard]] bool upstream_failed() const noexcept {
    return m_upstream_failed;
  }

 private:
  void OnHead(int status, const HttpHeaders& headers) override;
  void OnPart(std::string_view bytes) override;
  void OnEnd(HttpOutcome http_outcome) override;
  void Finish();
  void ReadUsage();
  /// Reports the pace of a stream to the concurrency limit while the stream
  /// runs.
  void RecordStreamPace();
  void ApplyBackPressure();

  Agent& m_agent;
  Work m_work;
  std::shared_ptr<WorkSink> m_sink;
  std::unique_ptr<opentracing::Span> m_span;
  std::unique_ptr<opentracing::Span> m_upstream_span;
  bool m_is_plain_service;
  std::unique_ptr<HttpCall> m_call;
  WorkResult m_result;
  int m_status = 0;
  std::string m_content_type;
  /// The response body so far; recorded only for non-idempotent work.
  std::string m_stored_body;
  /// The last bytes of the response, which are searched for the token usage.
  std::string m_body_tail;
  TimePoint m_started_at;
  TimePoint m_first_part_at;
  TimePoint m_pace_window_start;
  std::size_t m_part_count = 0;
  double m_completion_tokens = 0.0;
  bool m_paused = false;
  /// Whether reading was paused since the pace window began.
  bool m_was_paused = false;
  bool m_upstream_failed = false;
  bool m_ended = false;
};

}  // namespace bambooquay
