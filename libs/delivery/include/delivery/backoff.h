#pragma once

#include <kernel/clock.h>
#include <kernel/random.h>

namespace camphorgrade::delivery {

/** Waits between tries. A value type. */
struct backoff_settings {
    duration base{50};
    duration most{2'000};

    friend bool operator==(const backoff_settings&, const backoff_settings&) = default;
};

/**
 * A wait drawn uniformly from [0, min(most, base * 2^failures)]: exponential backoff with full
 * jitter. Preconditions: base positive, most at least base. Thread safe but for `random`.
 */
duration draw_backoff(const backoff_settings& settings, unsigned failures, random_source& random);

} // namespace camphorgrade::delivery
