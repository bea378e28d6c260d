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
 * Everything a node can do to the world. Effects are carried out by the shell that drives the
 * kernel, in the order in which they were emitted. All are value types.
 */
namespace camphorgrade {

/** Sends a message; it may be lost. */
struct send_message {
    message content;

    friend bool operator==(const send_message&, const send_message&) = default;
};

/** Asks for a timer_fired at `at` or soon after. Timers cannot be cancelled: ignore stale ids. */
struct set_timer {
    std::string service;
    token id = 0;
    time_point at;

    friend bool operator==(const set_timer&, const set_timer&) = default;
};

/** Calls the key-value service; a kv_replied follows, at the latest when the shell gives up. */
struct call_kv {
    std::string service;
    token id = 0;
    kv_request request;

    friend bool operator==(const call_kv&, const call_kv&) = default;
};

/** Sends a part of the answer to a caller: a head, chunks, an end. call_failure cuts it off. */
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

/** Cuts a call off. Events already under way may still arrive. */
struct cancel_call {
    call_id call;

    friend bool operator==(const cancel_call&, const cancel_call&) = default;
};

/** Exports a finished span. */
struct export_span {
    span finished;

    friend bool operator==(const export_span&, const export_span&) = default;
};

/** How serious a log record is. */
enum class log_level { debug, info, warning, error };

/** Writes a structured log record. Never put a key, a body or a header into `fields`. */
struct write_log {
    log_level level = log_level::info;
    std::string what; /**< Short stable name of what happened, such as "adapter_load_failed". */
    std::vector<std::pair<std::string, std::string>> fields;

    friend bool operator==(const write_log&, const write_log&) = default;
};

/** Asks the shell for a shutdown_requested event, as a signal would. */
struct begin_shutdown {
    friend bool operator==(const begin_shutdown&, const begin_shutdown&) = default;
};

/** The node has ended its graceful shutdown; the process may exit. */
struct exit_process {
    friend bool operator==(const exit_process&, const exit_process&) = default;
};

using effect = std::variant<send_message, set_timer, call_kv, answer_caller, call_backend,
                            cancel_call, export_span, write_log, begin_shutdown, exit_process>;

} // namespace camphorgrade
