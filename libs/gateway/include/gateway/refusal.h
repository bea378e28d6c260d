#pragma once

#include <kernel/clock.h>
#include <kernel/http_types.h>

#include <string>

namespace camphorgrade::gateway {

/** Why a request is refused; the `type` in the error that callers see. */
enum class refusal_type {
    malformed_request,
    missing_key,
    invalid_key,
    unknown_route,
    method_not_allowed,
    unknown_service,
    unknown_adapter,
    request_too_large,
    cost_over_burst,
    idempotency_key_reused,
    over_rate,
    overloaded,
    no_standing,
    service_unavailable,
    record_unavailable,
    quarantined,
    leaving,
    backend_failed,
    timeout
};

/** What is known of the request having run. */
enum class run_state {
    not_run, /**< Provably no backend server ran any of it. */
    unknown  /**< It may have run, once. */
};

/** A refusal as callers get it. A value type. */
struct refusal {
    refusal_type type = refusal_type::malformed_request;
    run_state run = run_state::not_run;
    duration retry_after{0}; /**< 0: asking again will not help, or at once. */

    friend bool operator==(const refusal&, const refusal&) = default;
};

/** Name of the type as it stands in answers and metrics, such as "over_rate". Thread safe. */
std::string refusal_name(refusal_type type);

/** HTTP status that goes with the refusal. Thread safe. */
int refusal_status(const refusal& refused);

/** Headers of the refusal: content type, Retry-After. Thread safe. */
http_headers refusal_headers(const refusal& refused);

/** JSON body: {"error":{"type","message","run","retry_after_ms"}}. Thread safe. */
std::string refusal_body(const refusal& refused);

/** The refusal as a server-sent event, for a stream whose head was already sent. Thread safe. */
std::string refusal_event(const refusal& refused);

} // namespace camphorgrade::gateway
