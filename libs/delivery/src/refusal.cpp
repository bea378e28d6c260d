#include <delivery/refusal.h>

#include <nlohmann/json.hpp>

#include <array>

namespace camphorgrade::delivery {

namespace {

struct refusal_text {
    refusal_type type;
    int status;
    const char* name;
    const char* message;
};

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_unprocessable = 422;
constexpr int status_too_many = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

constexpr std::array texts{
    refusal_text{refusal_type::leaving, status_unavailable, "leaving", "the server shuts down"},
    refusal_text{refusal_type::queue_full, status_unavailable, "queue_full", "the queue is full"},
    refusal_text{refusal_type::unknown_adapter, status_not_found, "unknown_adapter",
                 "no such adapter or version"},
    refusal_text{refusal_type::sealed_epoch, status_unavailable, "sealed_epoch",
                 "the gateway was replaced"},
    refusal_text{refusal_type::quarantined, status_conflict, "quarantined",
                 "this request ended backend servers that ran it"},
    refusal_text{refusal_type::key_reused, status_unprocessable, "key_reused",
                 "the idempotency key was used for another request"},
    refusal_text{refusal_type::record_unavailable, status_unavailable, "record_unavailable",
                 "the record that keeps it to one run could not be written"},
    refusal_text{refusal_type::deadline, status_timeout, "deadline", "the time is over"},
    refusal_text{refusal_type::backend_down, status_unavailable, "backend_down",
                 "the backend server does not answer"},
    refusal_text{refusal_type::load_failed, status_unavailable, "load_failed",
                 "the adapter could not be loaded"},
    refusal_text{refusal_type::no_backend, status_unavailable, "no_backend",
                 "no backend server can take it now"},
    refusal_text{refusal_type::retries_exhausted, status_bad_gateway, "retries_exhausted",
                 "it failed and may not be tried again now"},
    refusal_text{refusal_type::outcome_unknown, status_bad_gateway, "outcome_unknown",
                 "it may have run; its answer is lost"},
    refusal_text{refusal_type::answer_not_kept, status_conflict, "answer_not_kept",
                 "it ran before; its answer was too large to be kept"},
    refusal_text{refusal_type::malformed_request, status_bad_request, "malformed_request",
                 "the request is malformed"},
    refusal_text{refusal_type::missing_key, status_unauthorized, "missing_key",
                 "this route needs a key"},
    refusal_text{refusal_type::invalid_key, status_unauthorized, "invalid_key",
                 "the key is unknown or withdrawn"},
    refusal_text{refusal_type::unknown_route, status_not_found, "unknown_route",
                 "there is no such route"},
    refusal_text{refusal_type::method_not_allowed, status_method_not_allowed, "method_not_allowed",
                 "the route does not take this method"},
    refusal_text{refusal_type::unknown_service, status_not_found, "unknown_service",
                 "there is no such service"},
    refusal_text{refusal_type::request_too_large, status_too_large, "request_too_large",
                 "the request is too large"},
    refusal_text{refusal_type::cost_over_burst, status_too_large, "cost_over_burst",
                 "the request costs more tokens than the client account's burst"},
    refusal_text{refusal_type::over_rate, status_too_many, "over_rate",
                 "the client account is over its rate"},
    refusal_text{refusal_type::no_standing, status_unavailable, "no_standing",
                 "this gateway cannot confirm that what it knows is current"},
    refusal_text{refusal_type::service_unavailable, status_unavailable, "service_unavailable",
                 "the service or something it depends on is unavailable"},
};

const refusal_text& text_of(refusal_type type) noexcept {
    return texts.at(static_cast<std::size_t>(type));
}

nlohmann::ordered_json as_json(const refusal& refused) {
    const refusal_text& text = text_of(refused.type);
    nlohmann::ordered_json error{
        {"type", text.name}, {"message", text.message}, {"run", refusal_word(refused.run)}};
    if (refused.retry_after.count() > 0) {
        error["retry_after_ms"] = refused.retry_after.count();
    }
    return {{"error", error}};
}

} // namespace

int http_status(refusal_type type) noexcept {
    return text_of(type).status;
}

const char* name_of(refusal_type type) noexcept {
    return text_of(type).name;
}

http_headers refusal_headers(const refusal& refused) {
    http_headers headers{{"Content-Type", "application/json"}};
    if (refused.retry_after > duration{0}) {
        // Retry-After counts whole seconds: rounded up, so that the caller is never too early.
        constexpr duration::rep ms_per_s = 1'000;
        const auto seconds = (refused.retry_after.count() + ms_per_s - 1) / ms_per_s;
        headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    if (http_status(refused.type) == status_unauthorized) {
        headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return headers;
}

std::string refusal_body(const refusal& refused) {
    return as_json(refused).dump();
}

std::string incomplete_event(const refusal& refused) {
    nlohmann::ordered_json body = as_json(refused);
    body["error"]["incomplete"] = true;
    return "event: error\ndata: " + body.dump() + "\n\n";
}

} // namespace camphorgrade::delivery
