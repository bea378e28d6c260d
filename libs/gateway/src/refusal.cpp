#include <gateway/refusal.h>

#include <nlohmann/json.hpp>

#include <array>

namespace camphorgrade::gateway {

namespace {

struct description {
    refusal_type type;
    const char* name;
    int status;
    const char* message;
};

constexpr std::array<description, 19> descriptions{{
    {refusal_type::malformed_request, "malformed_request", 400, "The request is malformed."},
    {refusal_type::missing_key, "missing_key", 401, "This route needs a key."},
    {refusal_type::invalid_key, "invalid_key", 401, "The key is unknown or withdrawn."},
    {refusal_type::unknown_route, "unknown_route", 404, "There is no such route."},
    {refusal_type::method_not_allowed, "method_not_allowed", 405,
     "The route does not take this method."},
    {refusal_type::unknown_service, "unknown_service", 404, "There is no such service."},
    {refusal_type::unknown_adapter, "unknown_adapter", 404, "There is no such adapter or version."},
    {refusal_type::request_too_large, "request_too_large", 413, "The request is too large."},
    {refusal_type::cost_over_burst, "cost_over_burst", 413,
     "The request costs more tokens than the client account's burst."},
    {refusal_type::idempotency_key_reused, "idempotency_key_reused", 422,
     "The idempotency key was used with another request."},
    {refusal_type::over_rate, "over_rate", 429, "The client account is over its rate."},
    {refusal_type::overloaded, "overloaded", 503, "All backend servers are busy."},
    {refusal_type::no_standing, "no_standing", 503,
     "This gateway cannot confirm that its data is current."},
    {refusal_type::service_unavailable, "service_unavailable", 503,
     "The service or something it depends on is unavailable."},
    {refusal_type::record_unavailable, "record_unavailable", 503,
     "The request could not be recorded before running it."},
    {refusal_type::quarantined, "quarantined", 409,
     "The request is quarantined: it ended backend servers that ran it."},
    {refusal_type::leaving, "leaving", 503, "This gateway is shutting down."},
    {refusal_type::backend_failed, "backend_failed", 502,
     "The backend server failed while running the request."},
    {refusal_type::timeout, "timeout", 504, "The request ran out of time."},
}};

const description& describe(refusal_type type) {
    for (const auto& each : descriptions) {
        if (each.type == type) {
            return each;
        }
    }
    return descriptions.front();
}

const char* run_name(run_state run) {
    return run == run_state::not_run ? "not_run" : "unknown";
}

} // namespace

std::string refusal_name(refusal_type type) {
    return describe(type).name;
}

int refusal_status(const refusal& refused) {
    return describe(refused.type).status;
}

http_headers refusal_headers(const refusal& refused) {
    http_headers headers{{"Content-Type", "application/json"}};
    if (refused.retry_after > duration{0}) {
        // Retry-After counts whole seconds: round up, so that the caller is never too early.
        constexpr duration::rep ms_per_s = 1'000;
        const auto seconds = (refused.retry_after.count() + ms_per_s - 1) / ms_per_s;
        headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    if (describe(refused.type).status == 401) {
        headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return headers;
}

std::string refusal_body(const refusal& refused) {
    const auto& found = describe(refused.type);
    const nlohmann::json error{{"type", found.name},
                               {"message", found.message},
                               {"run", run_name(refused.run)},
                               {"retry_after_ms", refused.retry_after.count()}};
    return nlohmann::json{{"error", error}}.dump() + "\n";
}

std::string refusal_event(const refusal& refused) {
    std::string body = refusal_body(refused);
    body.pop_back();
    return "event: error\ndata: " + body + "\n\n";
}

} // namespace camphorgrade::gateway
