#pragma once

#include <kernel/clock.h>

#include <optional>

namespace camphorgrade::serving {

/** Times of a watch_duty. */
struct watch_duty_settings {
    duration page_expiry{1'500}; /**< Without news from peers for so long, the store is watched. */
    duration steady{3'000}; /**< News must have come for so long before the watch is dropped. */

    friend bool operator==(const watch_duty_settings&, const watch_duty_settings&) = default;
};

/**
 * Decides whether a gateway watches the store itself, or learns from a few peers that watch for
 * its data centre. Deterministic. Not thread safe.
 */
class watch_duty {
public:
    explicit watch_duty(watch_duty_settings settings) : settings_(settings) {}

    /** A peer that is in touch with the store told what it knows. */
    void on_page(time_point now) { last_page_ = now; }

    /** Whether to watch; `has_watchers` tells whether peers watch for this gateway. */
    bool watches(bool has_watchers, time_point now);

private:
    watch_duty_settings settings_;
    std::optional<time_point> last_page_;
    std::optional<time_point> steady_since_;
};

} // namespace camphorgrade::serving
