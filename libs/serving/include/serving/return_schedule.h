#pragma once

#include <kernel/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace camphorgrade::serving {

/** A time at which a refused request of a client account may return. A value type. */
struct return_reservation {
    std::uint64_t fingerprint = 0; /**< The request's crash_register::fingerprint(). */
    time_point due;
    double cost = 0; /**< As the account is charged. */
    int urgency = 0; /**< Lower is more urgent. */

    friend bool operator==(const return_reservation&, const return_reservation&) = default;
};

/** Times and limits of a return_schedule. */
struct return_schedule_settings {
    /** A reservation begins no sooner, so that other gateways hear of it before the caller returns
        to one of them. */
    duration min_delay{300};
    duration early_tolerance{100}; /**< A request may return this much before its time. */
    /** What isn't claimed for this time after it was due is free again. */
    duration claim_time{300};
    /** Below this share of its burst an account is short: each gateway then spends only its share
       of the rate, since all of them would spend the same rest. */
    double short_level = 0.5;
    /** The same while reservations are open: without a margin, the gateways would spend what has
        just accrued all at once. */
    double recovered_level = 0.9;
    /** Share of the rate that is spent while the account is short; the rest lets its level rise. */
    double usable_rate_share = 0.95;
    /** Period over which the demand of each urgency is averaged. */
    duration demand_period{1'000};
    std::size_t max_reservations = 4'096;

    friend bool operator==(const return_schedule_settings&,
                           const return_schedule_settings&) = default;
};

/** What a client account can spend, as one gateway knows it. A value type. */
struct account_budget {
    double level = 0;      /**< What may be spent now. */
    double burst = 0;      /**< Highest level. */
    double rate_per_s = 0; /**< At which the level rises. */
    double own_share = 1;  /**< Share of the rate that this gateway may spend, 0 to 1. */
    /** Estimate of what other gateways have spent and not yet reported. */
    double unreported = 0;

    friend bool operator==(const account_budget&, const account_budget&) = default;
};

/** What a request asks of its account. A value type. */
struct budget_request {
    std::uint64_t fingerprint = 0; /**< The request's crash_register::fingerprint(). */
    double cost = 0;
    int urgency = 0;

    friend bool operator==(const budget_request&, const budget_request&) = default;
};

/**
 * Schedules the requests of one client account that is over its rate, by urgency, then by who came
 * first. Requests that are refused get a time at which to return.
 *
 * Answers load of several times the account's rate. Every refused request would otherwise be told
 * the same moment and be refused again, and a level near 0 would serve small requests only. The
 * schedule keeps capacity for each reservation at its time, against requests that aren't more
 * urgent. All gateways know each other's reservations; each spends and reserves within its share of
 * the rate, so together they reserve no more than the rate. A less urgent request gets what the
 * demand of the more urgent ones leaves. Deterministic. Not thread safe.
 */
class return_schedule {
public:
    explicit return_schedule(return_schedule_settings settings) : settings_(settings) {}

    /** Counts a request that arrived, whether it is admitted or not. */
    void on_demand(double cost, int urgency, time_point now);

    /** Takes the reservation of a request that returns in its time; false if it has none. */
    bool claim(std::uint64_t fingerprint, time_point now);

    /** Whether the request has a reservation that it hasn't claimed. */
    bool contains(std::uint64_t fingerprint) const { return fingerprints_.count(fingerprint) != 0; }

    /** Admits a request without a reservation if there is capacity for it now. */
    bool try_admit(const budget_request& request, const account_budget& budget, time_point now);

    /** Reserves a time at which there is capacity for the request, `latest` at the latest; empty if
       there is none, or if there are too many reservations. */
    std::optional<time_point> reserve(const budget_request& request, const account_budget& budget,
                                      time_point latest, time_point now);

    /** When there is capacity for a request that isn't reserved. */
    time_point available_at(const budget_request& request, const account_budget& budget,
                            time_point now) const;

    /** Adds another gateway's reservation; one that is known or over is ignored. */
    void add(const return_reservation& reservation, time_point now);

    /** Forgets reservations that weren't claimed in their time. */
    void remove_expired(time_point now);

    std::size_t size() const noexcept { return reservations_.size(); }

private:
    /** Urgencies from this on are scheduled alike. */
    static constexpr std::size_t urgency_steps = 10;

    struct demand_average {
        double cost = 0; /**< Decays over the averaging period. */
        time_point updated_at;
        time_point began_at; /**< When requests came again after a pause. */
    };

    static std::size_t step_of(int urgency);
    /** Cost of the requests of one urgency that arrive in a second. */
    double demand_per_s(const demand_average& average, time_point now) const;
    void insert(const return_reservation& reservation);
    /** What the level must not fall below now, so that it covers each reservation that is at least
       as urgent as `urgency` when that is due. */
    double reserved_level(int urgency, double rate_per_s, time_point now) const;
    /** What this gateway may spend in a second. */
    double own_rate(const account_budget& budget) const;
    /** Whether the demand of more urgent requests leaves any of it for requests of `urgency`. */
    bool has_share(int urgency, const account_budget& budget, time_point now) const;
    /** Records that `cost` of this gateway's share is spent or reserved. */
    void use_own_share(const budget_request& request, const account_budget& budget, time_point now);

    return_schedule_settings settings_;
    std::vector<return_reservation> reservations_; /**< By their times. */
    std::set<std::uint64_t> fingerprints_;
    /** When what this gateway has used for requests that are at least as urgent has accrued within
        its share of the rate. */
    std::array<time_point, urgency_steps> accrued_at_{};
    std::array<demand_average, urgency_steps> demand_{};
};

} // namespace camphorgrade::serving
