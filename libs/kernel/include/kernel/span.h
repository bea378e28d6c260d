#pragma once

#include <kernel/clock.h>

#include <string>
#include <utility>
#include <vector>

namespace camphorgrade {

/**
 * Identifies a span of a trace, as in W3C Trace Context: `trace_id` has 32 hex digits,
 * `span_id` 16. A value type.
 */
struct trace_context {
    std::string trace_id;
    std::string span_id;

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/** One finished operation of a trace. A value type. */
struct span {
    trace_context context;
    std::string parent_span_id;
    std::string name;
    time_point start;
    time_point end;
    std::vector<std::pair<std::string, std::string>> attributes;

    friend bool operator==(const span&, const span&) = default;
};

} // namespace camphorgrade
