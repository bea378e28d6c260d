#pragma once

#include <delivery/run_knowledge.h>
#include <kernel/clock.h>

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
    answer_not_kept     /**< It ran before; its answer was too large to be recorded. */
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

/** JSON body of a refusal, as the API page describes it. Thread safe. */
std::string refusal_body(const refusal& refused);

/** SSE event that tells the caller of a stream that the answer is incomplete. Thread safe. */
std::string incomplete_event(const refusal& refused);

} // namespace camphorgrade::delivery
