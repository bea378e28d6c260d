#pragma once

#include <kernel/clock.h>
#include <limits/token_units.h>

namespace camphorgrade::limits {

/**
 * A token bucket in exact integers: no drift, whatever the times at which it is looked at.
 *
 * Begins empty. Time that goes back is taken for no time. A value type; not thread safe.
 *
 * @code
 * token_bucket bucket(1'000, 5 * micro_tokens_per_token, now); // a token a second, burst of five
 * if (bucket.take(cost, now)) { ... }
 * @endcode
 */
class token_bucket {
public:
    token_bucket() = default;

    /** `rate` in micro-tokens a millisecond. Precondition: neither is negative. */
    token_bucket(std::int64_t rate, micro_tokens capacity, time_point now);

    std::int64_t rate() const noexcept { return rate_; }
    micro_tokens capacity() const noexcept { return capacity_; }

    /** What it holds at `now`. */
    micro_tokens level(time_point now) const;

    /** Takes `amount` if it holds that much. Precondition: not negative. */
    bool take(micro_tokens amount, time_point now);

    /** Adds `amount`, up to the capacity. Precondition: not negative. */
    void add(micro_tokens amount, time_point now);

    /** Changes rate and capacity from `now` on; what no longer fits is lost. */
    void set_limits(std::int64_t rate, micro_tokens capacity, time_point now);

    /** First time at which it will hold `amount`; time_point::max() when it never will. */
    time_point holds_at(micro_tokens amount, time_point now) const;

    friend bool operator==(const token_bucket&, const token_bucket&) = default;

private:
    std::int64_t rate_ = 0;
    micro_tokens capacity_ = 0;
    micro_tokens level_ = 0;
    time_point last_{};
};

} // namespace camphorgrade::limits
