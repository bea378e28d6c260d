#pragma once

#include <kernel/clock.h>
#include <serving/return_schedule.h>
#include <serving/service_catalogue.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** What one gateway process has charged a client account since it started. Both counters are
    monotonic. */
struct account_charges {
    std::uint64_t admitted = 0;
    std::uint64_t credited = 0; /**< Part of `admitted` that was credited because the request did
                                     not run. */

    friend bool operator==(const account_charges&, const account_charges&) = default;
};

/** Counters of one gateway, by client account name. */
using account_usage = std::map<std::string, account_charges>;

/** State of an account's token bucket at one gateway. A value type. */
struct account_bucket_state {
    /** Tokens or requests available; negative if peers charged more than was available. */
    double level = 0;
    double rate_per_s = 0;

    friend bool operator==(const account_bucket_state&, const account_bucket_state&) = default;
};

/** A request that is to be charged to a client account. */
struct account_charge {
    std::string account;
    double cost = 0;
    int urgency = 0;               /**< Lower is more urgent. */
    std::uint64_t fingerprint = 0; /**< The request's crash_register::fingerprint(). */
    duration longest_wait{};       /**< A later return would be of no use to the caller. */
};

/** Whether a request was charged, and otherwise when it may return. A value type. */
struct charge_result {
    bool is_charged = false;
    bool is_reserved = false; /**< `wait` is reserved for it. */
    duration wait{};          /**< Until there is capacity. */

    friend bool operator==(const charge_result&, const charge_result&) = default;
};

/** What became of requests over their accounts' rates. A value type. */
struct return_counts {
    std::uint64_t reserved = 0;      /**< Times that were reserved. */
    std::uint64_t served = 0;        /**< Requests that returned and were charged. */
    std::uint64_t refused_again = 0; /**< Requests that returned and were refused. */

    friend bool operator==(const return_counts&, const return_counts&) = default;
};

/** A reservation as gateways report it to each other. A value type. */
struct account_reservation {
    std::string account;
    std::uint64_t fingerprint = 0;
    duration due_in{};
    double cost = 0;
    int urgency = 0;

    friend bool operator==(const account_reservation&, const account_reservation&) = default;
};

