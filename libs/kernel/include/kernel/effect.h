#pragma once

#include <kernel/clock.h>
#include <kernel/event.h>
#include <kernel/span.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

/**
 * @file
 * The actions that a node can request. The code that drives the kernel carries them out in the
 * order in which they were emitted. All are value types.
 */
namespace camphorgrade {

/** Sends a message to a service of another node; the network may lose it. */
struct send_message {
    message content;

    friend bool operator==(const send_message&, const send_message&) = default;
};

/**
 * Requests a timer_fired event at `at` or soon after. A timer can't be cancelled; its service
 * ignores the ids of timers that it no longer needs.
 */
struct set_timer {
    std::string service;
    token id = 0;
    time_point at;

    friend bool operator==(const set_timer&, const set_timer&) = default;
};

/** Calls the key-value service. A kv_replied event follows in any case, also after a timeout. */
struct call_kv {
    std::string service;
    token id = 0;
    kv_request request;

    friend bool operator==(const call_kv&, const call_kv&) = default;
};

/**
 * Sends a part of the response to a caller: a head, then chunks, then an end. A call_failure aborts
 * the response.
 */
struct answer_caller {
    request_id request;
    call_progress part;

    friend bool operator==(const answer_caller&, const answer_caller&) = default;
};

/** Starts an HTTP call to a backend server; call_progressed events follow. */
struct call_backend {
    std::string service;
    call_id call;
    http_request request;
    std::string endpoint; /**< "IP:port". */

    friend bool operator==(const call_backend&, const call_backend&) = default;
};

/** Cancels a call. Events that are already queued may still arrive. */
struct cancel_call {
    call_id call;

    friend bool operator==(const cancel_call&, const cancel_call&) = default;
};

/** Exports a finished span. */
struct export_span {
    span finished;

    friend bool operator==(const export_span&, const export_span&) = default;
};

/** Severity of a log record. */
enum class log_level { debug, info, warning, error };

/** Writes a structured log record. `fields` must not contain a key, a body or a header. */
struct write_log {
    log_level level = log_level::info;
    std::string what; /**< Short stable name of the event, such as "adapter_load_failed". */
    std::vector<std::pair<std::string, std::string>> fields; /**< Names and values. */

    friend bool operator==(const write_log&, const write_log&) = default;
};

/** Requests a shutdown_requested event, as a signal to the process does. */
struct begin_shutdown {
    friend bool operator==(const begin_shutdown&, const begin_shutdown&) = default;
};

/** Exits the process; emitted when the graceful shutdown is complete. */
struct exit_process {
    friend bool operator==(const exit_process&, const exit_process&) = default;
};

using effect = std::variant<send_message, set_timer, call_kv, answer_caller, call_backend,
                            cancel_call, export_span, write_log, begin_shutdown, exit_process>;

} // namespace camphorgrade
