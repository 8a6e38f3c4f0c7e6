// Tracing through the OpenTracing API, exported in the Zipkin JSON v2 format.
#include "bambooquay/runtime/tracing.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/http_client.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kMaxQueuedSpans = 4096;
constexpr std::size_t kTraceparentHeaderLength = 55;
constexpr Duration kExportPeriod = std::chrono::milliseconds(500);
constexpr Duration kExportTimeout = std::chrono::seconds(2);
constexpr const char* kTraceparentHeader = "traceparent";

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// Trace ID and span ID of one span, as defined by W3C Trace Context.
class TraceContext final : public opentracing::SpanContext {
 public:
  TraceContext(std::string trace_id, std::string span_id)
      : m_trace_id(std::move(trace_id)), m_span_id(std::move(span_id)) {}

  /// Parses a `traceparent` header of version 00.
  /// @returns the context, or null if the header is malformed.
  static std::unique_ptr<TraceContext> Parse(std::string_view header) {
    if (header.size() != kTraceparentHeaderLength ||
        !header.starts_with("00-") || header[35] != '-' || header[52] != '-') {
      return nullptr;
    }
    const std::string_view trace_id = header.substr(3, kTraceIdDigits);
    const std::string_view span_id = header.substr(36, kSpanIdDigits);
    const bool has_all_zero_id =
        trace_id.find_first_not_of('0') == std::string_view::npos ||
        span_id.find_first_not_of('0') == std::string_view::npos;
    if (has_all_zero_id || !IsLowerHex(trace_id) || !IsLowerHex(span_id)) {
      return nullptr;
    }
    return std::make_unique<TraceContext>(std::string(trace_id),
                                          std::string(span_id));
  }

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)> /*visit*/)
      const override {}
  [[nodiscard]] std::unique_ptr<opentracing::SpanContext> Clone()
      const noexcept override {
    return std::make_unique<TraceContext>(m_trace_id, m_span_id);
  }
  [[nodiscard]] std::string ToTraceID() const noexcept override {
    return m_trace_id;
  }
  [[nodiscard]] std::string ToSpanID() const noexcept override {
    return m_span_id;
  }
  [[nodiscard]] std::string ToHeader() const {
    return "00-" + m_trace_id + "-" + m_span_id + "-01";
  }

 private:
  std::string m_trace_id;
  std::string m_span_id;
};

/// Queues finished spans and sends them to the collector in batches. A batch
/// that fails is not sent again, and spans beyond kMaxQueuedSpans are dropped.
class SpanExporter : private HttpObserver {
 public:
  SpanExporter(EventLoop& loop, std::string process, const Endpoint& collector)
      : m_loop(loop), m_process(std::move(process)), m_collector(collector) {
    if (m_collector.port != 0) {
      m_export_timer = loop.Every(kExportPeriod, [this] { Export(); });
    }
  }

  void Add(Json span) {
    if (m_collector.port == 0 || m_spans.size() >= kMaxQueuedSpans) {
      return;
    }
    span["localEndpoint"] = {{"serviceName", m_process}};
    m_spans.push_back(std::move(span));
  }

