#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/service_catalogue.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::adapters {

/** What one gateway wants of an adapter at this engine. */
struct wanted_adapter {
    serving::versioned_weights weights;
    std::uint32_t waiting = 0;
    std::uint32_t in_use = 0;
    duration oldest_wait{};
    std::uint32_t urgency = 0;
    duration time_to_objective{}; /**< Of the waiting request that has most left; 0: too late. */

    friend bool operator==(const wanted_adapter&, const wanted_adapter&) = default;
};

/** Whether a gateway wants to be told of an engine where none of its requests wait. */
enum class report_subscription : std::uint8_t {
    none,   /**< Others hand it what it has to know. */
    direct, /**< For its own use. */
    relay   /**< To hand it on to other gateways. */
};

/** All that one gateway wants of this engine. A value type. */
struct engine_demand {
    std::string backend_id;
    std::uint64_t backend_started_at_ms = 0; /**< The process that it is meant for; 0: any. */
    std::vector<wanted_adapter> adapters;
    std::uint64_t queued_prompt_tokens = 0;
    serving::engine_capacity shape;
    report_subscription subscription = report_subscription::direct;

    friend bool operator==(const engine_demand&, const engine_demand&) = default;
};

/** An engine's own report. A value type. */
struct engine_snapshot {
    std::uint64_t started_at_ms = 0;
    std::uint64_t order_sequence = 0; /**< Orders that the engine has accepted in its life. */
    bool is_busy = false;             /**< An order on a base model is being carried out. */
    std::vector<serving::versioned_weights> models;
    std::vector<serving::versioned_weights> adapters;
    std::vector<serving::versioned_weights> loading;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;

    friend bool operator==(const engine_snapshot&, const engine_snapshot&) = default;
};

enum class order_kind : std::uint8_t { load, unload };

