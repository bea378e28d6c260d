#include <placement/popularity.h>

#include <kernel/check.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr double ms_per_s = 1000;

double decay(duration elapsed, duration half_life) {
    return std::exp2(-static_cast<double>(elapsed.count()) /
                     static_cast<double>(half_life.count()));
}

/** A counter decaying with this half-life holds rate x half-life / ln 2 in steady state. */
double per_second(double count, duration half_life) {
    return count * std::log(2.0) * ms_per_s / static_cast<double>(half_life.count());
}

} // namespace

popularity::popularity(std::size_t capacity, duration slow_half_life, duration fast_half_life)
    : capacity_(capacity), slow_half_life_(slow_half_life), fast_half_life_(fast_half_life) {
    CAMPHOR_PRECONDITION(capacity > 0);
}

void popularity::add(std::uint64_t key, double amount, time_point now) {
    const auto raise = [&](counter& target) {
        target = decayed(target, now);
        target.slow += amount;
        target.fast += amount;
    };
    raise(counters_[key]);
    raise(total_);
    if (counters_.size() > 2 * capacity_) {
        prune(now);
    }
}

double popularity::rate(std::uint64_t key, time_point now) const {
    const auto found = counters_.find(key);
    return found == counters_.end() ? 0 : rate_of(found->second, now);
}

double popularity::total_rate(time_point now) const {
    return rate_of(total_, now);
}

popularity::counter popularity::decayed(const counter& from, time_point now) const {
    const duration elapsed = now - from.at;
    return {from.slow * decay(elapsed, slow_half_life_),
            from.fast * decay(elapsed, fast_half_life_), now};
}

double popularity::rate_of(const counter& from, time_point now) const {
    const counter current = decayed(from, now);
    return std::max(per_second(current.slow, slow_half_life_),
                    per_second(current.fast, fast_half_life_));
}

void popularity::prune(time_point now) {
    std::vector<std::pair<double, std::uint64_t>> ranked;
    ranked.reserve(counters_.size());
    for (const auto& [key, each] : counters_) {
        ranked.emplace_back(rate_of(each, now), key);
    }
    const auto limit = ranked.begin() + static_cast<std::ptrdiff_t>(capacity_);
    std::nth_element(ranked.begin(), limit, ranked.end(), std::greater<>{});
    for (auto each = limit; each != ranked.end(); ++each) {
        counters_.erase(each->second);
    }
}

} // namespace camphorgrade::placement
