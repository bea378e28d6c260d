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

/** One gateway's demand for an adapter at this engine. */
struct wanted_adapter {
    serving::versioned_weights weights;
    std::uint32_t waiting = 0; /**< Requests that wait until the adapter is loaded. */
    std::uint32_t in_use = 0;  /**< Requests that were sent and have not ended. */
    duration oldest_wait{};    /**< How long the oldest waiting request has waited. */
    std::uint32_t urgency = 0; /**< Urgency of the most urgent request; 0 is the most urgent. */
    /** Time until the latest latency objective of the waiting requests; 0: all are late. */
    duration time_to_objective{};

    friend bool operator==(const wanted_adapter&, const wanted_adapter&) = default;
};

/** Whether a gateway receives reports about an engine where none of its requests wait. */
enum class report_subscription : std::uint8_t {
    none,   /**< Not sent: other gateways relay them. */
    direct, /**< Sent for its own use. */
    relay   /**< Sent for relaying to other gateways. */
};

/** A gateway's complete demand at this engine. A value type. */
struct engine_demand {
    std::string backend_id;
    /** Start time of the process that the demand is meant for, Unix milliseconds; 0: any
        process. */
    std::uint64_t backend_started_at_ms = 0;
    std::vector<wanted_adapter> adapters;
    /** Unread prompt tokens of requests that have no first event yet. */
    std::uint64_t queued_prompt_tokens = 0;
    serving::engine_capacity shape; /**< Engine capacity that the catalogue declares for the
                                         service. */
    report_subscription subscription = report_subscription::direct;

    friend bool operator==(const engine_demand&, const engine_demand&) = default;
};

/** State of an engine as reported by itself. A value type. */
struct engine_snapshot {
    std::uint64_t started_at_ms = 0;  /**< Start time of the process, Unix milliseconds. */
    std::uint64_t order_sequence = 0; /**< Number of orders that the process has accepted. */
    bool is_busy = false;             /**< An order on a base model is being executed. */
    std::vector<serving::versioned_weights> models;
    std::vector<serving::versioned_weights> adapters;
    std::vector<serving::versioned_weights> loading; /**< Adapters that are being loaded. */
    std::uint32_t waiting = 0;                       /**< Requests that wait for a batch slot. */
    std::uint32_t running = 0;                       /**< Requests in the batch. */
    std::uint64_t kv_used = 0;                       /**< Tokens in the KV cache. */
    std::uint64_t kv_total = 0;                      /**< Capacity of the KV cache in tokens. */

    friend bool operator==(const engine_snapshot&, const engine_snapshot&) = default;
};

/** What an order does with the weights. */
enum class order_kind : std::uint8_t { load, unload };

