#pragma once

#include "fleet_state.h"
#include "history_recovery.h"

#include <kernel/clock.h>
#include <serving/checkpoint_schedule.h>
#include <serving/dispatcher.h>
#include <serving/fleet_checkpoint.h>
#include <serving/origin_journal.h>
#include <serving/record_store.h>
#include <telemetry/event_log.h>
#include <telemetry/metrics.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorgrade::entry {

/** Settings of fleet_records. */
struct fleet_records_settings {
    std::string address;           /**< Of this gateway, "ip:port". */
    std::uint64_t incarnation = 1; /**< Of this process. */
    /** Writes per second that the store takes from all gateways together. */
    double store_writes_per_s = 400;
    /** Share of these that records of origins may take. */
    double origins_write_share = 0.25;
    serving::checkpoint_schedule_settings checkpoints;
    serving::origin_journal_settings origins;
    history_recovery_settings recovery;

    friend bool operator==(const fleet_records_settings&, const fleet_records_settings&) = default;
};

/**
 * Keeps in the store what all processes of the system together must not forget: a checkpoint of
 * the recent past, and the origins of streams while several software versions serve. Reads it
 * again after a start. A store that doesn't take records costs knowledge only.
 *
 * Not thread safe. All arguments must outlive it.
 */
class fleet_records {
public:
    fleet_records(const clock& clock, event_log& log, metrics& counts,
                  serving::dispatcher& dispatcher, const fleet_state& fleet,
                  serving::record_store& store, const fleet_records_settings& settings);

    /** Reads and writes what is due. To be called regularly. */
    void tick();

    /** Another gateway knows of a checkpoint. */
    void on_peer_checkpoint(const serving::checkpoint_state& state);

    /** The store's changes up to now can't be read any more. */
    void on_history_lost();

    /** The newest known checkpoint, for other gateways. */
    const serving::checkpoint_state& newest_checkpoint() const { return checkpoints_.newest(); }

    /** Sets the number of gateways that write, this one included. */
    void set_gateways(std::size_t count);

private:
    void write_checkpoint();
    void on_checkpoint_written(const serving::store_position& position,
                               const serving::write_result& result);
    void write_origins();
    void make(const serving::journal_call& call);
    void count_write(const char* record, serving::write_outcome outcome);

    const clock& clock_;
    event_log& log_;
    metrics& metrics_;
    serving::dispatcher& dispatcher_;
    const fleet_state& fleet_;
    serving::record_store& store_;
    fleet_records_settings settings_;
    serving::checkpoint_schedule checkpoints_;
    serving::origin_journal journal_;
    history_recovery recovery_;
    bool is_writing_checkpoint_ = false;
};

} // namespace camphorgrade::entry
