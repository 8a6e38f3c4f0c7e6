// Distributed tracing through the OpenTracing API. Trace context is propagated
// in W3C `traceparent` headers, and spans are exported in the Zipkin JSON v2
// format.
#pragma once

#include <opentracing/span.h>
#include <opentracing/tracer.h>

#include <memory>
#include <string>
#include <string_view>

#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// Creates the tracer of a process. Spans are exported in batches in the
/// background. If the collector is unavailable, spans are dropped; requests are
/// not affected.
///
/// @param process  service name of the exported spans.
/// @param collector  receives POST /api/v2/spans; port 0 disables the export.
[[nodiscard]] std::shared_ptr<opentracing::Tracer> MakeTracer(
    EventLoop& loop, std::string process, const Endpoint& collector);

/// Starts a span as a child of the span in the caller's `traceparent` header. A
/// missing or malformed header starts a new trace.
[[nodiscard]] std::unique_ptr<opentracing::Span> StartSpan(
    const opentracing::Tracer& tracer, std::string_view operation,
    std::string_view traceparent);

/// @returns the `traceparent` header for requests made on behalf of `span`, or
///   "" if the span was created by another tracer.
[[nodiscard]] std::string TraceparentOf(const opentracing::Span& span);

}  // namespace bambooquay
