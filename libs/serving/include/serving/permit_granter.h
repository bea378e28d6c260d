#pragma once

#include <kernel/clock.h>
#include <serving/permit_messages.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** Settings of a permit_granter. */
struct permit_granter_settings {
    /** Share of a limit that is granted; the rest covers permits that are used late. */
    double usable_share = 0.95;
    /** Lower bound of a server's rate, in permits per second, so that a server whose limit is 0
        still gets requests in whose responses it can name another one. */
    double min_rate_per_s = 0.1;
    double max_rate_per_s = 1'000'000; /**< Upper bound of a server's rate. */
    /** A bucket holds the permits of this time, at least one. */
    duration bucket_time{100};
    /** A gateway whose last request is older wants nothing any more. */
    duration request_expiry{600};
    /** A server for which nothing has been requested for this time is forgotten. */
    duration bucket_expiry{60'000};

    friend bool operator==(const permit_granter_settings&,
                           const permit_granter_settings&) = default;
};

/** A grant with its receiver, a gateway's address. */
struct addressed_grant {
    std::string to;
    permit_grant grant;

    friend bool operator==(const addressed_grant&, const addressed_grant&) = default;
};

/**
 * Grants the permits of limited servers from one token bucket for each server, to the gateways in
 * the order of their requests; spare permits come after all others. A bucket starts empty, or at
 * its granter's phase if that grants only a share of the limit.
 * Deterministic. Not thread safe.
 */
class permit_granter {
public:
    explicit permit_granter(permit_granter_settings settings) : settings_(settings) {}

    /** Applies a gateway's request. A new bucket fills from `grants_from` on. */
    void on_request(const std::string& gateway, const permit_request& request,
                    time_point grants_from, time_point now);

    /** Sets a server's limit for the permits that accrue from now on. */
    void set_limit(const server_process& server, double limit_per_s, time_point now);

    /** Sets the share of each limit that this granter may grant, from 0 to 1. */
    void set_fleet_share(double share, time_point now);

    /** Sets where in its cycle the bucket of a partial share begins, from 0 to 1. Granters that
       don't hear each other need different phases, or their permits accrue at the same moment. */
    void set_phase(double phase) { phase_ = phase; }

    /** Grants the permits that have accrued; returns a grant for each gateway that got permits or
        whose request has not been answered yet. */
    std::vector<addressed_grant> advance(time_point now);

    /** When the next permit that a gateway wants accrues; empty if none is wanted. */
    std::optional<time_point> next_grant_at() const;

    /** Forgets all about a server for which this gateway is no longer the granter. */
    void erase(const server_process& server) { buckets_.erase(server); }

    /** Servers for which gateways have requested permits. */
    std::vector<server_process> servers() const;

    /** Number of permits granted so far. */
    std::uint64_t granted_permits() const noexcept { return granted_permits_; }

private:
    struct applicant {
        std::uint64_t session = 0;
        std::uint64_t granted = 0;
        std::uint32_t queued = 0;       /**< Its entries in the queue. */
        std::uint32_t queued_spare = 0; /**< Its entries in the queue of spare permits. */
        time_point requested_at;
        bool is_reply_due = false;
    };
    struct bucket {
        double limit_per_s = 0;
        /** With a partial share it rises above the capacity while a permit is unused. */
        double level = 0;
        time_point refilled_at; /**< May be in the future: nothing accrues before. */
        time_point requested_at;
        std::map<std::string, applicant> applicants; // by gateway
        std::deque<std::string> queue; // gateways, one entry for each permit that is wanted
        std::deque<std::string> spare_queue;
    };

    double rate_of(const bucket& target) const;
    void refill(bucket& target, time_point now) const;
    double capacity_of(const bucket& target) const;
    /** Level at which an unused permit of a partial share lapses. Granters that don't hear each
       other would otherwise keep one each, and use all of them at the same time. */
    double lapse_level(const bucket& target) const;
    /** Time from now on until `permits` have accrued. */
    duration time_until(const bucket& target, double permits, time_point now) const;
    static void set_queued(std::deque<std::string>& queue, const std::string& gateway,
                           std::uint32_t& count, std::uint64_t wanted);
    static void clear_queued(bucket& target, const std::string& gateway, applicant& owner);
    /** Whether any gateway wants a permit. */
    static bool is_wanted(const bucket& target) {
        return !target.queue.empty() || !target.spare_queue.empty();
    }
    /** The gateway that gets the next permit, removed from its queue. */
    static applicant& take_next(bucket& target);
    void remove_expired(bucket& target, time_point now) const;

    permit_granter_settings settings_;
    double fleet_share_ = 1;
    double phase_ = 0;
    std::map<server_process, bucket> buckets_;
    std::uint64_t granted_permits_ = 0;
};

} // namespace camphorgrade::serving
