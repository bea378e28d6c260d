#pragma once

#include <kernel/clock.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** @file Registrations of backend servers and the reported state of their engines. */
namespace camphorgrade::serving {

/** An IPv4 address and port. */
struct network_address {
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const network_address&, const network_address&) = default;
    friend auto operator<=>(const network_address&, const network_address&) = default;
};

/** Name and version of weights; the name is "model" for a base model or "model/adapter". */
struct versioned_weights {
    std::string name;
    std::uint64_t version = 0;

    friend bool operator==(const versioned_weights&, const versioned_weights&) = default;
    friend auto operator<=>(const versioned_weights&, const versioned_weights&) = default;
};

/** Identifies one process of a backend server. A value type. */
struct server_process {
    std::string id;                  /**< Id of the backend server; a restart may keep it. */
    std::uint64_t started_at_ms = 0; /**< Start time of the process, Unix milliseconds. */

    friend bool operator==(const server_process&, const server_process&) = default;
    friend auto operator<=>(const server_process&, const server_process&) = default;
};

/** A backend server as described by its registration. A value type. */
struct backend_server {
    std::string id;
    std::string service;
    network_address address;
    std::string data_centre;
    std::uint32_t slots = 1;  /**< Maximum number of requests that it processes in parallel. */
    bool is_draining = false; /**< It accepts no new requests. */
    std::uint64_t started_at_ms = 0; /**< Start time of the server's process, Unix milliseconds. */
    /** Base models and adapters that it holds; empty for a plain service. */
    std::vector<versioned_weights> held;
    /** Version of its software, not of weights; empty if it states none. Servers that state none
        count as of one version. */
    std::string software_version{};
    duration cold_left{}; /**< How much longer it stays cold, as of its registration. */

    /** The process that this registration describes. */
    server_process process() const { return {id, started_at_ms}; }

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

/** State of one adapter on an engine. */
struct adapter_status {
    versioned_weights weights;
    bool is_loading = false;
    /** Requests that gateways sent for this adapter and that have not ended. */
    std::uint32_t in_use = 0;

    friend bool operator==(const adapter_status&, const adapter_status&) = default;
};

/** A base model that an engine does not hold yet and is loading or will be ordered to load. */
struct model_load {
    std::string name;
    duration time_left{}; /**< Estimated time until the load completes. */

    friend bool operator==(const model_load&, const model_load&) = default;
};

/** State of an engine as last reported by its agent. A value type. */
struct engine_state {
    std::uint64_t sequence = 0; /**< Number of the agent's report; larger is newer. */
    /** Number of the agent's process, counted by the gateway that receives the report; larger is a
        later process. */
    std::uint64_t agent_incarnation = 0;
    std::uint64_t started_at_ms = 0; /**< Start time of the engine's process, Unix milliseconds. */
    std::vector<versioned_weights> models;
    std::optional<model_load> pending_model; /**< Empty once the engine holds a base model. */
    std::vector<adapter_status> adapters;
    /** Adapter slots that are free or whose adapter has no open requests. */
    std::uint32_t available_adapter_slots = 0;
    std::uint32_t unplaced = 0; /**< Adapters that requests wait for and that have no slot yet. */
    std::uint32_t waiting = 0;  /**< Requests that wait for a batch slot. */
    std::uint32_t running = 0;  /**< Requests in the batch. */
    std::uint64_t kv_used = 0;  /**< Tokens in the KV cache. */
    std::uint64_t kv_total = 0; /**< Capacity of the KV cache in tokens. */
    /** Unread prompt tokens of requests that have no first event yet. */
    std::uint64_t queued_prompt_tokens = 0;
    bool is_reachable = true;     /**< Whether the engine responds to the agent's calls. */
    std::uint64_t cold_loads = 0; /**< Loads from the weight store that the agent has observed. */
    duration last_cold_load{};    /**< Duration of the most recent of these loads. */

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

} // namespace camphorgrade::serving
