#include <limits/account_share.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::limits {

void account_share::set_limit(const account_limit& limit, time_point now) {
    CAMPHOR_PRECONDITION(limit.rate_tokens_per_s >= 0 && limit.burst_tokens >= 0);
    observe(now);
    limit_ = limit;
    apply_limits(now);
}

std::int64_t account_share::account_rate() const {
    return limit_.rate_tokens_per_s * micro_per_ms_of_token_per_s;
}

micro_tokens account_share::account_burst() const {
    return limit_.burst_tokens * micro_tokens_per_token;
}

std::optional<std::uint64_t> account_share::charge(micro_tokens cost, time_point now) {
    observe(now);
    if (!bucket_.take(cost, now)) {
        return std::nullopt;
    }
    return credits_.open();
}

micro_tokens account_share::credit(std::uint64_t admission, micro_tokens unused, time_point now) {
    observe(now);
    const micro_tokens allowed = credits_.close(admission, unused);
    bucket_.add(allowed, now);
    return allowed;
}

parts account_share::parts_to_hold(micro_tokens amount) const {
    const micro_tokens burst = account_burst();
    return amount >= burst ? whole : scale_up(amount, whole, burst);
}

void account_share::give(const share& given, time_point now) {
    CAMPHOR_PRECONDITION(given.rate_parts >= 0 && given.rate_parts <= rate_parts_);
    CAMPHOR_PRECONDITION(given.burst_parts >= 0 && given.burst_parts <= burst_parts_);
    CAMPHOR_PRECONDITION(given.level >= 0 && given.level <= level(now));
    CAMPHOR_PRECONDITION(given.level <= scale_down(account_burst(), given.burst_parts, whole));
    observe(now);
    bucket_.take(given.level, now);
    rate_parts_ -= given.rate_parts;
    burst_parts_ -= given.burst_parts;
    apply_limits(now);
}

void account_share::receive(const share& taken, time_point now) {
    observe(now);
    rate_parts_ += taken.rate_parts;
    burst_parts_ += taken.burst_parts;
    CAMPHOR_INVARIANT(rate_parts_ <= whole && burst_parts_ <= whole);
    apply_limits(now);
    // It may have been given under a larger burst.
    const micro_tokens fitting = scale_down(account_burst(), taken.burst_parts, whole);
    bucket_.add(std::min(taken.level, fitting), now);
}

void account_share::apply_limits(time_point now) {
    bucket_.set_limits(scale_down(account_rate(), rate_parts_, whole),
                       scale_down(account_burst(), burst_parts_, whole), now);
    observe(now);
}

void account_share::observe(time_point now) {
    credits_.observe(capacity() - level(now));
}

} // namespace camphorgrade::limits
