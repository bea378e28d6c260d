#pragma once

#include <kernel/clock.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** @file What is known of backend servers: their registrations and the state of engines. */
namespace camphorgrade::serving {

/** An IPv4 address and port. */
struct network_address {
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const network_address&, const network_address&) = default;
    friend auto operator<=>(const network_address&, const network_address&) = default;
};

/** A base model or "model/adapter", and the version of its weights. */
struct versioned_weights {
    std::string name;
    std::uint64_t version = 0;

    friend bool operator==(const versioned_weights&, const versioned_weights&) = default;
    friend auto operator<=>(const versioned_weights&, const versioned_weights&) = default;
};

/** A backend server as it registered itself. A value type. */
struct backend_server {
    std::string id;
    std::string service;
    network_address address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool is_draining = false;
    std::uint64_t started_at_ms = 0; /**< When this process started, Unix milliseconds. */
    std::vector<versioned_weights> held;

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

/** A process of a backend server that a gateway avoids because it failed for it. A value type. */
struct avoided_server {
    std::string id;
    std::uint64_t started_at_ms = 0;

    friend bool operator==(const avoided_server&, const avoided_server&) = default;
};

/** How an adapter stands on an engine. */
struct adapter_status {
    versioned_weights weights;
    bool is_loading = false;
    std::uint32_t in_use = 0; /**< Requests that gateways have sent there and not finished. */

    friend bool operator==(const adapter_status&, const adapter_status&) = default;
};

/** A base model that an engine lacks and is loading, or will be told to. */
struct model_load {
    std::string name;
    duration time_left{}; /**< Estimate. */

    friend bool operator==(const model_load&, const model_load&) = default;
};

/** An engine as the agent beside it last saw it. A value type. */
struct engine_state {
    std::uint64_t sequence = 0;          /**< Of the agent's reports; larger is newer. */
    std::uint64_t agent_incarnation = 0; /**< Start of the agent; larger is a later process. */
    std::uint64_t started_at_ms = 0;     /**< Start of the engine, Unix milliseconds. */
    std::vector<versioned_weights> models;
    std::optional<model_load> pending_model; /**< Empty once it has a base model. */
    std::vector<adapter_status> adapters;
    std::uint32_t available_adapter_slots =
        0;                      /**< Places that are free or whose adapter nobody uses. */
    std::uint32_t unplaced = 0; /**< Adapters that gateways wait for and that have no place yet. */
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
    std::uint64_t queued_prompt_tokens = 0; /**< To be read for requests that gave no event yet. */
    bool is_reachable = true;               /**< The agent gets answers from the engine. */
    std::uint64_t cold_loads = 0; /**< Adapters that it has loaded from the weight store. */
    duration last_cold_load{};    /**< How long the last of them took. */

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

} // namespace camphorgrade::serving
