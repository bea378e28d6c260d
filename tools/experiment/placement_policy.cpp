#include "placement_policy.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace camphorgrade::experiment {

using placement::agent_status;
using placement::route;

namespace {

constexpr duration report_period{1000};

placement::scheduler_settings common_settings(const deployment& sizes) {
    placement::scheduler_settings settings;
    settings.slots = {.slots = sizes.slots, .engine_checks_fencing = true};
    settings.weights = placement::weights_for(sizes.weigh);
    return settings;
}

/** A baseline: loads at once, evicts the least recently used, keeps the last report of each. */
class baseline : public placement_policy {
public:
    explicit baseline(std::vector<node_id> agents) : agents_(std::move(agents)) {}

    placement::scheduler_settings scheduling(const deployment& sizes) const override {
        placement::scheduler_settings settings = common_settings(sizes);
        settings.paced = false;
        settings.keep_popular = false;
        settings.prefetch = false;
        return settings;
    }

    void on_report(std::size_t /*gateway*/, const node_id& agent, const agent_status& status,
                   time_point /*now*/) override {
        reports_[agent] = status;
    }

protected:
    std::vector<node_id> allowed(const std::vector<node_id>& excluded) const {
        std::vector<node_id> left;
        std::ranges::copy_if(agents_, std::back_inserter(left), [&](const node_id& each) {
            return std::ranges::find(excluded, each) == excluded.end();
        });
        return left;
    }

    double load(const node_id& agent) const {
        const auto found = reports_.find(agent);
        if (found == reports_.end()) {
            return 0;
        }
        const agent_status& status = found->second;
        const double queued = static_cast<double>(status.short_tokens + status.long_tokens);
        return status.running + queued / static_cast<double>(status.tokens_per_s);
    }

private:
    std::vector<node_id> agents_;
    std::map<node_id, agent_status> reports_;
};

class random_policy final : public baseline {
public:
    using baseline::baseline;

    route choose(const workload_request& /*request*/, const std::vector<node_id>& excluded,
                 time_point /*now*/, random_source& random) override {
        const auto left = allowed(excluded);
        return left[random.below(left.size())];
    }
};

class least_loaded_policy final : public baseline {
public:
    using baseline::baseline;

    route choose(const workload_request& /*request*/, const std::vector<node_id>& excluded,
                 time_point /*now*/, random_source& random) override {
        const auto left = allowed(excluded);
        const std::size_t from = random.below(left.size());
        node_id best = left[from];
        for (std::size_t i = 1; i < left.size(); ++i) {
            const node_id& each = left[(from + i) % left.size()];
            best = load(each) < load(best) ? each : best;
        }
        return best;
    }
};

class consistent_hash_policy final : public baseline {
public:
    using baseline::baseline;

    route choose(const workload_request& request, const std::vector<node_id>& excluded,
                 time_point /*now*/, random_source& /*random*/) override {
        const auto left = allowed(excluded);
        const std::uint64_t key = placement::digest(request.request.adapter);
        return *std::ranges::max_element(left, {}, [&](const node_id& each) {
            return placement::rendezvous_weight(key, each.value());
        });
    }
};

/**
 * After the related paper: adapters start on random engines; then pairs of adapters are exchanged
 * between two engines whenever that evens out how much is asked of each.
 */
class exchange_policy final : public baseline {
public:
    explicit exchange_policy(const std::vector<node_id>& agents)
        : baseline(agents), agents_(agents), asked_(4096), load_(agents.size()) {}

    route choose(const workload_request& request, const std::vector<node_id>& excluded,
                 time_point now, random_source& random) override {
        const std::uint64_t key = placement::digest(request.request.adapter);
        asked_.add(key, static_cast<double>(request.request.cost()), now);
        if (!home_.contains(key)) {
            keys_.push_back(key);
            home_[key] = random.below(agents_.size());
        }
        for (int i = 0; i < exchanges_per_request; ++i) {
            exchange(now, random);
        }
        const node_id& home = agents_[home_[key]];
        const auto left = allowed(excluded);
        const bool free = std::ranges::find(left, home) != left.end();
        return free ? home : left[random.below(left.size())];
    }

private:
    static constexpr int exchanges_per_request = 4;

    void exchange(time_point now, random_source& random) {
        const std::uint64_t first = keys_[random.below(keys_.size())];
        const std::uint64_t second = keys_[random.below(keys_.size())];
        if (home_[first] == home_[second]) {
            return;
        }
        std::ranges::fill(load_, 0.0);
        for (const std::uint64_t each : keys_) {
            load_[home_[each]] += asked_.rate(each, now);
        }
        const double moved = asked_.rate(first, now) - asked_.rate(second, now);
        const double before = std::abs(load_[home_[first]] - load_[home_[second]]);
        const double after = std::abs(load_[home_[first]] - load_[home_[second]] - 2 * moved);
        if (after < before) {
            std::swap(home_[first], home_[second]);
        }
    }

    std::vector<node_id> agents_;
    placement::popularity asked_;
    std::vector<double> load_;
    std::map<std::uint64_t, std::size_t> home_;
    std::vector<std::uint64_t> keys_;
};

/** The product's router, one for each gateway. */
class router_policy final : public placement_policy {
public:
    explicit router_policy(std::size_t gateways)
        : routers_(gateways, placement::router(placement::router_settings{})) {}

    placement::scheduler_settings scheduling(const deployment& sizes) const override {
        return common_settings(sizes);
    }

    bool paced() const override { return true; }

    void on_report(std::size_t gateway, const node_id& agent, const agent_status& status,
                   time_point now) override {
        routers_[gateway].on_report(agent, status, report_period, now);
    }

    route choose(const workload_request& request, const std::vector<node_id>& excluded,
                 time_point now, random_source& random) override {
        placement::route_request asked;
        asked.pool = "base";
        asked.adapter = request.request.adapter;
        asked.cost = request.request.cost();
        asked.data_centre = "dc-" + std::to_string(request.gateway);
        asked.excluded = excluded;
        return routers_[request.gateway].choose(asked, now, random);
    }

private:
    std::vector<placement::router> routers_;
};

} // namespace

std::unique_ptr<placement_policy> make_policy(const std::string& name, std::size_t gateways,
                                              const std::vector<node_id>& agents) {
    if (name == "random") {
        return std::make_unique<random_policy>(agents);
    }
    if (name == "least-loaded") {
        return std::make_unique<least_loaded_policy>(agents);
    }
    if (name == "consistent-hash") {
        return std::make_unique<consistent_hash_policy>(agents);
    }
    if (name == "exchange") {
        return std::make_unique<exchange_policy>(agents);
    }
    if (name == "ours") {
        return std::make_unique<router_policy>(gateways);
    }
    return nullptr;
}

std::vector<std::string> policy_names() {
    return {"random", "least-loaded", "consistent-hash", "exchange", "ours"};
}

} // namespace camphorgrade::experiment
