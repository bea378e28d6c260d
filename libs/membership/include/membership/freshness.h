#pragma once

#include <kernel/clock.h>
#include <kernel/ids.h>

#include <cstddef>
#include <map>
#include <optional>

namespace camphorgrade::membership {

/**
 * Until when a majority of the witnesses vouches for this node.
 *
 * A granted probe counts from when it was sent, by this node's own monotonic clock, so the time
 * that an answer was under way or that the process was paused can only shorten the validity.
 * Not thread safe.
 *
 * @code
 * freshness fresh(duration{5'000});
 * fresh.set_witness_count(3);
 * fresh.granted(witness, probe_sent_at);
 * if (fresh.holds(now)) { ... }
 * @endcode
 */
class freshness {
public:
    /** `validity` of a granted probe. Precondition: positive. */
    explicit freshness(duration validity);

    /**
     * Begins anew with another set of `count` witnesses. What the earlier set vouched for stays
     * valid for its time: witnesses of the new set count only once the earlier ones are out.
     */
    void set_witness_count(std::size_t count);

    /** `witness`, one of the set, granted the probe sent at `sent_at`. */
    void granted(const node_id& witness, time_point sent_at);

    /** Gives up all that was vouched for. */
    void drop();

    /** Whether a majority vouches at `now`. */
    bool holds(time_point now) const { return valid_until_ && now < *valid_until_; }

    /** First moment at which it no longer holds; nothing when never vouched for. */
    std::optional<time_point> valid_until() const { return valid_until_; }

private:
    duration validity_;
    std::size_t witness_count_ = 0;
    std::map<node_id, time_point> granted_;
    std::optional<time_point> valid_until_;
};

} // namespace camphorgrade::membership
