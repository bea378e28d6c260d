#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/retry_limiter.h>
#include <serving/server_limits.h>
#include <serving/software_versions.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/** @file What a dispatcher decides, and how attempts and requests end. */
namespace camphorgrade::serving {

/** Identifies a request within one process. */
using request_handle = std::uint64_t;

/** Reason why a request ends without a response from a backend server. */
enum class end_reason : std::uint8_t {
    no_catalogue, /**< No catalogue has been received yet. */
    no_route,
    unknown_key,
    over_rate,       /**< The client account has used up its rate and burst. */
    quarantined,     /**< The request, or others with a part of its prompt, crashed several
                          backend servers. */
    no_backend,      /**< No backend server accepts requests. */
    no_capacity,     /**< The request could not be served in time. */
    refused,         /**< Backend servers refused the request or were unreachable, and no further
                          attempt is possible. */
    timed_out,       /**< The deadline passed before the request was sent. */
    timed_out_sent,  /**< The deadline passed after sending: the request may have run. */
    unknown_origin,  /**< The caller resumes a stream, several software versions serve, and nobody
                          knows which of them began it. */
    shutting_down,   /**< This process is shutting down; another gateway can serve the request. */
    invalid_response /**< The response was an error, cut off or invalid: the request may
                          have run. */
};

/** Returns the name of a reason as written to logs and metrics. */
std::string_view to_string(end_reason reason) noexcept;

/** Returns whether a request that ends for this reason is known not to have run. */
bool has_not_run(end_reason reason) noexcept;

/** Effect: the gateway ends the request with a response of its own. A value type. */
struct end_request {
    request_handle request = 0;
    end_reason reason = end_reason::no_route;
    duration retry_after{};  /**< 0: the response has no Retry-After. */
    double refused_cost = 0; /**< Charge that the account could not cover; 0 unless the reason is
                                  over_rate. */
    std::optional<std::uint64_t> held_part{}; /**< Part of the prompt for which the request ends. */
    bool is_return_reserved = false; /**< Capacity is reserved for it after `retry_after`. */

    friend bool operator==(const end_request&, const end_request&) = default;
};

/** Effect: the request is to be sent to a backend server. A value type. */
struct send_attempt {
    request_handle request = 0;
    std::string backend_id;
    std::uint64_t started_at_ms = 0; /**< Start time of its process, Unix milliseconds. */
    std::string service;
    network_address address;
    std::uint64_t expected_version = 0; /**< Version of the adapter's weights; 0: any. */
    int urgency = 0;                    /**< Lower is more urgent; 0 is the most urgent. */
    std::uint32_t attempt_number = 1;   /**< Number of this attempt, from 1; attempts that were
                                             refused or never connected aren't counted. */
    duration queue_time{};              /**< Time since the request arrived. */
    std::uint64_t prompt_tokens = 0;
    std::optional<request_limit> limit; /**< Request limit of the backend server. */

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/** Effect: the request waits until a backend server has loaded its adapter, or until a permit for
    a limited server is available. Informational: needs no action. A value type. */
struct wait_for_backend {
    request_handle request = 0;
    std::string backend_id;
    duration time_to_first_byte{}; /**< Estimated time until the first byte of the response. */
    duration permit_wait{};        /**< Part of it that is spent waiting for a permit. */

    friend bool operator==(const wait_for_backend&, const wait_for_backend&) = default;
};

/** Effect: the request limit of a backend server changed. Informational: needs no action. A value
    type. */
struct limit_changed {
    request_handle request =
        0;            /**< Request whose response names the limit; 0: a peer reports it. */
    std::string peer; /**< Gateway that reports the limit; empty: a response names it. */
    limit_change change;

    friend bool operator==(const limit_changed&, const limit_changed&) = default;
};

/** From what the software version of a stream that a caller resumes is known. */
enum class origin_source : std::uint8_t {
    known,          /**< This gateway began the stream, or another one told its origin. */
    single_version, /**< Only one version has served lately. */
    unknown         /**< It isn't known; the request is refused. */
};

/** Returns the name of a source as written to logs and metrics. */
std::string_view to_string(origin_source source) noexcept;

/** Effect: a caller resumes a stream that an earlier request began. Informational: needs no
    action. A value type. */
struct stream_resumption {
    request_handle request = 0;
    origin_source source = origin_source::unknown;
    std::string version; /**< At which the stream continues; empty if unknown or not stated. */
    /** Age of the registrations known here; empty if there are none. */
    std::optional<duration> registrations_age{};
    /** For which period all versions that have served are known. */
    std::optional<known_period> history{};
    std::size_t known_versions = 0; /**< Versions of the service that are known to have served. */

    friend bool operator==(const stream_resumption&, const stream_resumption&) = default;
};

/** Whether a request is sent again after a failed attempt, and otherwise why not. */
enum class retry_decision : std::uint8_t {
    allowed,
    over_limit,       /**< The gateways have sent as many retries as the limit allows. */
    may_have_run,     /**< The request isn't idempotent, or its response can't be continued. */
    no_attempts_left, /**< Its route allows no further attempt, or too many were refused. */
    deadline_passed,
    quarantined /**< It crashed several backend servers. */
};

/** Returns the name of a decision as written to logs and metrics. */
std::string_view to_string(retry_decision decision) noexcept;

/** It was decided whether a request is sent again. A value type. */
struct retry_decided {
    request_handle request = 0;
    retry_decision decision = retry_decision::allowed;
    std::string service;
    retry_usage usage; /**< What the limit was, and what was used of it, after the decision. */

    friend bool operator==(const retry_decided&, const retry_decided&) = default;
};

using dispatch_effect =
    std::variant<end_request, send_attempt, wait_for_backend, limit_changed, stream_resumption>;

/** Result of one attempt. */
enum class attempt_outcome : std::uint8_t {
    completed,        /**< The complete response was forwarded. */
    error_response,   /**< The request ran, and the backend server responded with an error. */
    refused,          /**< The backend server states that the request did not run. */
    wrong_weights,    /**< Refused: the backend server does not hold this version of the
                           weights, or another process runs there. */
    unreachable,      /**< The connection failed: nothing was sent. */
    invalid_response, /**< The connection broke, or the response was invalid. */
    unproven_response /**< The backend server responded, but nothing tells which bytes are its
                           response to this request, or whether they are all. */
};

/** Returns the name of an outcome as written to logs and metrics. */
std::string_view to_string(attempt_outcome outcome) noexcept;

} // namespace camphorgrade::serving
