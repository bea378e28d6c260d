#pragma once

#include <kernel/clock.h>

#include <algorithm>
#include <optional>

namespace camphorgrade::serving {

/** Times of a watch_policy. */
struct watch_policy_settings {
    /** The gateway watches the store itself once the peers' data is this old. Short enough that it
        learns of servers that are shutting down before they have stopped. */
    duration peer_update_expiry{2'000};
    /** Time for which recent updates from peers must have been available before the gateway ends
        its own watch. */
    duration stable_period{3'000};

    friend bool operator==(const watch_policy_settings&, const watch_policy_settings&) = default;
};

/**
 * Decides whether a gateway watches the store itself or receives updates from a few peers that
 * watch it for the data centre. Deterministic. Not thread safe.
 */
class watch_policy {
public:
    explicit watch_policy(watch_policy_settings settings) : settings_(settings) {}

    /** A peer sent an update; its data was confirmed by the store at `confirmed_at`. */
    void on_peer_update(time_point confirmed_at) {
        confirmed_at_ = std::max(confirmed_at_.value_or(confirmed_at), confirmed_at);
    }

    /** Whether to watch the store; `has_watching_peers` states whether peers watch it for this
        gateway. */
    bool should_watch(bool has_watching_peers, time_point now);

private:
    watch_policy_settings settings_;
    std::optional<time_point> confirmed_at_;
    std::optional<time_point> stable_since_; /**< Empty while there are no recent updates. */
};

} // namespace camphorgrade::serving
