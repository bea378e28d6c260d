#pragma once

#include <kernel/clock.h>
#include <serving/service_catalogue.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace camphorgrade::serving {

/** What one gateway has charged a client account in its life. Both counts only grow. */
struct account_charges {
    std::uint64_t admitted = 0;
    std::uint64_t credited = 0; /**< Of that, for requests that then didn't run. */

    friend bool operator==(const account_charges&, const account_charges&) = default;
};

/** Counts of one gateway, by client account. */
using account_usage = std::map<std::string, account_charges>;

/** How an account stands at one gateway. A value type. */
struct account_bucket_state {
    double level = 0; /**< What it may use at once; below 0: peers used more than was there. */
    double rate_per_s = 0;

    friend bool operator==(const account_bucket_state&, const account_bucket_state&) = default;
};

/** Times of an account_limiter. */
struct account_limiter_settings {
    bool is_restart = false; /**< What an earlier process admitted isn't known: only a part of
                                  each burst is there at the start. */
    double restart_burst_share = 0.1;
    duration joint_restart_window{
        1'500};                        /**< Gateways that were stopped together start within it. */
    duration peer_report_timeout{600}; /**< Several reports; from here on a peer is assumed to use
                                     its equal share. */
    duration peer_expiry{20'000};      /**< From here on a silent peer is taken for gone. */
    duration max_request_time{10'000}; /**< A peer that is new may for so long give back what it was
                                           charged before it was known. */

    friend bool operator==(const account_limiter_settings&,
                           const account_limiter_settings&) = default;
};

/**
 * Keeps each client account within its rate and burst, counted over all gateways.
 *
 * Each gateway has the whole token bucket and takes from it what it admits and what its peers
 * report to have admitted, so the limit is overrun by no more than what is admitted within one
 * report interval. A peer that can't be heard is assumed to use an equal share of the rate, so
 * gateways that are cut off from each other stay within the rate together. Deterministic. Not
 * thread safe.
 *
 * @code
 * account_limiter limiter({});
 * limiter.set_catalogue(catalogue, now);
 * if (const auto wait = limiter.charge("studio", 1200, now)) { refuse_until(*wait); }
 * @endcode
 */
class account_limiter {
public:
    explicit account_limiter(account_limiter_settings settings);

    /** The process starts. */
    void on_start(time_point now) { began_ = now; }

    /** Accounts that are new start with a full bucket; changed rates apply from now on. */
    void set_catalogue(const service_catalogue& catalogue, time_point now);

    /** Takes `cost` from the account, or says after how long there will be enough. */
    std::optional<duration> charge(const std::string& name, double cost, time_point now);

    /** As of the last charge; all 0 for an account without a limit. */
    account_bucket_state bucket_state(const std::string& name) const;

    /** Gives back what a request that didn't run was charged; peers hear of it too. */
    void credit(const std::string& name, double cost);

    /** A peer's counts; `life` tells its processes apart, `age` is the time since the start of the
        present one. Without `has_all`, those of accounts that changed lately; they count once the
        process's counts of all accounts have come. */
    void on_peer_usage(const std::string& peer, std::uint64_t life, duration age,
                       const account_usage& usage, bool has_all, time_point now);

    /** What this gateway has admitted and given back. */
    const account_usage& own_usage() const noexcept { return own_; }

    /** Whether so much was admitted since the last report that peers must hear of it at once: half
        of an equal part of some account's burst, when not much of it is left. */
    bool is_report_due() const;

    /** Peers were told what this gateway has admitted. */
    void on_report_sent() { unreported_.clear(); }

    /** Gateways that share the limits, this one included. */
    std::size_t gateway_count() const noexcept { return peers_.size() + 1; }

    /** Peers heard within `peer_report_timeout`. */
    std::size_t reporting_peers(time_point now) const;

private:
    struct bucket {
        double level = 0;
        double rate_per_s = 0;
        double burst = 0;
        time_point refilled;
        double forgiven = 0; /**< What peers charged beyond the deepest debt. */
    };
    struct peer {
        std::uint64_t life = 0;
        account_usage usage;
        time_point heard;
        /** What it gave back before may be of charges that weren't counted here. */
        time_point credits_from;
    };

    double usable_share(time_point now) const;
    /** Whether a peer's process of that age started when this one did, or later. */
    bool started_with(duration age, time_point now) const;
    void refill(bucket& of, time_point now) const;
    static void charge_for_peer(bucket& of, double cost);
    static void give_back(bucket& of, double cost);
    void forget_expired(time_point now);

    account_limiter_settings settings_;
    std::optional<time_point> began_;
    bool has_catalogue_ = false;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, peer> peers_;
    account_usage own_;
    std::map<std::string, double> unreported_; // admitted since the last report, net
};

} // namespace camphorgrade::serving
