#pragma once

#include <kernel/random.h>
#include <kernel/span.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade {

/**
 * Reads a `traceparent` header as W3C Trace Context defines it; nullopt when it is malformed.
 * Thread safe.
 */
std::optional<trace_context> parse_traceparent(std::string_view header);

/** Writes a `traceparent` header, sampled. Thread safe. */
std::string format_traceparent(const trace_context& context);

/** A span of the same trace with a fresh span id; a fresh trace when `trace_id` is empty. */
trace_context make_span_context(const std::string& trace_id, random_source& random);

/**
 * One span as a line of OTLP/JSON (a TracesData object, as OpenTelemetry's file exporter writes).
 * `unix_offset_ms` is added to the span's times to give milliseconds since the Unix epoch.
 */
std::string to_otlp_json(const span& finished, const std::string& service_name,
                         std::int64_t unix_offset_ms);

} // namespace camphorgrade