/** Settings of an account_limiter. Durations are in milliseconds. */
struct account_limiter_settings {
    /** Whether an earlier process ran. Its charges are unknown, so each bucket starts with only
        `restart_burst_share` of its burst. */
    bool is_restart = false;
    double restart_burst_share = 0.1;
    duration joint_restart_window{1'500}; /**< Gateways that were stopped together restart within
                                               this time. */
    duration peer_report_timeout{600};    /**< Several report intervals; a peer without a report for
                                             longer is assumed to use its equal share. */
    duration peer_expiry{20'000};         /**< A peer without a report for longer is removed. */
    /** Longest time from a request's charge to its credit. For this time after a peer's first
        report its credits are ignored: they may belong to charges made before that report. */
    duration max_request_time{10'000};
    /** Whether requests over the rate get reserved times at which they may return. */
    bool schedules_returns = false;
    return_schedule_settings returns;
    /** Gateways that admitted a request of an account within this time share its reservations. */
    duration account_activity{5'000};
    /** Number of reports that state each reservation, so that a lost one loses none. */
    std::uint32_t reservation_reports = 2;
    std::size_t max_reservations_per_report = 256;

    friend bool operator==(const account_limiter_settings&,
                           const account_limiter_settings&) = default;
};

/**
 * Limits each client account to its rate and burst, summed over all gateways.
 *
 * Each gateway keeps a full token bucket and subtracts what it admits and what its peers report
 * as admitted, so the limit is exceeded by at most what is admitted within one report interval. A
 * peer whose reports don't arrive is assumed to use an equal share of the rate, so gateways that
 * are partitioned stay within the rate together. Deterministic. Not thread safe.
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

    /** Sets the start time of this process, with which the age of peers is compared after a
        restart. */
    void on_start(time_point now) { started_at_ = now; }

    /** Applies the rates of a catalogue from now on. A new account starts with a full bucket,
        except with the first catalogue after a restart (`is_restart`). */
    void set_catalogue(const service_catalogue& catalogue, time_point now);

    /** Charges `cost` to the account and returns nothing, or charges nothing and returns the
        time until enough is available. An account without a limit is never refused. */
    std::optional<duration> charge(const std::string& name, double cost, time_point now);

    /**
     * As charge(), where requests over the rate are scheduled (`schedules_returns`): by urgency,
     * then by who came first. One that returns at its time is charged before all others; another
     * one only if what is left covers the reservations that are at least as urgent. A refused
     * request gets a reservation if there is capacity within `longest_wait`, and it hasn't had one.
     */
    charge_result charge(const account_charge& request, time_point now);

    /** Reservations of this gateway for the next report to peers. */
    std::vector<account_reservation> next_reservations(time_point now);

    bool has_unreported_reservations() const noexcept { return !unreported_reservations_.empty(); }

    /** Applies what a peer has reserved. Reservations of unknown accounts are ignored. */
    void on_peer_reservations(const std::vector<account_reservation>& reservations, time_point now);

    const return_counts& returns() const noexcept { return return_counts_; }

    /** Number of reservations, of all accounts and gateways, that are known here. */
    std::size_t reservations() const;

    /** State after the latest update, without refill since; all 0 for an account without a
        limit. */
    account_bucket_state bucket_state(const std::string& name) const;

    /** Returns the cost of a request that did not run to the account. The credit is part of the
        next report to peers. */
    void credit(const std::string& name, double cost);

    /** Applies a peer's counters. `incarnation` identifies the peer's process (larger is later),
       `age` is the time since that process started. Unless `is_complete`, `usage` holds only
       accounts that changed recently; it is ignored until a report with all accounts of that
       process has arrived. */
    void on_peer_usage(const std::string& peer_name, std::uint64_t incarnation, duration age,
                       const account_usage& usage, bool is_complete, time_point now);

    /** What this gateway has admitted and credited, for reports to peers. */
    const account_usage& own_usage() const noexcept { return own_usage_; }

    /** Returns whether a report to peers is due before the regular interval: since the last
        report some account used half of this gateway's equal share of its burst, and less
        than three quarters of the burst is left. */
    bool is_report_due() const;

    /** A report with own_usage() was sent to the peers. */
    void on_report_sent() { unreported_.clear(); }

    /** Number of gateways that share the limits, including this one. */
    std::size_t gateway_count() const noexcept { return peers_.size() + 1; }

    /** Number of peers whose last report is more recent than `peer_report_timeout`. */
    std::size_t reporting_peers(time_point now) const;

private:
    struct bucket {
        double level = 0;
        double rate_per_s = 0;
        double burst = 0;
        time_point refilled_at;
        /** What peers charged beyond the largest allowed debt; never subtracted from `level`. */
        double unapplied_charges = 0;
    };
    struct peer {
        std::uint64_t incarnation = 0;
        account_usage usage;
        std::map<std::string, time_point> admitted_at; /**< Latest admission, by account. */
        time_point reported_at;
        /** Credits before this time are ignored: they may belong to charges not counted here. */
        time_point credits_accepted_from;
    };

    /** A reservation of this gateway that is to be reported to peers. */
    struct unreported_reservation {
        std::string account;
        return_reservation reservation;
        std::uint32_t reports_left = 0;
    };

    void charge_bucket(const std::string& name, bucket& target, double cost);
    /** The account's bucket as of `now`; null if the account has no limit. */
    bucket* refilled_bucket(const std::string& name, time_point now);
    return_schedule& schedule_of(const std::string& account);
    /** When a request that is refused may return; reserves the time if it may have one. */
    charge_result schedule_return(const account_charge& request, const budget_request& wanted,
                                  const account_budget& budget, time_point now);
    /** What the account can spend; the gateways that it uses share its rate equally. */
    account_budget budget_of(const std::string& account, const bucket& target,
                             time_point now) const;
    /** Share of each rate that is not set aside for peers without a recent report. */
    double usable_share(time_point now) const;
    /** Returns whether a peer's process of this age restarted together with this one, or later. */
    bool restarted_together(duration age, time_point now) const;
    void refill(bucket& target, time_point now) const;
    static void charge_for_peer(bucket& target, double cost);
    static void apply_credit(bucket& target, double cost);
    void remove_expired_peers(time_point now);

    account_limiter_settings settings_;
    std::optional<time_point> started_at_;
    bool has_catalogue_ = false;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, peer> peers_;
    account_usage own_usage_;
    std::map<std::string, return_schedule> schedules_; // by account
    std::vector<unreported_reservation> unreported_reservations_;
    return_counts return_counts_;
    std::map<std::string, double> unreported_; // charged minus credited since the last report
};

} // namespace camphorgrade::serving
