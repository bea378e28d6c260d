#pragma once

#include <kernel/clock.h>
#include <limits/account_share.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

/** Over which gateways the balancer spreads the callers. */
enum class arrival_pattern { even, skewed, shifting };

/** What goes wrong in a run. */
struct limits_faults {
    bool gateway_killed = false;
    bool store_out = false; /**< For ten minutes; the gateway is killed two minutes into it. */
};

/** One run of the limits experiment. */
struct limits_scenario {
    std::size_t gateways = 4;
    arrival_pattern pattern = arrival_pattern::even;
    bool one_tenant_over = false; /**< The first tenant sends five times its rate. */
    limits_faults faults;
    double load = 0.75; /**< Used tokens asked for, as part of each tenant's rate. */
};

/** One request as it arrives. */
struct limits_arrival {
    duration at{};
    std::size_t account = 0;
    std::size_t gateway = 0;
    std::int64_t cost = 0;   /**< Prompt and the most it may generate. */
    std::int64_t unused = 0; /**< Credited at the end. */
    duration service{};
};

/** The client accounts: a few large ones and some small. */
std::vector<limits::account_limit> experiment_accounts();

/** How long the scenario runs. */
duration length_of(const limits_scenario& scenario);

/** When the gateway is killed, and when the store goes out, from the start of the traffic. */
duration kill_time(const limits_scenario& scenario);

/** Arrivals in order of time; the same for the same seed. */
std::vector<limits_arrival> make_arrivals(const limits_scenario& scenario, std::uint64_t seed);

/** "even", "skewed" or "shifting". */
std::string name_of(arrival_pattern pattern);

} // namespace camphorgrade::experiment
