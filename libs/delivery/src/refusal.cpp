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

constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_not_found = 404;
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

std::string refusal_body(const refusal& refused) {
    return as_json(refused).dump();
}

std::string incomplete_event(const refusal& refused) {
    nlohmann::ordered_json body = as_json(refused);
    body["error"]["incomplete"] = true;
    return "event: error\ndata: " + body.dump() + "\n\n";
}

} // namespace camphorgrade::delivery
