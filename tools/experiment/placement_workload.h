#pragma once

#include <placement/load_ledger.h>
#include <placement/placement_weights.h>
#include <placement/queued_request.h>

#include <kernel/random.h>

#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

/** Sizes and speeds of one deployment's model workers. */
struct deployment {
    std::string name;
    std::size_t engines = 18;
    std::size_t data_centres = 4;
    duration hop{1};
    placement::store_limit store;
    placement::weighed_measure weigh = placement::weighed_measure::load_stalls;
    double requests_per_s = 10;
    std::size_t slots = 8;
    std::size_t seats = 16;
    std::size_t adapters = 3000;
    std::vector<double> account_shares{0.4, 0.25, 0.2, 0.1, 0.05};
};

/** The deployment of that name; nullopt for an unknown one. */
std::optional<deployment> find_deployment(const std::string& name);

/** What goes wrong in a run, and when it is measured. */
struct scenario {
    std::string name;
    duration warm_up{180000}; /**< Before anything is measured, and when the change happens. */
    duration measured{240000};
    bool shift = false; /**< All popularity moves to other adapters. */
    bool engine_restart = false;
    bool tenant_burst = false; /**< The largest account sends five times its rate. */
    double load_failures = 0;  /**< Share of loads that fail; some adapters always do. */
};

std::optional<scenario> find_scenario(const std::string& name);
std::vector<std::string> scenario_names();

/** One request of the workload; `arrival` is when it reaches a gateway. */
struct workload_request {
    placement::queued_request request;
    std::size_t account = 0;
    std::size_t gateway = 0;
    std::uint64_t answer_tokens = 0; /**< How much it really generates. */
};

/** Draws the requests of a run: Poisson arrivals, Zipf popularity, short answers and long drafts.
 */
class workload {
public:
    workload(const deployment& sizes, const scenario& happens, std::uint64_t seed);

    /** The next request in order of arrival. */
    workload_request next();

    /** Whether loads of the adapter never succeed, in a run with load failures. */
    static bool always_fails(const placement::adapter_ref& adapter);

private:
    std::size_t draw_rank();

    deployment sizes_;
    scenario happens_;
    random_source random_;
    std::vector<double> cumulative_;
    std::vector<std::size_t> account_of_;
    double now_ms_ = 0;
    std::uint64_t last_id_ = 0;
};

} // namespace camphorgrade::experiment
