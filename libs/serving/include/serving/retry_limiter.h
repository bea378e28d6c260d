#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace camphorgrade::serving {

/** Limits on retries, summed over all gateways. */
struct retry_limiter_settings {
    double ratio = 0.2;       /**< Retries allowed per request of a service. */
    double base_retries = 50; /**< Additional retries allowed, for all gateways together. */
    duration window{10'000};  /**< Sliding window in which requests and retries are counted, ms. */
    double usable_share = 0.75; /**< Share of the limit that is used, so that the sum stays within
                                   it when gateways get uneven numbers of requests. */

    friend bool operator==(const retry_limiter_settings&, const retry_limiter_settings&) = default;
};

/** The limit on the retries of a service at one gateway, and what is used of it. A value type. */
struct retry_usage {
    std::size_t requests = 0; /**< Requests in the window. */
    std::size_t retries = 0;  /**< Retries in the window. */
    double allowed = 0;       /**< Retries that these requests allow. */
    std::size_t gateways = 1; /**< Gateways that share the additional retries. */

    friend bool operator==(const retry_usage&, const retry_usage&) = default;
};

/**
 * Limits per service how often requests are sent to another backend server.
 *
 * Each gateway applies the ratio to its own requests and takes an equal share of the additional
 * retries, so all gateways together stay within the limit without exchanging messages.
 * Deterministic. Not thread safe.
 */
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_settings settings);

    /** Counts a request to the service. */
    void on_request(const std::string& service, time_point now);

    /** Counts one retry and returns true if the limit allows it, else returns false.
        Precondition: gateway_count > 0. */
    bool try_retry(const std::string& service, std::size_t gateway_count, time_point now);

    /** The limit now and what is used of it. Precondition: gateway_count > 0. */
    retry_usage usage(const std::string& service, std::size_t gateway_count, time_point now);

private:
    struct counts {
        std::deque<time_point> requests;
        std::deque<time_point> retries;
    };

    void expire(counts& target, time_point now) const;

    retry_limiter_settings settings_;
    std::map<std::string, counts> by_service_;
};

} // namespace camphorgrade::serving
