#include <limits/token_bucket.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::limits {

token_bucket::token_bucket(std::int64_t rate, micro_tokens capacity, time_point now)
    : rate_(rate), capacity_(capacity), last_(now) {
    CAMPHOR_PRECONDITION(rate >= 0 && capacity >= 0);
}

micro_tokens token_bucket::level(time_point now) const {
    const std::int64_t elapsed = std::max<std::int64_t>((now - last_).count(), 0);
    const micro_tokens room = capacity_ - level_;
    if (rate_ > 0 && elapsed > room / rate_) {
        return capacity_;
    }
    return level_ + rate_ * elapsed;
}

bool token_bucket::take(micro_tokens amount, time_point now) {
    CAMPHOR_PRECONDITION(amount >= 0);
    level_ = level(now);
    last_ = std::max(last_, now);
    if (level_ < amount) {
        return false;
    }
    level_ -= amount;
    return true;
}

void token_bucket::add(micro_tokens amount, time_point now) {
    CAMPHOR_PRECONDITION(amount >= 0);
    const micro_tokens before = level(now);
    level_ = before + std::min(amount, capacity_ - before);
    last_ = std::max(last_, now);
}

void token_bucket::set_limits(std::int64_t rate, micro_tokens capacity, time_point now) {
    CAMPHOR_PRECONDITION(rate >= 0 && capacity >= 0);
    level_ = std::min(level(now), capacity);
    last_ = std::max(last_, now);
    rate_ = rate;
    capacity_ = capacity;
}

time_point token_bucket::holds_at(micro_tokens amount, time_point now) const {
    const micro_tokens missing = amount - level(now);
    if (missing <= 0) {
        return now;
    }
    if (amount > capacity_ || rate_ == 0) {
        return time_point::max();
    }
    return now + duration{(missing + rate_ - 1) / rate_};
}

} // namespace camphorgrade::limits
