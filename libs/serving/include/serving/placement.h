#pragma once

#include <kernel/clock.h>
#include <serving/backend_registry.h>
#include <serving/request_metadata.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace camphorgrade::serving {

/** Speeds and penalties by which a placement is estimated. */
struct placement_settings {
    double prefill_tokens_per_ms = 30; /**< Of one engine, with some room below its best. */
    duration warm_load_time{40};       /**< An adapter that the engine held before. */
    duration store_fetch_penalty{
        400}; /**< What fetching an adapter once more from the weight store, which
           all engines share, is worth beside the wait for it. */
    duration replacement_wait{1'500}; /**< Until the runs on an older version of an adapter end. */
    duration adapter_slot_wait{500};  /**< Until an adapter in use frees its place. */
    duration cross_data_centre_penalty{15}; /**< What bytes between data centres are worth. */
    duration rank_penalty{15}; /**< Keeps an adapter near its home engine, where it was held. */
    duration full_batch_wait{1'000}; /**< Until an engine without a free batch slot or memory. */
    duration plain_request_time{50}; /**< Of a plain service's request, before any is measured. */
    double usable_kv_share = 0.92;   /**< Of an engine's token memory, before requests preempt. */
    double failure_penalty = 2.0;    /**< Objectives that a server failing all requests costs. */

    friend bool operator==(const placement_settings&, const placement_settings&) = default;
};

/** What is to be placed. */
struct placement_request {
    std::string service;
    std::string weights; /**< Empty for a plain service. */
    std::string base_model;
    std::uint64_t min_version = 0; /**< Least version of the weights. */
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::vector<prompt_part> prompt_parts;
    duration objective{};
    std::set<std::string> excluded; /**< Servers that were tried. */
    std::string waiting_backend_id; /**< Where it has waited so far; empty when it is new. */
};

/** Where a request goes. A value type. */
struct placement {
    std::string backend_id;
    bool is_ready = false;         /**< The weights are there: send now. Else wait for them. */
    duration time_to_first_byte{}; /**< Estimate. */

    friend bool operator==(const placement&, const placement&) = default;
};

/** No backend server takes the request. A value type. */
struct no_placement {
    std::optional<time_point> available_at; /**< When the first of those that hold off takes work
                                            again; empty: none holds off. */

    friend bool operator==(const no_placement&, const no_placement&) = default;
};

/**
 * Chooses the backend server with the least estimated time to the first answer: waiting prompts,
 * the prompt's own unread part, loading the adapter, a full batch. An adapter that is nowhere goes
 * to the engines that rendezvous hashing ranks first for it, because they have likely held it.
 * Deterministic. Not thread safe.
 */
class placement_chooser {
public:
    placement_chooser(placement_settings settings, std::string own_data_centre);

    std::variant<placement, no_placement> choose(backend_registry& board,
                                                 const placement_request& request, time_point now);

private:
    struct estimate {
        backend_view* view = nullptr;
        bool is_ready = false;
        duration first_answer{};
        duration cost{}; /**< First answer and what else speaks against the server. */
    };

    estimate judge_engine(backend_registry& board, backend_view& view,
                          const placement_request& request, duration load_cold, std::size_t servers,
                          time_point now) const;
    estimate judge_plain(backend_view& view, const placement_request& request) const;
    /** Adapters that other requests wait for at an engine and that have no place there yet. */
    static std::uint32_t others_unplaced(const backend_view& view,
                                         const placement_request& request);
    /** Until the engine has the base model; empty when nothing is known to bring it there. */
    std::optional<duration> model_wait(const backend_registry& board, const backend_view& view,
                                       const placement_request& request, time_point now) const;
    /** Until the engine that has the base model has the adapter, too. */
    duration load_wait(const backend_view& view, const placement_request& request,
                       duration load_cold) const;
    bool is_fetched(const backend_view& view, const placement_request& request) const;
    duration common_penalty(const backend_view& view, const placement_request& request) const;

    placement_settings settings_;
    std::string own_data_centre_;
};

} // namespace camphorgrade::serving
