#pragma once

#include <kernel/http_types.h>
#include <kernel/ids.h>
#include <kernel/kv.h>
#include <kernel/message.h>

#include <cstdint>
#include <string>
#include <variant>

/**
 * @file
 * The events that a node handles. An event and the current time are the only inputs of a kernel;
 * the effects are its output. All are value types.
 */
namespace camphorgrade {

/**
 * Identifies a timer or a key-value call within the service that started it. The service chooses
 * the value; the event with the outcome carries it.
 */
using token = std::uint64_t;

/** A message from another node was received. */
struct message_received {
    message content;

    friend bool operator==(const message_received&, const message_received&) = default;
};

/** A timer that `service` set has expired. */
struct timer_fired {
    std::string service;
    token id = 0;

    friend bool operator==(const timer_fired&, const timer_fired&) = default;
};

/** The key-value call `id` of `service` has ended with a reply or a failure. */
struct kv_replied {
    std::string service;
    token id = 0;
    kv_reply reply;

    friend bool operator==(const kv_replied&, const kv_replied&) = default;
};

/** A complete request from a caller was received on the port of `service`. */
struct caller_arrived {
    std::string service;
    request_id request;
    http_request content;

    friend bool operator==(const caller_arrived&, const caller_arrived&) = default;
};

/** The caller closed its connection, or was disconnected because it reads too slowly. */
struct caller_gone {
    std::string service;
    request_id request;

    friend bool operator==(const caller_gone&, const caller_gone&) = default;
};

/** A part of the response to the backend call `call` of `service` arrived, or the call failed. */
struct call_progressed {
    std::string service;
    call_id call;
    call_progress progress;

    friend bool operator==(const call_progressed&, const call_progressed&) = default;
};

/** A graceful shutdown of the process was requested. Delivered to every service. */
struct shutdown_requested {
    friend bool operator==(const shutdown_requested&, const shutdown_requested&) = default;
};

using event = std::variant<message_received, timer_fired, kv_replied, caller_arrived, caller_gone,
                           call_progressed, shutdown_requested>;

} // namespace camphorgrade
