#pragma once

#include <kernel/random.h>
#include <kernel/span.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade {

/**
 * Parses a `traceparent` header as defined by W3C Trace Context; nullopt if it is malformed. Thread
 * safe.
 */
std::optional<trace_context> parse_traceparent(std::string_view header);

/** Formats a `traceparent` header with the sampled flag set. Thread safe. */
std::string format_traceparent(const trace_context& context);

/** Creates the context of a new span in the trace `trace_id`, or in a new trace if it is empty. */
trace_context make_span_context(const std::string& trace_id, random_source& random);

/**
 * Formats a span as one line of OTLP/JSON: a TracesData object, as written by OpenTelemetry's file
 * exporter. `unix_offset_ms` is added to the span's times to give milliseconds since the Unix
 * epoch.
 */
std::string to_otlp_json(const span& finished, const std::string& service_name,
                         std::int64_t unix_offset_ms);

} // namespace camphorgrade
