#pragma once

#include "placement_measures.h"
#include "placement_policy.h"
#include "placement_workload.h"

#include <placement/load_ledger.h>

#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace camphorgrade::experiment {

/** The weight store: a rate, and loads that take longer when too many are in flight. */
class store_model {
public:
    explicit store_model(placement::store_limit limit) : limit_(limit) {}

    /** When a load that begins now ends. Loads beyond the rate wait in the order they came. */
    time_point begin(time_point now);
    void end() { --in_flight_; }

private:
    placement::store_limit limit_;
    time_point next_start_;
    std::size_t in_flight_ = 0;
};

/**
 * An event-driven model of a fleet around the product's own decision classes: engines that batch
 * continuously, a weight store, and messages that take time. One run for one policy and seed.
 */
class placement_model {
public:
    placement_model(const deployment& sizes, const scenario& happens, const std::string& policy,
                    std::uint64_t seed);

    std::map<std::string, double> run();

private:
    struct running_request {
        workload_request request;
        placement::pin hold;
        std::uint64_t generated = 0;
        bool measured = false;
    };

    struct engine {
        node_id name;
        std::unique_ptr<placement::scheduler> plan;
        std::vector<running_request> running;
        std::map<std::uint64_t, workload_request> waiting;
        std::uint64_t boot = 1;
        bool stepping = false;
        bool planned = false;
        bool reporting = false;
        time_point reported;
    };

    struct event {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> act;
        bool operator>(const event& other) const {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    void later(duration after, std::function<void()> act);
    bool measured(const workload_request& request) const;
    void arrive();
    void route(const workload_request& request, const std::vector<node_id>& tried);
    void admit(std::size_t to, workload_request request, std::vector<node_id> tried);
    void refused(const workload_request& request, const std::vector<node_id>& tried);
    void plan(std::size_t at);
    void plan_soon(std::size_t at, duration after);
    void order(std::size_t at, const placement::slot_order& each);
    void result(std::size_t at, const placement::slot_order& each, bool done);
    void begin(std::size_t at, placement::request_start started);
    void step(std::size_t at);
    void restart(std::size_t at);
    void ask_director(std::size_t at, const std::vector<placement::load_want>& wants);
    void direct();
    void report(std::size_t at);
    void report_soon(std::size_t at);
    std::size_t index_of(const node_id& name) const;

    deployment sizes_;
    scenario happens_;
    random_source random_;
    workload requests_;
    std::unique_ptr<placement_policy> policy_;
    std::vector<engine> engines_;
    store_model store_;
    placement::load_ledger ledger_;
    std::map<std::string, std::uint64_t> grants_;
    time_point director_armed_;
    placement_measures measures_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t sequence_ = 0;
    time_point now_;
    time_point end_;
};

} // namespace camphorgrade::experiment
