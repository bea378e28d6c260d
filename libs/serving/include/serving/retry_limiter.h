#pragma once

#include <kernel/clock.h>
#include <serving/recent_gateways.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** Limits on retries, summed over all gateways. Durations are in milliseconds. */
struct retry_limiter_settings {
    double ratio = 0.2;         /**< Retries allowed per request of a service. */
    double base_retries = 50;   /**< Additional retries allowed, for all gateways together. */
    duration window{10'000};    /**< Sliding window in which requests and retries are counted. */
    double usable_share = 0.75; /**< Share of the limit that is used, so that the sum stays within
                                   it when gateways get uneven numbers of requests. */
    /** Whether an earlier process ran, which may have sent retries that aren't known here. */
    bool is_restart = false;
    /** A gateway that was known within this time still has its share of the additional retries. */
    duration gateway_memory{60'000};

    friend bool operator==(const retry_limiter_settings&, const retry_limiter_settings&) = default;
};

/** The limit on the retries of a service at one gateway, and what is used of it. A value type. */
struct retry_usage {
    std::size_t requests = 0;       /**< Requests in the window. */
    std::size_t retries = 0;        /**< Retries in the window. */
    double allowed = 0;             /**< Retries that are allowed in the window. */
    std::size_t known_gateways = 1; /**< Gateways that share the additional retries. */
    std::size_t live_gateways = 1;  /**< Of them, those that this gateway hears, itself included. */

    friend bool operator==(const retry_usage&, const retry_usage&) = default;
};

/**
 * Limits per service how often requests are sent to another backend server.
 *
 * Each gateway applies the ratio to its own requests and takes an equal share of the additional
 * retries, so all gateways together stay within the limit without exchanging messages. A gateway
 * that doesn't hear most of the gateways that it knows may know too few, so it takes no share of
 * the additional retries. Neither does one that has restarted, until what its
 * predecessor sent has left the window. A retry that waits before it is sent is reserved: it counts
 * all the while, and in the window in which it is sent. Deterministic. Not thread safe.
 */
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_settings settings);

    /**
     * Sets the gateways that share the additional retries: those that are heard now, this one
     * included, and others that are only known by name. Until the first call, this gateway is
     * taken for the only one.
     */
    void set_gateways(const std::vector<std::string>& live, const std::vector<std::string>& others,
                      time_point now);

    /** Counts a request to the service. */
    void on_request(const std::string& service, time_point now);

    /** Reserves one retry and returns true if the limit allows it, else returns false. */
    bool try_reserve(const std::string& service, time_point now);

    /** A retry that was reserved is to be sent now: counts it and returns true, unless the limit
        has fallen meanwhile. Its reservation ends. Precondition: one is reserved. */
    bool try_send(const std::string& service, time_point now);

    /** A retry that was reserved won't be sent. Precondition: one is reserved. */
    void release(const std::string& service);

    /** The limit now and what is used of it. */
    retry_usage usage(const std::string& service, time_point now);

    /** Number of requests to the service that are remembered. */
    std::size_t remembered_requests(const std::string& service) const;

private:
    struct counts {
        std::deque<time_point> requests;
        std::deque<time_point> retries; /**< By the time of sending. */
        std::size_t reserved = 0;
    };

    void expire(counts& target, time_point now) const;
    /** This gateway's share of the additional retries. */
    double additional_share(time_point now) const;

    retry_limiter_settings settings_;
    std::map<std::string, counts> by_service_;
    recent_gateways known_gateways_{settings_.gateway_memory}; /**< None until set_gateways(). */
    std::size_t live_gateways_ = 1;
    std::optional<time_point> first_request_at_;
};

} // namespace camphorgrade::serving
