#pragma once

#include <limits/token_bucket.h>

#include <algorithm>
#include <vector>

namespace camphorgrade::limits::test {

/** Limits that may have been in force on some gateway, from `from` on. */
struct allowed_limit {
    time_point from;
    std::int64_t rate_tokens_per_s = 0;
    std::int64_t burst_tokens = 0;
    std::size_t first = 0; /**< Index of the first admission after the change. */
};

/**
 * Whether no window [s, t] saw more than burst + rate * (t - s): the same as that one token bucket,
 * full at first, could have served everything. Both are in order of time.
 */
template <typename Received>
bool within_every_window(const std::vector<Received>& all,
                         const std::vector<allowed_limit>& allowed) {
    const auto burst = [](const allowed_limit& each) {
        return each.burst_tokens * micro_tokens_per_token;
    };
    const auto rate = [](const allowed_limit& each) {
        return each.rate_tokens_per_s * micro_per_ms_of_token_per_s;
    };
    token_bucket bucket(rate(allowed.front()), burst(allowed.front()), allowed.front().from);
    bucket.add(burst(allowed.front()), allowed.front().from);
    std::size_t next = 1;
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (; next < allowed.size() && allowed[next].first <= i; ++next) {
            const micro_tokens wider =
                std::max<micro_tokens>(burst(allowed[next]) - bucket.capacity(), 0);
            bucket.set_limits(rate(allowed[next]), burst(allowed[next]), allowed[next].from);
            bucket.add(wider, allowed[next].from);
        }
        if (!bucket.take(all[i].net, all[i].at)) {
            return false;
        }
    }
    return true;
}

} // namespace camphorgrade::limits::test
