#pragma once

#include <kernel/clock.h>
#include <serving/permit_messages.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace camphorgrade::serving {

/** Settings of a permit_holder. */
struct permit_holder_settings {
    /** A permit is valid for the time in which one accrues, within these bounds. Gateways that keep
        permits can then use only about one more than the limit at the same time. */
    duration min_permit_lifetime{100};
    duration max_permit_lifetime{2'000};
    /** A gateway that would have used a permit wants a spare one for this time. */
    duration interest_duration{500};
    /** Time between requests that repeat the last one. */
    duration request_interval{200};
    duration reply_expiry{600}; /**< Age from which a granter's estimate is no longer used. */
    /** A granter that leaves requests unanswered for this time may be gone. */
    duration granter_timeout{300};
    duration silent_granter_wait{2'000}; /**< Assumed wait for a permit from a silent granter. */

    friend bool operator==(const permit_holder_settings&, const permit_holder_settings&) = default;
};

/**
 * The permits of one gateway: what it wants, what it has received and what it may still use.
 * Deterministic. Not thread safe.
 */
class permit_holder {
public:
    explicit permit_holder(permit_holder_settings settings) : settings_(settings) {}

    /** Whether a permit for the server is available. */
    bool has_permit(const server_process& server, time_point now) const;

    /** Uses up one permit. Precondition: has_permit(server, now). */
    void take(const server_process& server, time_point now);

    /** Number of requests that wait for a permit. */
    void set_waiting(const server_process& server, std::uint32_t waiting);

    /** A request would have used a permit if there had been one, and was placed elsewhere. */
    void on_interest(const server_process& server, time_point now);

    /** Applies a grant of the present granter. `limit_per_s` is the server's limit. Returns whether
        permits arrived. */
    bool on_grant(const permit_grant& grant, double limit_per_s, time_point now);

    /** Another gateway grants the server's permits from now on. */
    void begin_session(const server_process& server, time_point now);

    /** Discards the available permits, because the server's limit has changed. */
    void discard_permits(const server_process& server);

    /** Forgets a server that has no limit any more. */
    void erase(const server_process& server) { stocks_.erase(server); }

    /** The request for a server's permits, if it must be sent now. */
    std::optional<permit_request> next_request(const server_process& server, double limit_per_s,
                                               time_point now);

    /** Estimated time until one more request gets a permit. `position` is empty for a new request;
        for one that already waits it is the number of this gateway's requests ahead of it. */
    duration estimated_wait(const server_process& server, double limit_per_s,
                            std::optional<std::uint32_t> position, time_point now) const;

    /** When the granter last answered; the default time point if it has not. */
    time_point last_reply_at(const server_process& server) const;

    /** Servers for which permits are or were wanted. */
    std::vector<server_process> servers() const;

    /** Whether permits are wanted from any granter. */
    bool wants_permits(time_point now) const;

private:
    struct stock {
        std::uint64_t session = 0;
        std::uint64_t received = 0;
        std::deque<time_point> expiries; /**< Of the available permits, earliest first. */
        std::uint32_t waiting = 0;
        time_point interest_until;
        /** Received and wanted permits as last stated to the granter. */
        std::uint64_t stated_total = 0;
        time_point requested_at;
        time_point unanswered_since;
        time_point replied_at;
        duration first_wait{}; /**< As of the reply, like the next two. */
        duration next_wait{};
        std::uint32_t waiting_at_reply = 0;
    };

    /** Estimated time from the last reply until the request at `position` gets a permit. */
    static duration wait_in_queue(const stock& target, duration step,
                                  std::optional<std::uint32_t> position);

    static std::uint32_t available(const stock& target, time_point now);
    /** Permits wanted for waiting requests. */
    static std::uint32_t wanted(const stock& target, time_point now);
    /** Permits wanted for requests that may come. */
    static std::uint32_t wanted_spare(const stock& target, time_point now);

    permit_holder_settings settings_;
    std::map<server_process, stock> stocks_;
};

} // namespace camphorgrade::serving