/** An order to the engine. A value type. */
struct engine_order {
    order_kind kind = order_kind::load;
    serving::versioned_weights weights; /**< Base model or "model/adapter"; version 0: newest. */
    /** The engine refuses the order unless its order sequence has this value. */
    std::uint64_t expected_sequence = 0;
    std::uint64_t fencing_token = 0; /**< Start time of the process that the order is meant for,
                                          Unix milliseconds. */

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

/** Times and limits of an adapter_manager. */
struct adapter_manager_settings {
    std::uint32_t max_loads = 4;      /**< Parallel loads; engines allow no more. */
    std::uint32_t max_cold_loads = 2; /**< Parallel loads from the weight store. */
    /** Parallel loads from the weight store while it is busy, when more would only be slower. */
    std::uint32_t max_cold_loads_when_busy = 1;
    /** Assumed load time of an adapter from the weight store, before any load is measured. */
    duration initial_load_time{250};
    /** The weight store is busy when the last load took more than this multiple of the usual load
        time. */
    double busy_load_ratio = 1.5;
    /** While the store is busy, less urgent loads from it pause, for longer the longer it stays
        busy. All engines together then load about as many at once as the store carries at full
        speed, and urgent loads don't share its bandwidth with the others. */
    bool defers_less_urgent_loads = false;
    /** Longest pause, so that the less urgent get what is left. */
    duration max_less_urgent_pause{2'000};
    /** A demand is less urgent if a more urgent one was seen here within this time. */
    duration urgency_memory{5'000};
    double slow_load_weight = 0.02; /**< Weight of a slow load in the usual load time. */
    duration demand_expiry{2'000};  /**< Age from which a gateway's demand is no longer counted. */
    duration refusal_backoff{200};  /**< Pause in sending orders after one is refused. */
    duration model_order_interval{1'000}; /**< Minimum time between orders to load a base model. */
    /** Load time of a base model from the engine's own disk, where a restarted engine has a copy,
        as a share of the load time from the weight store. */
    double local_load_ratio = 0.5;
    /** Lower limit of the estimated time until a base model is loaded, also for an overdue load. */
    duration min_remaining_time{100};
    /** Minimum time between orders to replace an adapter by the same newer version: the
        replacement waits until requests on the old version have ended. */
    duration replacement_retry_delay{1'000};
    /** Additional time that an adapter is kept for each repeated use. */
    duration retention_per_reuse{2'000};
    std::uint32_t max_reuses = 5; /**< Maximum number of repeated uses that are counted. */
    /** Time since its last use after which an adapter's uses are forgotten, because they no longer
        predict the next one. */
    duration use_history{60'000};

    friend bool operator==(const adapter_manager_settings&,
                           const adapter_manager_settings&) = default;
};

/** Result of a gateway's demand. */
enum class demand_result : std::uint8_t {
    accepted,
    /** Ignored: the engine has restarted since the last report that the gateway received. */
    for_earlier_process,
    /** Ignored: no snapshot of the engine's new process has been received yet. */
    for_later_process
};

/** Outcome of an order; its effect appears in the next snapshot. */
enum class order_result : std::uint8_t { accepted, refused, unanswered };

/** Name of a result in logs and metrics. */
std::string_view to_string(order_result result) noexcept;

/**
 * Decides which adapters one engine holds, from the demand of gateways and the engine's snapshots.
 *
 * One order is open at a time, and each states the order sequence that it expects, so the engine
 * refuses an order that arrives after a newer one. An adapter that any gateway uses or waits for is
 * not evicted; of the others the least recently used is evicted first, where one with repeated uses
 * counts as used more recently. No other component gives orders to the engine. The fencing token is
 * the engine's own start time, so an order for an earlier process of the engine is refused by a
 * later one. Deterministic. Not thread safe.
 */
class adapter_manager {
public:
    explicit adapter_manager(adapter_manager_settings settings);

    /** Replaces the demand of `gateway`. A demand that is meant for another process of the
        engine is ignored. */
    demand_result on_demand(const std::string& gateway, engine_demand demand, time_point now);

    /** Number of order results so far. A snapshot shows the effect of those that were counted
        when it was requested. */
    std::uint64_t order_result_count() const noexcept { return order_result_count_; }

    /** Applies a snapshot; `count_at_request` is order_result_count() at the time of its request.
        Ignored if an order is open or has ended since, because the snapshot may be outdated. */
    void on_snapshot(engine_snapshot snapshot, std::uint64_t count_at_request, time_point now);

    /** The open order ended. The next order needs a new snapshot. */
    void on_order_result(const engine_order& order, order_result result, time_point now);

    /** The order to send now, if any; it counts as open until its result is passed to
        on_order_result(). */
    std::optional<engine_order> next_order(time_point now);

    /** State that is reported to gateways. The caller sets is_reachable; the gateway that receives
        the report sets sequence and agent_incarnation. Precondition: has_snapshot(). */
    serving::engine_state state(time_point now) const;

    /** Id of the engine's process, as known to gateways; empty until one of them has sent it. */
    const std::string& backend_id() const noexcept { return backend_id_; }

    /** Whether a new snapshot is needed before the next order. */
    bool needs_snapshot() const noexcept { return needs_snapshot_; }

    bool has_snapshot() const noexcept { return snapshot_.has_value(); }

    /** The latest snapshot. Precondition: has_snapshot(). */
    const engine_snapshot& snapshot() const { return *snapshot_; }

    /** Whether the engine is to be polled often: there is no snapshot, requests wait, adapters are
        loading, or the engine holds no base model. */
    bool is_active() const;

    /** Number of adapters and models that gateways use or wait for. */
    std::size_t wanted_count() const noexcept { return wanted_.size(); }

    /** Gateways with requests that wait for an adapter. */
    std::vector<std::string> waiting_gateways() const;

    /** Gateways with this subscription whose demand has not expired. */
    std::vector<std::string> subscribers(report_subscription subscription, time_point now) const;

private:
    struct gateway_view {
        engine_demand demand;
        time_point received_at;
    };
    /** Demand of all gateways for one adapter or model. */
    struct demand_total {
        std::uint32_t waiting = 0;
        std::uint32_t in_use = 0;
        std::uint32_t urgency = 0;
        time_point waiting_since; /**< When the oldest waiting request began to wait. */
        /** A load that ends later is too late for all waiting requests. */
        time_point latest_useful_end;

        std::uint32_t requests() const { return waiting + in_use; }
    };
    struct use_record {
        time_point last_use;
        std::uint32_t uses = 0;
    };

    /** Discards expired demands and sums up the others. */
    void aggregate_demand(time_point now);
    /** Maximum number of adapters that may be loading from the weight store. Until one load has
        been measured, the store counts as busy. */
    std::uint32_t cold_load_limit() const;
    /** Whether one more adapter may be loaded from the weight store for `demand` while `cold_loads`
        are in progress. */
    bool may_load_cold(const demand_total& demand, std::size_t cold_loads, time_point now) const;
    /** Whether loads from the weight store take much longer than usual. */
    bool is_store_busy() const;
    /** Remembers the most urgent demand. */
    void record_urgency(time_point now);
    /** Whether a more urgent demand than `urgency` was seen lately. */
    bool is_less_urgent(std::uint32_t urgency, time_point now) const;
    /** Number of adapters that are loading from the weight store. */
    std::size_t cold_loads_in_progress() const;
    /** Whether the adapter loads from the engine's own memory. */
    bool is_warm(const std::string& name) const { return held_before_.count(name) != 0; }
    duration typical_load_time() const;
    /** Adjusts the pause of less urgent loads after a load from the weight store. */
    void update_less_urgent_pause(time_point now);
    /** Updates the typical time of a load from the weight store. */
    void record_load_time(duration load_time);
    /** Records which loads the latest snapshot shows as completed, and how long they took. */
    void record_completed_loads(time_point now);
    /** Records current uses; each request that is not in `before` is one more use. */
    void record_uses(const std::map<serving::versioned_weights, demand_total>& before,
                     time_point now);
    /** Position of an unwanted adapter in the order of eviction; the lowest is evicted first. */
    time_point eviction_rank(const std::string& name) const;
    /** Newest wanted version of the weights; 0 if none is wanted. */
    std::uint64_t newest_wanted(const std::string& weights) const;
    bool is_held(const serving::versioned_weights& weights) const;
    bool is_loading(const std::string& name) const;
    std::size_t occupied_slots() const;
    /** Slots that are free or whose adapter is not wanted. */
    std::size_t available_slots() const;
    /** Number of adapters for which needs_slot() is true. */
    std::size_t unplaced_count() const;
    /** Whether requests wait for an adapter that the engine neither holds nor loads. */
    bool needs_slot(const serving::versioned_weights& weights, const demand_total& demand) const;
    /** The order to load the base model, if it is due. */
    std::optional<engine_order> model_order(time_point now);
    /** The base model to load; null when none fits. */
    const serving::base_model* wanted_model() const;
    /** The base model that the engine does not hold yet and is loading or will be ordered to
        load. */
    std::optional<serving::model_load> pending_model(time_point now) const;
    /** The order to load the next adapter, or to evict another one for it. */
    std::optional<engine_order> adapter_order(time_point now);
    /** Whether `a` is loaded before `b`: the more urgent first, then those for which a waiting
        request can still meet its latency objective, then the longest wait. */
    bool loads_before(const demand_total& a, const demand_total& b, time_point now) const;
    bool is_replacement_paused(const serving::versioned_weights& weights, time_point now) const;
    /** The adapter to evict next; empty if all are wanted or loading. */
    std::optional<serving::versioned_weights> eviction_candidate() const;
    engine_order make_order(order_kind kind, const serving::versioned_weights& weights) const;

    adapter_manager_settings settings_;
    std::map<std::string, gateway_view> gateways_;
    std::optional<engine_snapshot> snapshot_;
    serving::engine_capacity capacity_;
    std::string backend_id_;
    std::map<serving::versioned_weights, demand_total> wanted_;
    /** Time until which each replacement is not ordered again. */
    std::map<serving::versioned_weights, time_point> replacement_paused_until_;
    /** Loads from the weight store in progress, with the time of the order. */
    std::map<std::string, time_point> cold_load_orders_;
    std::set<std::string> held_before_; /**< Adapters that load from the engine's own memory. */
    std::uint64_t cold_loads_ = 0;
    duration last_cold_load_{};
    duration less_urgent_pause_{};        /**< After a load from the store. */
    time_point less_urgent_paused_until_; /**< No less urgent load from the store begins before. */
    std::uint32_t most_urgent_ = 0;       /**< The most urgent demand since `most_urgent_at_`. */
    time_point most_urgent_at_;           /**< Default: no demand was seen. */
    double typical_load_ms_;
    /** Use history, also of adapters that are not held. */
    std::map<std::string, use_record> use_history_;
    std::uint64_t queued_prompt_tokens_ = 0;
    bool is_order_open_ = false;
    bool needs_snapshot_ = true; /**< The engine's state is unknown since the last order. */
    std::uint64_t order_result_count_ = 0;
    time_point paused_until_;
    time_point model_paused_until_;
    /** Time of the first order to load the base model. */
    std::optional<time_point> model_ordered_at_;
};

} // namespace camphorgrade::adapters
