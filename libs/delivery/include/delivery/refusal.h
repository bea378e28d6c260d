#pragma once

#include <delivery/run_knowledge.h>
#include <kernel/clock.h>
#include <kernel/http_types.h>

#include <cstdint>
#include <string>

namespace camphorgrade::delivery {

/** Why a request, or one attempt at it, was not served. */
enum class refusal_type : std::uint8_t {
    leaving,            /**< The agent or its backend server shuts down gracefully. */
    queue_full,         /**< The agent's queue is full. */
    unknown_adapter,    /**< No such adapter or version. */
    sealed_epoch,       /**< Admitted under an epoch that no longer counts. */
    quarantined,        /**< The request kills backend servers. */
    key_reused,         /**< Same idempotency key with another request. */
    record_unavailable, /**< The at-most-once record could not be written. */
    deadline,           /**< The request's time is over. */
    backend_down,       /**< No connection to the backend server. */
    load_failed,        /**< The adapter could not be loaded. */
    no_backend,         /**< No backend server can take it now. */
    retries_exhausted,  /**< Attempts failed, and no more are allowed. */
    outcome_unknown,    /**< It may have run; its answer is lost. */
    answer_not_kept,    /**< It ran before; its answer was too large to be recorded. */
    malformed_request,  /**< Not a request as the API page describes it. */
    missing_key,        /**< The route needs a key. */
    invalid_key,        /**< The key is unknown or withdrawn. */
    unknown_route,      /**< No such route. */
    method_not_allowed, /**< The route doesn't take the method. */
    unknown_service,    /**< No such service. */
    request_too_large,  /**< Body or headers above the limit. */
    cost_over_burst,    /**< It costs more than the client account's burst: it can never run. */
    over_rate,          /**< The client account is over its rate. */
    no_standing,        /**< The gateway can't confirm that what it knows is current. */
    service_unavailable /**< The service or something it depends on is missing or down. */
};

/** HTTP status of a refusal. Thread safe. */
int http_status(refusal_type type) noexcept;

/** Stable name of a refusal, for the field "type" and for metrics. Thread safe. */
const char* name_of(refusal_type type) noexcept;

/** A final answer that is not the backend server's. A value type. */
struct refusal {
    refusal_type type = refusal_type::no_backend;
    run_knowledge run = run_knowledge::unknown;
    duration retry_after{}; /**< When to ask again; 0 when asking again does not help. */

    friend bool operator==(const refusal&, const refusal&) = default;
};

/** A refusal of a request that provably did not run. Thread safe. */
constexpr refusal not_run(refusal_type type, duration retry_after = duration{0}) noexcept {
    return {type, run_knowledge::not_run, retry_after};
}

/** Headers of a refusal: Content-Type, Retry-After, WWW-Authenticate. Thread safe. */
http_headers refusal_headers(const refusal& refused);

/** JSON body of a refusal, as the API page describes it. Thread safe. */
std::string refusal_body(const refusal& refused);

/** SSE event that tells the caller of a stream that the answer is incomplete. Thread safe. */
std::string incomplete_event(const refusal& refused);

} // namespace camphorgrade::delivery
