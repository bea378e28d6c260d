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
 * Everything that can happen to a node. A kernel receives one event and a time and returns the
 * effects; nothing else goes in. All are value types.
 */
namespace camphorgrade {

/** Chosen by the service that sets a timer or makes a call; handed back with the outcome. */
using token = std::uint64_t;

/** A message of another node arrived. */
struct message_received {
    message content;

    friend bool operator==(const message_received&, const message_received&) = default;
};

/** A timer that `service` set is due. */
struct timer_fired {
    std::string service;
    token id = 0;

    friend bool operator==(const timer_fired&, const timer_fired&) = default;
};

/** The key-value service answered, or did not, the call `id` of `service`. */
struct kv_replied {
    std::string service;
    token id = 0;
    kv_reply reply;

    friend bool operator==(const kv_replied&, const kv_replied&) = default;
};

/** A caller sent a whole request on the named port's service. */
struct caller_arrived {
    std::string service;
    request_id request;
    http_request content;

    friend bool operator==(const caller_arrived&, const caller_arrived&) = default;
};

/** The caller's connection is gone, or it reads too slowly to be served. */
struct caller_gone {
    std::string service;
    request_id request;

    friend bool operator==(const caller_gone&, const caller_gone&) = default;
};

/** The call `call` to the backend server that `service` made has moved on. */
struct call_progressed {
    std::string service;
    call_id call;
    call_progress progress;

    friend bool operator==(const call_progressed&, const call_progressed&) = default;
};

/** The process was asked to end gracefully. Reaches every service. */
struct shutdown_requested {
    friend bool operator==(const shutdown_requested&, const shutdown_requested&) = default;
};

using event = std::variant<message_received, timer_fired, kv_replied, caller_arrived, caller_gone,
                           call_progressed, shutdown_requested>;

} // namespace camphorgrade
