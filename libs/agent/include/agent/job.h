#pragma once

#include <agent/answer_meter.h>

#include <delivery/attempt_register.h>
#include <delivery/once_types.h>
#include <delivery/part_outbox.h>
#include <delivery/quarantine.h>
#include <kernel/clock.h>
#include <kernel/http_types.h>
#include <kernel/span.h>
#include <wire/forward.pb.h>

#include <cstdint>
#include <optional>
#include <string>

namespace camphorgrade::agent {

/** How far an agent is with one attempt. */
enum class job_state {
    waiting,   /**< In the work queue. */
    held,      /**< May start, and waits until nothing else runs. */
    recording, /**< Its at-most-once record is being written. */
    running,   /**< The call to the backend server is open. */
    checking,  /**< The call broke; whether the backend server died is being found out. */
    ended      /**< All parts of the answer are in the outbox. */
};

/** One attempt that an agent has taken. */
struct job {
    job(delivery::attempt_id attempt, wire::run_attempt wanted, duration resend_after)
        : id(std::move(attempt)), request(std::move(wanted)), outbox(resend_after), meter(false) {}

    delivery::attempt_id id;
    wire::run_attempt request;
    std::uint64_t number = 0; /**< In the work queue. */
    delivery::part_outbox outbox;
    job_state state = job_state::waiting;
    bool alone = false;     /**< Must run with nothing beside it. */
    bool cancelled = false; /**< Nobody waits for the answer. */
    delivery::death_suspect suspect;

    call_id call;
    answer_meter meter;
    std::optional<http_head> head;
    std::string body; /**< Kept only of calls that are recorded. */
    bool body_omitted = false;
    std::optional<delivery::once_ticket> ticket;

    trace_context trace;
    time_point arrived;
    time_point started;
    time_point deadline;
    time_point ended_at;

    /** Whether its outcome must be recorded. */
    bool recorded() const { return !request.repeatable() && !request.idempotency_key().empty(); }
};

} // namespace camphorgrade::agent