 private:
  void Export() {
    if (m_spans.empty() || m_is_exporting) {
      return;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/api/v2/spans";
    request.headers.Add("Content-Type", "application/json");
    request.body = Json(std::exchange(m_spans, {})).dump();
    m_is_exporting = true;
    m_export_call =
        StartHttpCall(m_loop, m_collector, request, kExportTimeout, *this);
  }

  void OnHead(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnPart(std::string_view /*bytes*/) override {}
  void OnEnd(HttpOutcome /*outcome*/) override { m_is_exporting = false; }

  EventLoop& m_loop;
  std::string m_process;
  Endpoint m_collector;
  std::vector<Json> m_spans;
  bool m_is_exporting = false;
  std::unique_ptr<HttpCall> m_export_call;
  std::unique_ptr<Timer> m_export_timer;
};

std::string ToText(const opentracing::Value& value) {
  if (value.is<std::string>()) {
    return value.get<std::string>();
  }
  if (value.is<const char*>()) {
    return value.get<const char*>();
  }
  if (value.is<std::int64_t>()) {
    return std::to_string(value.get<std::int64_t>());
  }
  if (value.is<std::uint64_t>()) {
    return std::to_string(value.get<std::uint64_t>());
  }
  if (value.is<double>()) {
    return std::to_string(value.get<double>());
  }
  return value.is<bool>() && value.get<bool>() ? "true" : "false";
}

/// A span that is passed to the exporter when it is finished.
class ExportedSpan final : public opentracing::Span {
 public:
  ExportedSpan(const opentracing::Tracer& tracer, SpanExporter& exporter,
               std::string operation, std::string trace_id,
               std::string parent_id)
      : m_tracer(tracer),
        m_exporter(exporter),
        m_operation(std::move(operation)),
        m_context(std::move(trace_id), MakeRandomId().substr(0, kSpanIdDigits)),
        m_parent_id(std::move(parent_id)),
        m_started_at(std::chrono::system_clock::now()),
        m_started_at_steady(std::chrono::steady_clock::now()) {}
  ExportedSpan(const ExportedSpan&) = delete;
  ExportedSpan& operator=(const ExportedSpan&) = delete;
  ~ExportedSpan() override { Finish(); }

  void FinishWithOptions(
      const opentracing::FinishSpanOptions& options) noexcept override {
    if (std::exchange(m_is_finished, true)) {
      return;
    }
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    Json span = {
        {"traceId", m_context.ToTraceID()},
        {"id", m_context.ToSpanID()},
        {"name", m_operation},
        {"kind", "SERVER"},
        {"timestamp",
         duration_cast<microseconds>(m_started_at.time_since_epoch()).count()},
        {"duration",
         std::max<std::int64_t>(
             1, duration_cast<microseconds>(options.finish_steady_timestamp -
                                            m_started_at_steady)
                    .count())},
        {"tags", m_tags}};
    if (!m_parent_id.empty()) {
      span["parentId"] = m_parent_id;
    }
    m_exporter.Add(std::move(span));
  }

  void SetOperationName(opentracing::string_view name) noexcept override {
    m_operation = name;
  }
  void SetTag(opentracing::string_view key,
              const opentracing::Value& value) noexcept override {
    m_tags[key] = ToText(value);
  }
  // Baggage and span logs are not supported.
  void SetBaggageItem(opentracing::string_view /*key*/,
                      opentracing::string_view /*value*/) noexcept override {}
  [[nodiscard]] std::string BaggageItem(
      opentracing::string_view /*key*/) const noexcept override {
    return {};
  }
  void Log(std::initializer_list<
           std::pair<opentracing::string_view, opentracing::Value>>
           /*fields*/) noexcept override {}
  void Log(opentracing::SystemTime /*timestamp*/,
           std::initializer_list<
               std::pair<opentracing::string_view, opentracing::Value>>
           /*fields*/) noexcept override {}
  void Log(opentracing::SystemTime /*timestamp*/,
           const std::vector<
               std::pair<opentracing::string_view, opentracing::Value>>&
           /*fields*/) noexcept override {}
  [[nodiscard]] const opentracing::SpanContext& context()
      const noexcept override {
    return m_context;
  }
  [[nodiscard]] const opentracing::Tracer& tracer() const noexcept override {
    return m_tracer;
  }

 private:
  const opentracing::Tracer& m_tracer;
  SpanExporter& m_exporter;
  std::string m_operation;
  TraceContext m_context;
  std::string m_parent_id;
  std::chrono::system_clock::time_point m_started_at;
  std::chrono::steady_clock::time_point m_started_at_steady;
  std::map<std::string, std::string> m_tags;
  bool m_is_finished = false;
};

/// Creates exported spans and propagates their context in `traceparent` only.
class ExportingTracer final : public opentracing::Tracer {
 public:
  ExportingTracer(EventLoop& loop, std::string process,
                  const Endpoint& collector)
      : m_exporter(std::make_unique<SpanExporter>(loop, std::move(process),
                                                  collector)) {}

  [[nodiscard]] std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      opentracing::string_view operation,
      const opentracing::StartSpanOptions& options) const noexcept override {
    std::string trace_id;
    std::string parent_id;
    if (!options.references.empty() &&
        options.references.front().second != nullptr) {
      trace_id = options.references.front().second->ToTraceID();
      parent_id = options.references.front().second->ToSpanID();
    }
    if (trace_id.empty()) {
      trace_id = MakeRandomId();
    }
    return std::make_unique<ExportedSpan>(*this, *m_exporter, operation,
                                          std::move(trace_id),
                                          std::move(parent_id));
  }

  [[nodiscard]] opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::TextMapWriter& writer) const override {
    const auto* trace = dynamic_cast<const TraceContext*>(&context);
    if (trace == nullptr) {
      return opentracing::make_unexpected(
          opentracing::invalid_span_context_error);
    }
    return writer.Set(kTraceparentHeader, trace->ToHeader());
  }
  [[nodiscard]] opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::HTTPHeadersWriter& writer) const override {
    return Inject(context,
                  static_cast<const opentracing::TextMapWriter&>(writer));
  }
  [[nodiscard]] opentracing::expected<void> Inject(
      const opentracing::SpanContext& /*context*/,
      std::ostream& /*writer*/) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }

  [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::TextMapReader& reader) const override {
    std::unique_ptr<opentracing::SpanContext> context;
    const auto result = reader.ForeachKey(
        [&](opentracing::string_view key,
            opentracing::string_view value) -> opentracing::expected<void> {
          if (key == kTraceparentHeader) {
            context = TraceContext::Parse({value.data(), value.size()});
          }
          return {};
        });
    if (!result) {
      return opentracing::make_unexpected(result.error());
    }
    return context;
  }
  [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::HTTPHeadersReader& reader) const override {
    return Extract(static_cast<const opentracing::TextMapReader&>(reader));
  }
  [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(std::istream& /*reader*/) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }

 private:
  std::unique_ptr<SpanExporter> m_exporter;
};

/// An OpenTracing carrier that holds only a `traceparent` header.
class TraceparentReader final : public opentracing::HTTPHeadersReader {
 public:
  explicit TraceparentReader(std::string_view header) : m_header(header) {}

  opentracing::expected<void> ForeachKey(
      std::function<opentracing::expected<void>(opentracing::string_view,
                                                opentracing::string_view)>
          visit) const override {
    return visit(kTraceparentHeader, {m_header.data(), m_header.size()});
  }

 private:
  std::string_view m_header;
};

}  // namespace

std::shared_ptr<opentracing::Tracer> MakeTracer(EventLoop& loop,
                                                std::string process,
                                                const Endpoint& collector) {
  return std::make_shared<ExportingTracer>(loop, std::move(process), collector);
}

std::unique_ptr<opentracing::Span> StartSpan(const opentracing::Tracer& tracer,
                                             std::string_view operation,
                                             std::string_view traceparent) {
  const auto parent = tracer.Extract(TraceparentReader(traceparent));
  const opentracing::SpanContext* context =
      parent.has_value() ? parent->get() : nullptr;
  return tracer.StartSpan({operation.data(), operation.size()},
                          {opentracing::ChildOf(context)});
}

std::string TraceparentOf(const opentracing::Span& span) {
  const auto* context = dynamic_cast<const TraceContext*>(&span.context());
  return context == nullptr ? std::string() : context->ToHeader();
}

}  // namespace bambooquay
