#pragma once

#include "soak_world.h"

#include <kernel/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** Settings of a soak test. */
struct soak_options {
    std::uint64_t seed = 1;
    duration fault_duration{8'000}; /**< Time during which faults are injected. */
    int callers = 24;
    soak_sizes sizes;
    bool has_resuming_callers = false; /**< Callers take broken streams up again. */
    /** Injects no other faults than requests that crash the engines. */
    bool has_crashing_requests = false;
    std::vector<response_fault_kind> response_faults; /**< Injected besides all other faults. */
};

/** Result of a soak test. */
struct soak_result {
    std::vector<std::string> violations;
    std::vector<std::string> faults; /**< Injected faults with their times. */
    std::string log_folder;
    resumption_counts resumptions;
    lost_figures lost;
    std::vector<std::string> resumption_trace; /**< A line for each time. */
    std::string crashes;                       /**< Figures of requests that crash servers. */
    std::size_t complete = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;                   /**< Failed, truncated and closed requests. */
    double complete_share_after_recovery = 0; /**< From 0 to 1. */
    duration longest_stall{};                 /**< Longest stall of the test's own event loop. */
};

/** Runs the programs under random faults and checks their invariants. Blocks until the end. */
soak_result run_soak(const soak_options& options);

} // namespace camphorgrade::soak
