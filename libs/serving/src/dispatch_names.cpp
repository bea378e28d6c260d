#include <serving/dispatcher.h>

namespace camphorgrade::serving {

std::string_view to_string(end_reason reason) noexcept {
    switch (reason) {
    case end_reason::no_catalogue:
        return "no_catalogue";
    case end_reason::no_route:
        return "no_route";
    case end_reason::unknown_key:
        return "unknown_key";
    case end_reason::over_rate:
        return "over_rate";
    case end_reason::quarantined:
        return "quarantined";
    case end_reason::no_backend:
        return "no_backend";
    case end_reason::no_capacity:
        return "no_capacity";
    case end_reason::refused:
        return "refused";
    case end_reason::timed_out:
        return "timed_out";
    case end_reason::timed_out_sent:
        return "timed_out_sent";
    case end_reason::unknown_origin:
        return "unknown_origin";
    case end_reason::shutting_down:
        return "shutting_down";
    case end_reason::invalid_response:
        return "broken";
    }
    return "unknown";
}

std::string_view to_string(attempt_outcome outcome) noexcept {
    switch (outcome) {
    case attempt_outcome::completed:
        return "whole";
    case attempt_outcome::error_response:
        return "own_error";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::wrong_weights:
        return "wrong_weights";
    case attempt_outcome::unreachable:
        return "unreachable";
    case attempt_outcome::unproven_response:
        return "unproven";
    case attempt_outcome::invalid_response:
        return "broken";
    }
    return "unknown";
}

std::string_view to_string(origin_source source) noexcept {
    switch (source) {
    case origin_source::known:
        return "known";
    case origin_source::single_version:
        return "single_version";
    case origin_source::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(retry_decision decision) noexcept {
    switch (decision) {
    case retry_decision::allowed:
        return "allowed";
    case retry_decision::over_limit:
        return "over_limit";
    case retry_decision::may_have_run:
        return "may_have_run";
    case retry_decision::no_attempts_left:
        return "no_attempts_left";
    case retry_decision::deadline_passed:
        return "deadline_passed";
    case retry_decision::quarantined:
        return "quarantined";
    }
    return "unknown";
}

bool has_not_run(end_reason reason) noexcept {
    return reason != end_reason::timed_out_sent && reason != end_reason::invalid_response;
}

} // namespace camphorgrade::serving
