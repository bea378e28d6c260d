#pragma once

#include <placement/evictable_slot.h>
#include <placement/pin.h>
#include <placement/slot_order.h>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace camphorgrade::placement {

enum class slot_state { empty, loading, resident, unloading };

/** One slot as others see it. A value type. */
struct slot_view {
    slot_state state = slot_state::empty;
    adapter_ref adapter;
    std::size_t pins = 0;
    time_point since;     /**< When it came into this state. */
    time_point last_used; /**< When its adapter was last pinned. */

    friend bool operator==(const slot_view&, const slot_view&) = default;
};

struct slot_table_settings {
    std::size_t slots = 8;
    bool engine_checks_fencing = false;
    duration order_lifetime{
        5000};                   /**< An order takes effect within this of being sent, or never. */
    duration first_backoff{500}; /**< After a failed load; doubles with each further failure. */
    duration longest_backoff{60000};
};

/** Whether an adapter may be loaded now, and if not, why. */
enum class load_readiness {
    ready,
    present, /**< Loading, resident or unloading already. */
    no_empty_slot,
    backing_off,    /**< Its last loads failed. */
    unsettled,      /**< An earlier order for it may still take effect. */
    engine_unknown, /**< What the engine holds is not known yet. */
    superseded      /**< Another agent has taken the engine over. */
};

/** A result that belongs to no order under way, or settles nothing yet. */
struct result_ignored {
    friend bool operator==(const result_ignored&, const result_ignored&) = default;
};

/** The adapter is resident. */
struct adapter_loaded {
    adapter_ref adapter;
    friend bool operator==(const adapter_loaded&, const adapter_loaded&) = default;
};

/** The adapter is gone and its slot empty. */
struct adapter_unloaded {
    adapter_ref adapter;
    friend bool operator==(const adapter_unloaded&, const adapter_unloaded&) = default;
};

/** The load failed and its slot is empty again. */
struct adapter_load_failed {
    adapter_ref adapter;
    std::uint32_t failures = 0; /**< In a row. */
    time_point retry_at;
    friend bool operator==(const adapter_load_failed&, const adapter_load_failed&) = default;
};

using result_effect =
    std::variant<result_ignored, adapter_loaded, adapter_unloaded, adapter_load_failed>;

/**
 * The adapter slots of one engine, as its agent knows them.
 *
 * An eviction needs an evictable_slot, which exists only for unpinned slots, so code that evicts an
 * adapter in use does not compile or, when it kept the leave for too long, breaks a precondition.
 * An order without a result keeps its slot until a listing, asked for when the order can no longer
 * take effect, says what became of it. Neither copyable nor moveable; not thread safe.
 *
 * @code
 * slot_table table({.slots = 4}, fencing_number{7}, now);
 * if (table.wants_listing(now)) { ask_engine(); } // later: table.on_listing(listing, now)
 * pin hold = table.hold(adapter, now);
 * if (table.readiness(adapter, now) == load_readiness::ready) { send(table.load(adapter, now)); }
 * if (auto free = table.evictable(other)) { send(table.evict(std::move(*free), now)); }
 * @endcode
 */
class slot_table {
public:
    /** Precondition: at least one slot. `fencing` is this agent's number for the engine. */
    slot_table(slot_table_settings settings, fencing_number fencing, time_point now);
    slot_table(const slot_table&) = delete;
    slot_table& operator=(const slot_table&) = delete;
    slot_table(slot_table&&) = delete;
    slot_table& operator=(slot_table&&) = delete;
    ~slot_table() = default;

    /** Pins the adapter, in whatever slot it is or will be. */
    pin hold(const adapter_ref& adapter, time_point now);

    /** Number of live pins of the adapter. */
    std::size_t pins(const adapter_ref& adapter) const;

    /** State of the adapter; empty when it is in no slot. */
    slot_state state_of(const adapter_ref& adapter) const;

    /** Whether requests may start on the adapter. */
    bool resident(const adapter_ref& adapter) const;

    std::vector<slot_view> slots() const;
    std::size_t count(slot_state state) const;

    load_readiness readiness(const adapter_ref& adapter, time_point now) const;

    /** Orders a load into an empty slot. Precondition: readiness() is ready. */
    slot_order load(const adapter_ref& adapter, time_point now);

    /** Leave to evict the adapter; nullopt unless it is resident, unpinned and may be ordered. */
    std::optional<evictable_slot> evictable(const adapter_ref& adapter) const;

    /** Orders the unload. Precondition: nothing was pinned or changed since evictable(). */
    slot_order evict(evictable_slot&& leave, time_point now);

    /** Takes in a result; late, repeated and foreign ones are ignored. */
    result_effect on_result(const order_result& result, time_point now);

    /** Whether the agent should ask its engine for a listing; with this table's fencing number. */
    bool wants_listing(time_point now) const;

    /** Takes in a listing; one older than the last is ignored. */
    void on_listing(const engine_listing& listing, time_point now);

    /** The engine was seen in another life: it has restarted empty. */
    void on_boot(boot_id boot, time_point now);

    /** The engine answered a request with "no such adapter": the slot is empty after all. */
    void on_missing(const adapter_ref& adapter, time_point now);

    /** Another agent gives this engine orders: nothing may be started or ordered any more. */
    bool superseded() const noexcept { return superseded_; }

    /** Failed loads in a row of the adapter, and when the next may be tried. */
    std::optional<adapter_load_failed> failure_of(const adapter_ref& adapter) const;

private:
    struct slot {
        slot_view view;
        order_id order;
        time_point ordered_at;
    };
    struct failure {
        std::uint32_t count = 0;
        time_point until;
    };

    slot* find(const adapter_ref& adapter);
    const slot* find(const adapter_ref& adapter) const;
    slot* find_order(const order_result& result);
    bool may_order() const { return known_ && !superseded_; }
    bool unsettled(const adapter_ref& adapter, time_point now) const;
    slot_order order(slot& target, order_kind kind, time_point now);
    void move_to(slot& target, slot_state state, time_point now);
    result_effect loaded_or_unloaded(slot& target, time_point now);
    result_effect load_failed(slot& target, time_point now);
    void settle(slot& target, const engine_listing& listing, time_point now);
    void adopt(const engine_listing& listing, time_point now);

    slot_table_settings settings_;
    fencing_number fencing_;
    boot_id boot_;
    time_point listing_counts_from_;
    std::optional<time_point> last_listing_;
    time_point last_emptied_;
    bool known_ = false;
    bool ask_ = false;
    bool superseded_ = false;
    std::uint64_t generation_ = 0;
    std::uint64_t last_order_ = 0;
    std::vector<slot> slots_;
    std::map<adapter_ref, std::size_t> pins_;
    std::map<adapter_ref, time_point> unsettled_;
    std::map<adapter_ref, failure> failures_;
};

} // namespace camphorgrade::placement
