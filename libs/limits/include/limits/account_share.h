#pragma once

#include <kernel/clock.h>
#include <limits/credit_window.h>
#include <limits/token_bucket.h>
#include <limits/token_units.h>

#include <cstdint>
#include <optional>
#include <string>

namespace camphorgrade::limits {

/** What a client account may receive, as the operators set it. A value type. */
struct account_limit {
    std::string client_account;
    std::int64_t rate_tokens_per_s = 0;
    std::int64_t burst_tokens = 0;

    friend bool operator==(const account_limit&, const account_limit&) = default;
};

/** Some part of a client account, on its way or held. `level` fits into `burst_parts`. */
struct share {
    parts rate_parts = 0;
    parts burst_parts = 0;
    micro_tokens level = 0;

    /** Whether it holds nothing. */
    bool empty() const { return rate_parts == 0 && burst_parts == 0 && level == 0; }

    friend bool operator==(const share&, const share&) = default;
};

/**
 * One gateway's part of one client account.
 *
 * Parts of rate and burst are fractions, so a change of the account's limits needs no agreement
 * among the gateways. Tokens move only together with burst that can hold them, so at any time all
 * levels, with those under way, are at most the burst; with rates that add up to the account's, the
 * account receives in any window at most its burst and its rate times the window. Not thread safe.
 *
 * @code
 * account_share held;
 * held.set_limit({"tenant", 100, 1'000}, now);
 * held.receive({whole, whole, 0}, now);
 * const auto admission = held.charge(cost, later);
 * held.credit(*admission, unused, done);
 * @endcode
 */
class account_share {
public:
    /** Takes the account's limits over; what no longer fits is lost. */
    void set_limit(const account_limit& limit, time_point now);

    const account_limit& limit() const noexcept { return limit_; }
    parts rate_parts() const noexcept { return rate_parts_; }
    parts burst_parts() const noexcept { return burst_parts_; }

    /** This part's rate, in micro-tokens a millisecond. */
    std::int64_t rate() const noexcept { return bucket_.rate(); }

    /** What this part can hold. */
    micro_tokens capacity() const noexcept { return bucket_.capacity(); }

    micro_tokens level(time_point now) const { return bucket_.level(now); }

    /** When `amount` will be there without help; time_point::max() for never. */
    time_point holds_at(micro_tokens amount, time_point now) const {
        return bucket_.holds_at(amount, now);
    }

    /** The whole account's rate in micro-tokens a millisecond, and its burst. */
    std::int64_t account_rate() const;
    micro_tokens account_burst() const;

    /** Takes `cost` if it is there; returns a number for credit(). Precondition: not negative. */
    std::optional<std::uint64_t> charge(micro_tokens cost, time_point now);

    /**
     * Ends an admission and gives back what it did not use, as far as the window bound allows;
     * returns how much that was. Precondition: charged and not yet credited.
     */
    micro_tokens credit(std::uint64_t admission, micro_tokens unused, time_point now);

    /** The fewest parts of the burst that can hold `amount`; `whole` when none can. */
    parts parts_to_hold(micro_tokens amount) const;

    /** Debits `given`. Preconditions: it is held, and its level fits into its burst parts. */
    void give(const share& given, time_point now);

    /** Adds `taken`; tokens that do not fit are lost. Precondition: debited elsewhere. */
    void receive(const share& taken, time_point now);

private:
    void apply_limits(time_point now);
    void observe(time_point now);

    account_limit limit_;
    parts rate_parts_ = 0;
    parts burst_parts_ = 0;
    token_bucket bucket_;
    credit_window credits_;
};

} // namespace camphorgrade::limits
