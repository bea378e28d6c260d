#pragma once

#include "limits_workload.h"

#include <cstdint>
#include <vector>

namespace camphorgrade::experiment {

/** What became of one arrival. */
struct limits_outcome {
    bool admitted = false;
    duration waited{};
    std::int64_t net = 0; /**< Micro-tokens charged, less what was credited. */
    time_point at{};      /**< When it was admitted. */
};

/** All outcomes of one way to keep limits, by arrival, and what it cost. */
struct limits_run {
    std::vector<limits_outcome> outcomes;
    double messages_per_s_per_gateway = 0;
    double bytes_per_s_per_gateway = 0;
    double store_calls_per_s = 0;
    duration recovered_after{-1}; /**< From the kill until all shares were held; -1 for never. */
};

/** The project's shares, on a fake cluster with seven agents. */
limits_run run_shares(const limits_scenario& scenario, const std::vector<limits_arrival>& arrivals,
                      std::uint64_t seed);

/** One token bucket for each account fed with the same arrivals: what "inside the rate" means. */
limits_run run_reference(const limits_scenario& scenario,
                         const std::vector<limits_arrival>& arrivals);

/** Baseline: each gateway has an equal and fixed part of each account. */
limits_run run_static(const limits_scenario& scenario, const std::vector<limits_arrival>& arrivals);

/** Baseline: the reference's buckets kept in the key-value service, two calls for each request. */
limits_run run_store_bucket(const limits_scenario& scenario,
                            const std::vector<limits_arrival>& arrivals);

} // namespace camphorgrade::experiment
