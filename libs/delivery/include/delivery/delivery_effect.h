#pragma once

#include <delivery/refusal.h>
#include <kernel/clock.h>
#include <kernel/http_types.h>
#include <kernel/ids.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * What a request_delivery asks its gateway to do, in this order. All are value types.
 */
namespace camphorgrade::delivery {

/** Choose a backend server, rather none of `tried`; answer with backend_chosen or no_backend. */
struct choose_backend {
    std::uint32_t attempt = 0;
    std::vector<node_id> tried;

    friend bool operator==(const choose_backend&, const choose_backend&) = default;
};

/** Send the run_attempt message; the same attempt may be sent several times. */
struct send_attempt {
    std::uint32_t attempt = 0;
    node_id to;
    incarnation life;     /**< Goes into agent_incarnation. */
    duration time_left{}; /**< Goes into deadline_ms. */
    bool suspect = false; /**< Goes into suspect. */

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/** Send a cancel_attempt message. */
struct cancel_sent_attempt {
    std::uint32_t attempt = 0;
    node_id to;

    friend bool operator==(const cancel_sent_attempt&, const cancel_sent_attempt&) = default;
};

/** Send a part_acknowledged message. */
struct acknowledge_parts {
    std::uint32_t attempt = 0;
    node_id to;
    std::uint64_t next_sequence = 0;

    friend bool operator==(const acknowledge_parts&, const acknowledge_parts&) = default;
};

/** Answer the caller: a head, chunks, an end; a call_failure cuts the connection. */
struct forward_to_caller {
    call_progress progress;

    friend bool operator==(const forward_to_caller&, const forward_to_caller&) = default;
};

/** Answer the caller with a refusal; nothing was forwarded before. */
struct refuse_caller {
    refusal reason;

    friend bool operator==(const refuse_caller&, const refuse_caller&) = default;
};

/** Call on_timer at this time or soon after. */
struct wake_at {
    time_point at;

    friend bool operator==(const wake_at&, const wake_at&) = default;
};

/** The delivery has ended and may be forgotten; settle the charge of the client account. */
struct delivery_ended {
    run_knowledge run = run_knowledge::unknown;
    bool whole = false;                 /**< The caller has the whole answer. */
    std::uint64_t generated_tokens = 0; /**< As far as known; 0 when nothing ran. */
    std::uint32_t attempts = 0;         /**< Sent ones. */

    friend bool operator==(const delivery_ended&, const delivery_ended&) = default;
};

using delivery_effect =
    std::variant<choose_backend, send_attempt, cancel_sent_attempt, acknowledge_parts,
                 forward_to_caller, refuse_caller, wake_at, delivery_ended>;

using delivery_effects = std::vector<delivery_effect>;

} // namespace camphorgrade::delivery
