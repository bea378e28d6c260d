#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::placement {

/** An adapter in a slot or waiting for one, as a gateway needs to know it. A value type. */
struct slot_status {
    std::uint64_t adapter = 0; /**< digest() of the adapter. */
    bool resident = false;     /**< False while it is loading or waits to be. */
    std::uint32_t pins = 0;    /**< Or requests that wait for it to be loaded. */

    friend bool operator==(const slot_status&, const slot_status&) = default;
};

/** The state of an agent's backend server, as gateways route by it. A value type. */
struct agent_status {
    std::uint64_t boot = 0;
    std::string pool;                  /**< The base model of an engine. */
    std::vector<std::string> services; /**< The plain services of another backend server. */
    std::string role;                  /**< The engine's role; empty when it takes all. */
    std::string data_centre;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t free_seats = 0;
    std::uint64_t short_tokens = 0;    /**< Waiting for a seat, of requests that ask for little. */
    std::uint64_t long_tokens = 0;     /**< Waiting for a seat, of all others. */
    std::uint64_t unloaded_tokens = 0; /**< Waiting for an adapter to be loaded. */
    std::uint64_t tokens_per_s = 1;    /**< At full batch. */
    std::uint32_t obtainable_slots = 0;
    std::uint32_t victim_worth = 0; /**< Requests per 1000 s of the adapter it would evict next. */
    std::vector<slot_status> slots;

    friend bool operator==(const agent_status&, const agent_status&) = default;
};

} // namespace camphorgrade::placement
