#include <telemetry/trace.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace camphorgrade {

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t header_length = 55; // version-trace_id-span_id-flags: 2+1+32+1+16+1+2
constexpr std::int64_t ns_per_ms = 1'000'000;

bool is_lower_hex(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_valid_id(std::string_view text) {
    const bool is_all_zero = text.find_first_not_of('0') == std::string_view::npos;
    return is_lower_hex(text) && !is_all_zero;
}

std::string to_hex(std::uint64_t bits) {
    std::array<char, span_id_digits + 1> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(bits));
    return digits.data();
}

std::string to_unix_ns(time_point at, std::int64_t unix_offset_ms) {
    return std::to_string((at.time_since_epoch().count() + unix_offset_ms) * ns_per_ms);
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view header) {
    if (header.size() < header_length || header[2] != '-' || header[35] != '-' ||
        header[52] != '-') {
        return std::nullopt;
    }
    const auto version = header.substr(0, 2);
    const bool longer_than_version_0 = header.size() > header_length;
    if (!is_lower_hex(version) || version == "ff" || (version == "00" && longer_than_version_0)) {
        return std::nullopt;
    }
    const auto trace = header.substr(3, trace_id_digits);
    const auto parent = header.substr(36, span_id_digits);
    if (!is_valid_id(trace) || !is_valid_id(parent) || !is_lower_hex(header.substr(53, 2))) {
        return std::nullopt;
    }
    return trace_context{std::string(trace), std::string(parent)};
}

std::string format_traceparent(const trace_context& context) {
    return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

trace_context make_span_context(const std::string& trace_id, random_source& random) {
    trace_context next{trace_id, to_hex(random.next() | 1U)};
    if (next.trace_id.empty()) {
        next.trace_id = to_hex(random.next()) + to_hex(random.next() | 1U);
    }
    return next;
}

std::string to_otlp_json(const span& finished, const std::string& service_name,
                         std::int64_t unix_offset_ms) {
    using nlohmann::json;
    json attributes = json::array();
    for (const auto& [key, value] : finished.attributes) {
        attributes.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
    }
    constexpr int kind_internal = 1;
    const json span_json{{"traceId", finished.context.trace_id},
                         {"spanId", finished.context.span_id},
                         {"parentSpanId", finished.parent_span_id},
                         {"name", finished.name},
                         {"kind", kind_internal},
                         {"startTimeUnixNano", to_unix_ns(finished.start, unix_offset_ms)},
                         {"endTimeUnixNano", to_unix_ns(finished.end, unix_offset_ms)},
                         {"attributes", attributes}};
    const json service_attribute{{"key", "service.name"},
                                 {"value", {{"stringValue", service_name}}}};
    const json scope{{"scope", {{"name", "camphorgrade"}}}, {"spans", json::array({span_json})}};
    const json resource{{"resource", {{"attributes", json::array({service_attribute})}}},
                        {"scopeSpans", json::array({scope})}};
    return json{{"resourceSpans", json::array({resource})}}.dump(-1, ' ', false,
                                                                 json::error_handler_t::replace);
}

} // namespace camphorgrade
