#include "placement_workload.h"

#include <algorithm>
#include <cmath>

namespace camphorgrade::experiment {

namespace {

constexpr double zipf_exponent = 1.1;
constexpr double short_share = 0.7;
constexpr std::size_t gateways = 3;
constexpr double burst_factor = 5;
constexpr double ms_per_s = 1000;
constexpr duration request_patience{60000};

std::uint64_t between(random_source& random, std::uint64_t low, std::uint64_t high) {
    return low + random.below(high - low + 1);
}

} // namespace

std::optional<deployment> find_deployment(const std::string& name) {
    if (name == "hljodvangur") {
        deployment found;
        found.name = name;
        return found;
    }
    if (name == "cal-y-suelo") {
        deployment found;
        found.name = name;
        found.engines = 12;
        found.store.loads_per_s = 3;
        found.weigh = placement::weighed_measure::fairness;
        found.requests_per_s = 6;
        return found;
    }
    return std::nullopt;
}

std::optional<scenario> find_scenario(const std::string& name) {
    scenario found;
    found.name = name;
    if (name == "steady") {
        return found;
    }
    if (name == "shift") {
        found.shift = true;
        return found;
    }
    if (name == "restart") {
        found.engine_restart = true;
        found.measured = duration{120000};
        return found;
    }
    if (name == "cold") {
        found.warm_up = duration{0};
        found.measured = duration{120000};
        return found;
    }
    if (name == "tenant") {
        found.tenant_burst = true;
        return found;
    }
    if (name == "load-failures") {
        found.load_failures = 0.05;
        return found;
    }
    return std::nullopt;
}

std::vector<std::string> scenario_names() {
    return {"steady", "shift", "restart", "cold", "tenant", "load-failures"};
}

workload::workload(const deployment& sizes, const scenario& happens, std::uint64_t seed)
    : sizes_(sizes), happens_(happens), random_(seed) {
    double sum = 0;
    for (std::size_t rank = 0; rank < sizes_.adapters; ++rank) {
        sum += std::pow(static_cast<double>(rank + 1), -zipf_exponent);
        cumulative_.push_back(sum);
    }
    for (double& each : cumulative_) {
        each /= sum;
    }
    // Each account gets its share of every stretch of ranks, so that all have popular adapters.
    std::vector<double> owed(sizes_.account_shares.size());
    for (std::size_t rank = 0; rank < sizes_.adapters; ++rank) {
        const double mass = cumulative_[rank] - (rank == 0 ? 0 : cumulative_[rank - 1]);
        for (std::size_t account = 0; account < owed.size(); ++account) {
            owed[account] += mass * sizes_.account_shares[account];
        }
        const auto most = std::ranges::max_element(owed);
        const auto owner = static_cast<std::size_t>(most - owed.begin());
        *most -= mass;
        account_of_.push_back(owner);
    }
}

workload_request workload::next() {
    const auto so_far = time_point{duration{static_cast<std::int64_t>(now_ms_)}};
    const double burst = happens_.tenant_burst && so_far.time_since_epoch() >= happens_.warm_up
                             ? sizes_.account_shares[0] * (burst_factor - 1)
                             : 0;
    const double rate = sizes_.requests_per_s * (1 + burst);
    now_ms_ += -std::log(1 - random_.unit()) * ms_per_s / rate;
    workload_request drawn;
    std::size_t rank = draw_rank();
    if (random_.unit() < burst / (1 + burst)) {
        while (account_of_[rank] != 0) {
            rank = draw_rank();
        }
    }
    drawn.account = account_of_[rank];
    drawn.gateway = random_.below(gateways);
    const bool brief = random_.unit() < short_share;
    drawn.answer_tokens = brief ? between(random_, 30, 90) : between(random_, 300, 750);
    placement::queued_request& request = drawn.request;
    request.id = ++last_id_;
    request.client_account = "account-" + std::to_string(drawn.account);
    request.arrival = time_point{duration{static_cast<std::int64_t>(now_ms_)}};
    request.deadline = request.arrival + request_patience;
    const bool moved = happens_.shift && request.arrival.time_since_epoch() >= happens_.warm_up;
    request.adapter = {"adapter-" + std::to_string(moved ? sizes_.adapters - 1 - rank : rank), "1"};
    request.prompt_tokens = between(random_, 50, 400);
    request.max_tokens = brief ? 100 : 800;
    return drawn;
}

bool workload::always_fails(const placement::adapter_ref& adapter) {
    return adapter.name == "adapter-20" || adapter.name == "adapter-200";
}

std::size_t workload::draw_rank() {
    const auto found = std::ranges::lower_bound(cumulative_, random_.unit());
    return std::min(static_cast<std::size_t>(found - cumulative_.begin()), sizes_.adapters - 1);
}

} // namespace camphorgrade::experiment
