#include "refusal_response.h"

#include <array>
#include <cstdio>

namespace camphorgrade::entry {

namespace {

constexpr double ms_per_s = 1'000.0;

int status_of(serving::end_reason reason) {
    using serving::end_reason;
    switch (reason) {
    case end_reason::no_route:
        return 404;
    case end_reason::unknown_key:
        return 401;
    case end_reason::over_rate:
        return 429;
    case end_reason::timed_out_sent:
        return 504;
    case end_reason::invalid_response:
        return 502;
    case end_reason::no_catalogue:
    case end_reason::quarantined:
    case end_reason::no_backend:
    case end_reason::no_capacity:
    case end_reason::refused:
    case end_reason::timed_out:
    case end_reason::unknown_origin:
    case end_reason::shutting_down:
        return 503;
    }
    return 503;
}

std::string format_seconds(duration time) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / ms_per_s);
    return text.data();
}

} // namespace

refusal_response make_refusal_response(const serving::end_request& end) {
    refusal_response out;
    out.head.status = status_of(end.reason);
    out.head.headers.push_back({"Content-Type", "application/json"});
    if (end.retry_after > duration::zero()) {
        out.head.headers.push_back({"Retry-After", format_seconds(end.retry_after)});
    }
    out.body = "{\"error\":{\"type\":\"" + std::string(to_string(end.reason)) + "\",\"run\":\"" +
               (has_not_run(end.reason) ? "not_run" : "unknown") +
               "\",\"retry_after_ms\":" + std::to_string(end.retry_after.count()) + "}}";
    return out;
}

} // namespace camphorgrade::entry