/** An order to the engine. A value type. */
struct engine_order {
    order_kind kind = order_kind::load;
    serving::versioned_weights weights;  /**< Base model or "model/adapter"; version 0: newest. */
    std::uint64_t expected_sequence = 0; /**< Refused if other orders came in between. */
    std::uint64_t fencing_token = 0;

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

/** Times and bounds of an adapter_manager. */
struct adapter_manager_settings {
    std::uint32_t max_loads = 4;      /**< At once, as engines allow. */
    std::uint32_t max_cold_loads = 2; /**< Of these from the weight store, ... */
    std::uint32_t max_cold_loads_when_busy =
        1;                           /**< ... and while it is busy: more would only be slower. */
    duration initial_load_time{250}; /**< Of one from the weight store, until others are seen. */
    double busy_load_ratio =
        1.5; /**< The weight store is busy when a load takes so many usual ones. */
    double slow_load_weight = 0.02;       /**< Weight of a slow load in what is usual. */
    duration demand_expiry{2'000};        /**< From here on a gateway's demand no longer counts. */
    duration refusal_backoff{200};        /**< After an order that was refused. */
    duration model_order_interval{1'000}; /**< Between orders to load a base model. */
    double local_load_ratio = 0.5; /**< Of a load from the weight store that one from the engine's
                                       own disk takes, where a restarted engine has a copy. */
    duration min_remaining_time{100};        /**< Of a base model's load; of an overdue one, too. */
    duration replacement_retry_delay{1'000}; /**< A replacement waits for runs on the old version;
                                        so long it isn't ordered again. */
    duration retention_per_reuse{2'000}; /**< Longer that an adapter is kept for each time that it
                                         was wanted again, ... */
    std::uint32_t max_reuses = 5;        /**< ... counting no more than so many. */
    duration use_history{60'000};        /**< Uses that are older say nothing of the next. */

    friend bool operator==(const adapter_manager_settings&,
                           const adapter_manager_settings&) = default;
};

/** What became of a gateway's demand. */
enum class demand_result : std::uint8_t {
    accepted,
    for_earlier_process, /**< The engine has started anew since the gateway heard of it. */
    for_later_process    /**< The engine's new process hasn't been looked at yet. */
};

/** How an order ended; what it changed is seen in the next snapshot. */
enum class order_result : std::uint8_t { accepted, refused, unanswered };

/** Name of a result as logs and metrics carry it. */
std::string_view to_string(order_result result) noexcept;

/**
 * Decides which adapters one engine holds, from what gateways want and what the engine reports.
 *
 * One order is under way at a time, and each names the sequence that it expects, so an order that
 * is carried out late can't follow a newer one. An adapter that any gateway uses or waits for is
 * not evicted; of the others the least recently used goes first, where one that was wanted again
 * and again counts as used more recently. The keeper is the only one that orders its engine; the
 * engine's own start time is its fencing token, so what was meant for an earlier process of the
 * engine is refused by a later one. Deterministic. Not thread safe.
 */
class adapter_manager {
public:
    explicit adapter_manager(adapter_manager_settings settings);

    /** A demand that is meant for another process of the engine doesn't count. */
    demand_result on_demand(const std::string& gateway, engine_demand demand, time_point now);

    /** Counts the results of orders; tells which of them a snapshot that is asked for now shows. */
    std::uint64_t order_result_count() const noexcept { return results_seen_; }

    /** A report that was asked for at `results_seen`; an outdated one is ignored. */
    void on_snapshot(engine_snapshot snapshot, std::uint64_t results_seen, time_point now);
    void on_order_result(const engine_order& order, order_result result, time_point now);

    /** The order to give now, if any; it counts as under way until its result is told. */
    std::optional<engine_order> next_order(time_point now);

    /** What gateways are told. Precondition: a snapshot was seen. */
    serving::engine_state state(time_point now) const;

    /** Id of the engine's process, as gateways know it; empty while none has told it. */
    const std::string& backend_id() const noexcept { return backend_id_; }

    /** Whether a snapshot has to be seen before the next order. */
    bool needs_snapshot() const noexcept { return needs_snapshot_; }

    bool has_snapshot() const noexcept { return snapshot_.has_value(); }
    const engine_snapshot& snapshot() const { return *snapshot_; }

    /** Whether something is loading or wanted, so that news matter soon. */
    bool is_active() const;

    /** Adapters and models that gateways use or wait for. */
    std::size_t wanted_count() const noexcept { return wanted_.size(); }

    /** Gateways that wait for an adapter. */
    std::vector<std::string> waiting_gateways() const;

    /** Gateways heard lately that have this wish. */
    std::vector<std::string> subscribers(report_subscription wish, time_point now) const;

private:
    struct gateway_view {
        engine_demand demand;
        time_point heard;
    };
    struct total {
        std::uint32_t waiting = 0;
        std::uint32_t in_use = 0;
        std::uint32_t urgency = 0;
        time_point since;
        time_point in_time_until; /**< A load that ends later is too late for all who wait. */

        std::uint32_t requests() const { return waiting + in_use; }
    };
    struct use_record {
        time_point last;
        std::uint32_t uses = 0;
    };

    void recount(time_point now);
    /** How many adapters may be loading from the weight store. */
    std::uint32_t cold_limit() const;
    /** Adapters that are loading from the weight store. */
    std::size_t cold_loading() const;
    bool is_warm(const std::string& name) const { return held_before_.count(name) != 0; }
    void note_load(duration took);
    /** Notes which loads the newest snapshot shows as done, and how long they took. */
    void note_loads(time_point now);
    /** Records what is wanted now; each request that wasn't there `before` is one more use. */
    void note_uses(const std::map<serving::versioned_weights, total>& before, time_point now);
    /** Where an adapter that nobody wants stands in the order of eviction; the least goes first. */
    time_point eviction_rank(const std::string& name) const;
    std::uint64_t newest_wanted(const std::string& weights) const;
    bool is_held(const serving::versioned_weights& weights) const;
    bool is_loading(const std::string& name) const;
    std::size_t places_taken() const;
    std::size_t evictable() const;
    std::size_t unplaced() const;
    /** Whether requests wait for an adapter that the engine neither holds nor loads. */
    bool needs_place(const serving::versioned_weights& weights, const total& demand) const;
    std::optional<engine_order> model_order(time_point now);
    /** The base model to load; null when none fits. */
    const serving::base_model* wanted_model() const;
    /** The base model that the engine lacks and is loading, or will be told to. */
    std::optional<serving::model_load> coming_model(time_point now) const;
    std::optional<engine_order> adapter_order(time_point now);
    /** Order of loads: the more urgent, those with which somebody can still be answered in time,
        those that were waited for longest. */
    bool goes_before(const total& a, const total& b, time_point now) const;
    bool is_replacing(const serving::versioned_weights& weights, time_point now) const;
    std::optional<serving::versioned_weights> victim() const;
    engine_order make(order_kind kind, const serving::versioned_weights& weights) const;

    adapter_manager_settings settings_;
    std::map<std::string, gateway_view> gateways_;
    std::optional<engine_snapshot> snapshot_;
    serving::engine_capacity shape_;
    std::string backend_id_;
    std::map<serving::versioned_weights, total> wanted_;
    std::map<serving::versioned_weights, time_point>
        replacing_;                             /**< Until when each isn't ordered. */
    std::map<std::string, time_point> ordered_; /**< Loads from the weight store under way. */
    std::set<std::string> held_before_; /**< Adapters that load from the engine's own memory. */
    std::uint64_t cold_loads_ = 0;
    duration last_cold_load_{};
    double usual_load_ms_;
    std::map<std::string, use_record> used_; /**< Also of adapters that aren't held. */
    std::uint64_t queued_prompt_tokens_ = 0;
    bool is_order_open_ = false;
    bool needs_snapshot_ = true; /**< Since the last order, the engine's state isn't known. */
    std::uint64_t results_seen_ = 0;
    time_point paused_until_;
    time_point model_paused_until_;
    std::optional<time_point> model_ordered_; /**< When the engine was first told to load it. */
};

} // namespace camphorgrade::adapters
