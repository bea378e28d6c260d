#pragma once

#include <kernel/clock.h>
#include <serving/backend_registry.h>
#include <serving/permit_exchange.h>
#include <serving/request_metadata.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace camphorgrade::serving {

/** Speeds, times and penalties used to estimate the cost of a placement. */
struct placement_settings {
    /** Prefill speed of one engine, slightly below its maximum. */
    double prefill_tokens_per_ms = 30;
    duration warm_load_time{40}; /**< Load time of an adapter that the engine has held before. */
    /** Penalty, beyond the load time, for one more fetch from the weight store, which all
        engines share. */
    duration store_fetch_penalty{400};
    /** Assumed time until requests on an older version of an adapter end. */
    duration replacement_wait{1'500};
    duration adapter_slot_wait{500}; /**< Assumed time until an adapter in use frees its slot. */
    duration cross_data_centre_penalty{15}; /**< Penalty for traffic between data centres. */
    /** Penalty for each rendezvous rank; keeps an adapter near the engines that held it before. */
    duration rank_penalty{15};
    /** Assumed time until an engine whose batch or memory is full has room. */
    duration full_batch_wait{1'000};
    /** Time of a request to a plain service, which is one without engines, before any is
        measured. */
    duration plain_request_time{50};
    /** Share of an engine's KV cache that is usable before requests are preempted. */
    double usable_kv_share = 0.92;
    /** Penalty of a server that fails all requests, as a multiple of the latency objective. */
    double failure_penalty = 2.0;

    friend bool operator==(const placement_settings&, const placement_settings&) = default;
};

/** A request that is to be placed. */
struct placement_request {
    std::string service;
    std::string weights;           /**< Model or adapter name; empty for a plain service. */
    std::string base_model;        /**< Empty for a plain service. */
    std::uint64_t min_version = 0; /**< Minimum version of the weights. */
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; /**< Maximum number of generated tokens. */
    std::vector<prompt_part> prompt_parts;
    duration objective{};           /**< Latency objective of the route. */
    std::set<std::string> excluded; /**< Servers that were tried already. */
    /** Servers whose process was replaced won't do: the new one may be cold, which is known when it
        has registered. */
    bool excludes_replaced = false;
    /** Only servers of this software version will do; empty: any. */
    std::optional<std::string> software_version;
    /** Server at which the request has waited so far; empty for a new request. */
    std::string waiting_backend_id;
    /** Number of this gateway's requests that wait there ahead of it. */
    std::uint32_t position = 0;
};

/** The server that a request goes to. A value type. */
struct placement {
    std::string backend_id;
    /** Whether the weights are loaded and a limited server's permit is available, so that the
        request is sent now; otherwise it waits for them. */
    bool is_ready = false;
    duration time_to_first_byte{}; /**< Estimated time to the first byte of the response. */
    duration permit_wait{};        /**< Part of it that is spent waiting for a permit. */

    friend bool operator==(const placement&, const placement&) = default;
};

/** No backend server accepts the request. A value type. */
struct no_placement {
    /** When the first of the servers that are holding off accepts requests again; empty if none
        is holding off. */
    std::optional<time_point> available_at;

    friend bool operator==(const no_placement&, const no_placement&) = default;
};

/** Result of a choice. */
struct placement_choice {
    std::variant<placement, no_placement> target;
    /** The limited server that would have been chosen if a permit had been available; empty if
        there is none. */
    std::optional<server_process> interest;
};

/**
 * Chooses the backend server with the lowest estimated cost. The cost is the time to the first byte
 * (queued prompts, the uncached part of the request's own prompt, the load of the adapter, a full
 * batch, the wait for a limited server's permit) plus penalties. An adapter that no engine holds
 * goes to the engines that rendezvous hashing ranks first for it, because they have likely held it
 * before. Deterministic. Not thread safe.
 */
class placement_chooser {
public:
    placement_chooser(placement_settings settings, std::string own_data_centre);

    /** Chooses a server for the request. Avoided, unreachable and replaced servers are considered
        only if there are no others. */
    placement_choice choose(backend_registry& backends, const permit_exchange& permits,
                            const placement_request& request, time_point now);

private:
    /** Estimate for one server; `view` is null if the server cannot take the request. */
    struct estimate {
        backend_view* view = nullptr;
        bool is_ready = false;
        duration time_to_first_byte{};
        duration cost{};         /**< Time to the first byte plus penalties. */
        duration weights_wait{}; /**< Part of the time that is spent waiting for the weights. */
        duration permit_wait{};  /**< Part of the time that is spent waiting for a permit. */
    };

    /** Adds the wait for a limited server's permit to the estimate. */
    static void add_permit_wait(estimate& candidate, const permit_exchange& permits,
                                const placement_request& request, time_point now);

    estimate estimate_engine(backend_registry& backends, backend_view& view,
                             const placement_request& request, duration cold_load_time,
                             std::size_t server_count, time_point now) const;
    estimate estimate_plain(backend_view& view, const placement_request& request) const;
    /** Number of adapters that other requests wait for at an engine and that have no slot there
        yet. */
    static std::uint32_t others_unplaced(const backend_view& view,
                                         const placement_request& request);
    /** Time until the engine holds the base model; empty when no recent report shows that
        it holds or will load the model. */
    std::optional<duration> model_wait(const backend_registry& backends, const backend_view& view,
                                       const placement_request& request, time_point now) const;
    /** Time until an engine that holds the base model also holds the adapter. */
    duration load_wait(const backend_view& view, const placement_request& request,
                       duration cold_load_time) const;
    /** Whether the engine has held the adapter before, so that it loads faster. */
    bool was_held_before(const backend_view& view, const placement_request& request) const;
    /** Penalty for failed responses and for another data centre. */
    duration common_penalty(const backend_view& view, const placement_request& request) const;

    placement_settings settings_;
    std::string own_data_centre_;
};

} // namespace camphorgrade::serving
