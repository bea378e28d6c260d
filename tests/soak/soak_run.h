#pragma once

#include "soak_world.h"

#include <kernel/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** One soak. */
struct soak_options {
    std::uint64_t seed = 1;
    duration length{8'000}; /**< Of the time with faults. */
    int callers = 24;
    soak_sizes sizes;
};

/** What a soak showed. */
struct soak_result {
    std::vector<std::string> violations;
    std::vector<std::string> faults; /**< What was injected, with its time. */
    std::string log_folder;
    std::size_t whole = 0;
    std::size_t refused = 0;
    std::size_t failed = 0; /**< Failures, broken and closed ones. */
    double whole_after_recovery = 0;
    duration longest_stall{}; /**< Of the soak's own event loop. */
};

/** Runs the programs under random faults and checks what they promise. */
soak_result run_soak(const soak_options& options);

} // namespace camphorgrade::soak
