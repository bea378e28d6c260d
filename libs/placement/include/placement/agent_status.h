#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::placement {

/** One slot that is not empty, as a gateway needs to know it. A value type. */
struct slot_status {
    std::uint64_t adapter = 0; /**< digest() of the adapter. */
    bool resident = false;     /**< False while it is loading. */
    std::uint32_t pins = 0;

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
    std::uint64_t short_tokens = 0; /**< Waiting, of requests that ask for little. */
    std::uint64_t long_tokens = 0;  /**< Waiting, of all others. */
    std::uint64_t tokens_per_s = 1; /**< At full batch. */
    std::uint32_t obtainable_slots = 0;
    std::uint32_t victim_worth = 0; /**< Requests per 1000 s of the adapter it would evict next. */
    std::vector<slot_status> slots;

    friend bool operator==(const agent_status&, const agent_status&) = default;
};

} // namespace camphorgrade::placement
