#pragma once

#include <kernel/clock.h>
#include <serving/fleet_checkpoint.h>

#include <compare>
#include <cstdint>
#include <optional>

/** @file When a gateway writes a checkpoint to the store. */
namespace camphorgrade::serving {

/** Times of a checkpoint_schedule. */
struct checkpoint_schedule_settings {
    /** A checkpoint of this age is replaced. It must be much shorter than the time for which the
        store keeps its changes. */
    duration interval{5'000};
    /** Gateways spread their writes over this time, so that few write the same. */
    duration spread{1'500};
    /** Time after a write that failed; doubles with each further one, up to the maximum. */
    duration min_retry_delay{500};
    duration max_retry_delay{4'000};

    friend bool operator==(const checkpoint_schedule_settings&,
                           const checkpoint_schedule_settings&) = default;
};

/**
 * Decides when this gateway writes a checkpoint: when the newest that it knows, from the store or
 * from other gateways, is old. Deterministic. Not thread safe.
 */
class checkpoint_schedule {
public:
    /** `delay_share` from 0 to 1 is this gateway's place among those that write. */
    checkpoint_schedule(checkpoint_schedule_settings settings, double delay_share);

    /** A checkpoint is known to be in the store; an older one than the known one is ignored. */
    void on_checkpoint(const checkpoint_state& state, time_point now);

    /** The store has dropped its changes, or came back from a copy: no checkpoint helps now. */
    void on_history_lost(time_point now);

    /** A write found another record than it expected; empty: none. */
    void on_conflict(const std::optional<checkpoint_state>& present, time_point now);

    /** A write ended without success, or nobody knows how. */
    void on_write_failed(time_point now);

    /** Whether to write now. */
    bool is_due(time_point now) const { return now >= due_; }

    /** Revision of the record that a write replaces; 0: there is none. */
    std::uint64_t record_revision() const noexcept { return known_.record_revision; }

    /** The newest known checkpoint; of revision 0 if none is known. */
    const checkpoint_state& newest() const noexcept { return known_; }

private:
    duration spread() const;

    checkpoint_schedule_settings settings_;
    double delay_share_;
    checkpoint_state known_;
    duration retry_delay_;
    time_point due_;
};

} // namespace camphorgrade::serving
