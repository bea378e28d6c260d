#pragma once

#include <delivery/fingerprint.h>
#include <kernel/http_types.h>
#include <kernel/ids.h>
#include <kernel/step.h>

#include <cstdint>
#include <string>
#include <variant>

/**
 * @file
 * What goes into and comes out of once_records. Value types but for once_listener.
 */
namespace camphorgrade::delivery {

/** Names one begin() within the life of an agent. */
using once_ticket = strong_id<struct once_ticket_tag, std::uint64_t>;

/** A keyed request that asks to run. */
struct once_request {
    std::string client_account;
    std::string idempotency_key;
    fingerprint content; /**< Of method, path, query and body. */
    time_point deadline;

    friend bool operator==(const once_request&, const once_request&) = default;
};

/** The answer of a backend server, as recorded. */
struct recorded_outcome {
    http_head head;
    std::string body;
    bool body_omitted = false; /**< Too large to be kept; `body` is empty. */

    friend bool operator==(const recorded_outcome&, const recorded_outcome&) = default;
};

/** Call the backend server now, in this step; then call finish(). */
struct once_run {
    friend bool operator==(const once_run&, const once_run&) = default;
};

/** It ran before; this was the outcome. */
struct once_replay {
    recorded_outcome outcome;

    friend bool operator==(const once_replay&, const once_replay&) = default;
};

/** It started before and no outcome is recorded. Not to be run. */
struct once_unknown {
    duration retry_after{}; /**< 0: asking again will not tell more. */

    friend bool operator==(const once_unknown&, const once_unknown&) = default;
};

/** Why a keyed request is refused; it provably did not run under this ticket. */
enum class once_refusal : std::uint8_t {
    key_reused,        /**< The key belongs to a request with other content. */
    store_unavailable, /**< "started" could not be recorded before the deadline. */
    overloaded         /**< Too many wait already. */
};

/** Not run, and will not be. */
struct once_refused {
    once_refusal reason = once_refusal::store_unavailable;
    duration retry_after{};

    friend bool operator==(const once_refused&, const once_refused&) = default;
};

using once_decision = std::variant<once_run, once_replay, once_unknown, once_refused>;

/** Hears what becomes of tickets. Must outlive the once_records service. */
class once_listener {
public:
    once_listener() = default;
    once_listener(const once_listener&) = delete;
    once_listener& operator=(const once_listener&) = delete;
    once_listener(once_listener&&) = delete;
    once_listener& operator=(once_listener&&) = delete;
    virtual ~once_listener() = default;

    /** Called once for each ticket; never from within begin(). May call begin() and finish(). */
    virtual void on_once_decided(once_ticket ticket, const once_decision& decision, step& now) = 0;
};

} // namespace camphorgrade::delivery
