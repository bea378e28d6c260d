#pragma once

#include <kernel/clock.h>

#include <algorithm>
#include <optional>

namespace camphorgrade::serving {

/** Times of a watch_policy. */
struct watch_policy_settings {
    duration peer_update_expiry{2'000}; /**< When what peers know is so old, the store is watched;
                                      servers that leave must be known before they are gone. */
    duration stable_period{
        3'000}; /**< News must have come for so long before the watch is dropped. */

    friend bool operator==(const watch_policy_settings&, const watch_policy_settings&) = default;
};

/**
 * Decides whether a gateway watches the store itself, or learns from a few peers that watch for
 * its data centre. Deterministic. Not thread safe.
 */
class watch_policy {
public:
    explicit watch_policy(watch_policy_settings settings) : settings_(settings) {}

    /** A peer told what it knows; the store had answered it at `known_at`. */
    void on_peer_update(time_point known_at) {
        known_at_ = std::max(known_at_.value_or(known_at), known_at);
    }

    /** Whether to watch; `has_watchers` tells whether peers watch for this gateway. */
    bool should_watch(bool has_watchers, time_point now);

private:
    watch_policy_settings settings_;
    std::optional<time_point> known_at_;
    std::optional<time_point> steady_since_;
};

} // namespace camphorgrade::serving
