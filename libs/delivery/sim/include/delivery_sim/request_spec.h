#pragma once

#include <delivery/request_delivery.h>
#include <kernel/http_types.h>

#include <optional>
#include <string>

/**
 * @file
 * What a simulated caller sends and sees. Value types.
 */
namespace camphorgrade::delivery::sim {

/** One request of a simulated caller. */
struct request_spec {
    std::string name; /**< Unique in a world. */
    node_id gateway;
    std::string account = "acme";
    std::string body;
    std::string key; /**< Idempotency key; empty for none. */
    repeat_rule rule = repeat_rule::repeatable;
    bool stream = false;
    duration time_limit{5'000};

    friend bool operator==(const request_spec&, const request_spec&) = default;
};

/** What the caller of a request has seen. */
struct caller_view {
    std::optional<int> status;
    std::string bytes;
    bool whole = false; /**< The answer ended properly. */
    bool cut = false;   /**< The connection was cut within the answer. */
    bool gone = false;  /**< The caller went before the end. */
    std::optional<refusal> refused;
    time_point sent;
    time_point ended;

    /** Whether nothing more will come. */
    bool done() const noexcept { return whole || cut || refused.has_value(); }

    friend bool operator==(const caller_view&, const caller_view&) = default;
};

} // namespace camphorgrade::delivery::sim
