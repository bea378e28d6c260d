#pragma once

#include <placement/adapter_ref.h>
#include <placement/agent_status.h>
#include <placement/popularity.h>

#include <kernel/clock.h>
#include <kernel/ids.h>
#include <kernel/random.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphorgrade::placement {

struct router_settings {
    duration suspect_after{3000}; /**< Without a report, an agent gets nothing new. */
    duration report_lag{20};      /**< What was sent this shortly before a report isn't in it. */
    duration overload_wait{1000}; /**< Expected waiting time from which another agent is better. */
    duration refuse_wait{15000};  /**< Expected waiting time from which refusing is better. */
    double load_bound = 1.25;     /**< Cold candidates may exceed the mean load by this factor. */
    double replica_utilisation = 0.7; /**< Share of its replicas' capacity an adapter may take. */
    std::size_t spare_candidates = 3; /**< Beyond its replicas, where an adapter may be loaded. */
    bool weigh_victims = true;        /**< Load where the least popular adapter is evicted. */
};

/** What a gateway asks of the router. A value type. */
struct route_request {
    std::string pool;           /**< Base model or plain service. */
    std::string role;           /**< Empty takes any. */
    adapter_ref adapter;        /**< Empty for a plain service. */
    std::uint64_t cost = 1;     /**< Tokens it may take. */
    std::string data_centre;    /**< Of the gateway. */
    std::uint64_t affinity = 0; /**< Hash of the prompt's prefix; 0 for none. */
    std::vector<node_id> excluded;

    friend bool operator==(const route_request&, const route_request&) = default;
};

enum class route_refusal_reason {
    no_backend, /**< No agent of the pool is known to be alive and staying. */
    overloaded  /**< All of them have more waiting than makes sense. */
};

/** The request goes nowhere; it provably did not run. A value type. */
struct route_refusal {
    route_refusal_reason reason = route_refusal_reason::no_backend;
    duration retry_after{};

    friend bool operator==(const route_refusal&, const route_refusal&) = default;
};

using route = std::variant<node_id, route_refusal>;

/**
 * Picks the agent for a request from lagging reports.
 *
 * An agent that has the adapter and is not overloaded comes first, the less loaded of two. Else
 * the adapter is loaded on one of its few rendezvous candidates. An adapter has as many replicas as
 * its share of the traffic needs, which follows sudden shifts. What this router sent since a report
 * counts as load, so a lagging view does not herd. A wrong view costs speed only: the agent
 * decides. Not thread safe.
 *
 * @code
 * router picks({});
 * picks.on_report(node_id{"10.0.0.5:7000"}, status, duration{1000}, now);
 * const route to = picks.choose({.pool = "base", .adapter = adapter, .cost = 300}, now, random);
 * @endcode
 */
class router {
public:
    explicit router(router_settings settings);

    /** A report arrived; the next one is due `within`. */
    void on_report(const node_id& agent, agent_status status, duration within, time_point now);

    /** The agent is gone for good. */
    void forget(const node_id& agent);

    /** Agents that get nothing new whatever they report, such as those on the list of leaving VMs.
     */
    void set_unavailable(std::set<node_id> agents);

    /** Where the request goes. Counts it as sent there. */
    route choose(const route_request& request, time_point now, random_source& random);

    /** How many replicas the adapter should have in a pool of `agents`. */
    std::size_t replicas(const adapter_ref& adapter, std::size_t agents, time_point now) const;

    /** Whether the agent reports, serves something, and is not leaving. */
    bool is_ready(const node_id& agent, time_point now) const;

    /** Number of agents that are. */
    std::size_t ready_agents(time_point now) const;

    /** Number of agents that may get requests of the pool now. */
    std::size_t available(const std::string& pool, time_point now) const;

private:
    struct sent_request {
        time_point at;
        std::uint64_t cost = 0;
        std::uint64_t adapter = 0;
    };
    struct view {
        node_id agent;
        agent_status status;
        time_point received;
        duration within{};
        std::deque<sent_request> sent;
    };
    struct candidate {
        view* to = nullptr;
        double load = 0; /**< Batches' worth of work: running share plus seconds of queue. */
        duration wait{};
        std::uint64_t weight = 0;
    };
    using candidates = std::vector<candidate>;

    bool staying(const view& each, time_point now) const;
    bool usable(const view& each, const route_request& request, time_point now) const;
    candidates usable_for(const route_request& request, std::uint64_t key, time_point now);
    bool has(const view& each, std::uint64_t key) const;
    bool overloaded(const candidate& each) const;
    const candidate* warm(const candidates& all, const route_request& request, std::uint64_t key,
                          std::size_t wanted, random_source& random) const;
    const candidate* cold(const candidates& all, std::size_t wanted) const;
    const candidate* last_resort(const candidates& all, std::uint64_t key) const;
    const candidate* better_of_two(const std::vector<const candidate*>& from,
                                   const route_request& request, random_source& random) const;
    void note_utilisation(const candidates& all);
    route send(const candidate& to, const route_request& request, std::uint64_t key,
               time_point now);

    router_settings settings_;
    popularity asked_;
    double utilisation_ = 0;
    std::map<node_id, view> views_;
    std::set<node_id> unavailable_;
};

} // namespace camphorgrade::placement
