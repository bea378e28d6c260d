#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace camphorgrade::serving {

/** Bounds of repeats over the whole fleet. */
struct retry_limiter_settings {
    double ratio = 0.2;       /**< Repeats allowed for each request of a service. */
    double base_retries = 50; /**< Repeats allowed besides, all gateways together. */
    duration window{10'000};  /**< The span in which both are counted. */
    double usable_share =
        0.75; /**< Of the bound that is used, so that uneven counts stay within. */

    friend bool operator==(const retry_limiter_settings&, const retry_limiter_settings&) = default;
};

/**
 * Bounds how often requests are sent to a second backend server, per service.
 *
 * Each gateway keeps to the ratio of its own requests and to an equal part of the slack, so the
 * fleet stays within the bound without messages. Deterministic. Not thread safe.
 */
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_settings settings);

    void on_request(const std::string& service, time_point now);

    /** Counts one repeat if it is allowed. Precondition: gateways > 0. */
    bool try_retry(const std::string& service, std::size_t gateways, time_point now);

private:
    struct counts {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };

    void expire(counts& of, time_point now) const;

    retry_limiter_settings settings_;
    std::map<std::string, counts> by_service_;
};

} // namespace camphorgrade::serving
