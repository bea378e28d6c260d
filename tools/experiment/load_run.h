#pragma once

#include <http/http_call.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

/** One of the ways that a request can take. */
struct load_target {
    std::string name;
    http_endpoint endpoint;
    http_headers headers;

    friend bool operator==(const load_target&, const load_target&) = default;
};

/** What a load run sends. */
struct load_plan {
    std::vector<load_target> targets;
    std::size_t streams = 1;  /**< Requests open at once. */
    std::size_t requests = 1; /**< To each target. */
    duration time_limit{60'000};
    std::string path = "/v1/completions";
    std::string body;
    std::vector<int> processes; /**< Watched for processor time and memory. */
};

/** What the requests to one target took, in milliseconds; unsorted. */
struct load_samples {
    std::vector<double> first_chunk_ms;
    std::vector<double> whole_ms;
    std::size_t body_bytes = 0;
    std::map<std::string, std::size_t> failures; /**< By kind: a status, "broken", "not_sent". */
};

/** What one process used during the run. */
struct process_use {
    double processor_s = 0;
    std::size_t memory_before_kb = 0;
    std::size_t memory_peak_kb = 0; /**< Largest that was seen after a request. */
};

/** Outcome of a load run. */
struct load_result {
    double duration_s = 0;
    std::map<std::string, load_samples> samples;
    std::map<int, process_use> processes;
};

/**
 * Sends the requests of a plan from `streams` threads, each to one target after another, so that
 * all targets meet the same moments. Ends early at the time limit. Precondition: has a target.
 */
load_result run_load(const load_plan& plan);

} // namespace camphorgrade::experiment
