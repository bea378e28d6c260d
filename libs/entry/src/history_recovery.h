#pragma once

#include "fleet_state.h"

#include <kernel/clock.h>
#include <serving/checkpoint_schedule.h>
#include <serving/dispatcher.h>
#include <serving/fleet_checkpoint.h>
#include <serving/record_store.h>
#include <telemetry/event_log.h>

#include <cstddef>
#include <optional>

namespace camphorgrade::entry {

/** Delays of a history_recovery. */
struct history_recovery_settings {
    /** The system ran before this process started. */
    bool is_restart = false;
    /** Delay after a read that failed; doubles with each further one, up to the maximum. */
    duration min_retry_delay{200};
    duration max_retry_delay{2'000};

    friend bool operator==(const history_recovery_settings&,
                           const history_recovery_settings&) = default;
};

/**
 * Reads from the store what this process doesn't know of the recent past: the checkpoint, what
 * operators and backend servers have written since, and the origins of streams. Without a
 * checkpoint, all that the store has ever had is as good, while it still has it. A process that has
 * restarted reads in any case: other processes may tell it the past, and not know the origins.
 *
 * Not thread safe. All arguments must outlive it.
 */
class history_recovery {
public:
    history_recovery(const clock& clock, event_log& log, serving::dispatcher& dispatcher,
                     const fleet_state& fleet, serving::record_store& store,
                     serving::checkpoint_schedule& checkpoints, history_recovery_settings settings);

    /** Starts a read when this process has restarted or doesn't know the past. To be called
        regularly. */
    void tick();

    /** Whether the store is still to be read. */
    bool is_due() const noexcept { return is_due_; }

private:
    void read_records();
    void on_records(const serving::record_list& list);
    void read_changes(const serving::record_list& list,
                      std::optional<serving::fleet_checkpoint> checkpoint);
    void on_changes(const serving::recorded_changes& changes, time_point read_at,
                    const serving::record_list& list,
                    std::optional<serving::fleet_checkpoint> checkpoint);
    std::size_t apply_origins(const serving::record_list& list);
    void retry();
    void end(const char* result);

    const clock& clock_;
    event_log& log_;
    serving::dispatcher& dispatcher_;
    const fleet_state& fleet_;
    serving::record_store& store_;
    serving::checkpoint_schedule& checkpoints_;
    history_recovery_settings settings_;
    bool is_due_;            /**< The store is to be read. */
    bool knew_past_ = false; /**< At the last tick. */
    bool is_reading_ = false;
    time_point next_read_at_;
    duration retry_delay_;
};

} // namespace camphorgrade::entry
