#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace camphorgrade::placement {

/**
 * How much is asked for each key, by two exponentially decayed counters: a slow one that remembers
 * and a fast one that follows a sudden shift; the larger one counts. Keeps the `capacity` most
 * popular keys at least. Not thread safe.
 *
 * @code
 * popularity asked(4096);
 * asked.add(digest(adapter), cost, now);
 * double tokens_per_s = asked.rate(digest(adapter), now);
 * @endcode
 */
class popularity {
public:
    /** Precondition: `capacity` > 0. */
    explicit popularity(std::size_t capacity, duration slow_half_life = duration{300000},
                        duration fast_half_life = duration{5000});

    void add(std::uint64_t key, double amount, time_point now);

    /** Amount per second of late. */
    double rate(std::uint64_t key, time_point now) const;

    /** Amount per second over all keys. */
    double total_rate(time_point now) const;

    std::size_t size() const noexcept { return counters_.size(); }

private:
    struct counter {
        double slow = 0;
        double fast = 0;
        time_point at;
    };

    counter decayed(const counter& from, time_point now) const;
    double rate_of(const counter& from, time_point now) const;
    void prune(time_point now);

    std::size_t capacity_;
    duration slow_half_life_;
    duration fast_half_life_;
    std::map<std::uint64_t, counter> counters_;
    counter total_;
};

} // namespace camphorgrade::placement
