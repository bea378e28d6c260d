#pragma once

#include <placement/adapter_ref.h>

#include <kernel/clock.h>
#include <kernel/ids.h>

#include <cstddef>
#include <vector>

/**
 * @file
 * What passes between a slot_table and the driver of its engine. All are value types.
 */
namespace camphorgrade::placement {

/** Numbers an agent's orders to its engine; never reused within the agent's life. */
using order_id = strong_id<struct order_id_tag, std::uint64_t>;

/** Names one life of an engine; ids of two lives differ and have no order. */
using boot_id = strong_id<struct boot_id_tag, std::uint64_t>;

/** Grows with every agent that takes over an engine; engines may refuse a smaller one. */
using fencing_number = strong_id<struct fencing_number_tag, std::uint64_t>;

enum class order_kind { load, unload };

/** An order for the engine, to be sent at once. */
struct slot_order {
    order_id id;
    order_kind kind = order_kind::load;
    adapter_ref adapter;
    boot_id boot;
    fencing_number fencing;

    friend bool operator==(const slot_order&, const slot_order&) = default;
};

/** What became of an order. */
enum class order_outcome {
    done,
    failed,        /**< The engine answered that it could not. */
    no_capacity,   /**< The engine holds more adapters than the table knows of. */
    stale_fencing, /**< Refused: another agent has taken the engine over. */
    unknown        /**< No answer; the order may have taken effect or may still do so. */
};

/** The engine's answer to an order, or the lack of one. */
struct order_result {
    order_id id;
    boot_id boot;
    fencing_number fencing;
    order_outcome outcome = order_outcome::unknown;

    friend bool operator==(const order_result&, const order_result&) = default;
};

/** The adapters that an engine says it holds. */
struct engine_listing {
    boot_id boot;
    std::vector<adapter_ref> adapters;
    time_point asked_at; /**< When the agent asked, by its own clock. */

    friend bool operator==(const engine_listing&, const engine_listing&) = default;
};

} // namespace camphorgrade::placement
