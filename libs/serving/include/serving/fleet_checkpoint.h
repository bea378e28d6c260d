#pragma once

#include <kernel/clock.h>
#include <serving/record_store.h>
#include <serving/route_history.h>
#include <serving/service_catalogue.h>
#include <serving/software_versions.h>
#include <serving/store_position.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * @file
 * What must be known of the recent past to continue streams, as a record of the store. Together
 * with the store's changes since its position it is the whole past up to now, without any clock.
 */
namespace camphorgrade::serving {

/** The recent past as of a position of the store. A value type. */
struct fleet_checkpoint {
    store_position position;
    /** All software versions that served in this time before `position` are in `software`. */
    duration reach{};
    std::vector<software_record> software; /**< Ages as of `position`. */
    /** The streaming routes as of `position`: host, path prefix and services only. */
    std::vector<route> routes;
    std::vector<route_change> route_changes; /**< Ages as of `position`. */

    friend bool operator==(const fleet_checkpoint&, const fleet_checkpoint&) = default;
};

/** What the store tells of the time before a process started. A value type. */
struct recovered_history {
    /** Empty: the changes are all that the store has ever had. */
    std::optional<fleet_checkpoint> checkpoint;
    recorded_changes changes; /**< Since the checkpoint. */
    time_point read_at;       /**< The changes reach up to this time at least. */

    friend bool operator==(const recovered_history&, const recovered_history&) = default;
};

/** Where the newest known checkpoint stands. A value type. */
struct checkpoint_state {
    store_position position;           /**< Of the fleet, which it describes. */
    std::uint64_t record_revision = 0; /**< Of the record. */

    friend auto operator<=>(const checkpoint_state&, const checkpoint_state&) = default;
};

} // namespace camphorgrade::serving
