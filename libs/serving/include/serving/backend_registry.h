#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/load_time_estimator.h>
#include <serving/prefix_cache_estimate.h>
#include <serving/request_metadata.h>
#include <serving/service_catalogue.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** What this gateway has open at one backend server for one adapter. */
struct adapter_demand {
    std::uint32_t waiting = 0; /**< Requests that wait for the adapter to be loaded. */
    std::uint32_t in_use = 0;  /**< Requests that were sent and aren't finished. */

    friend bool operator==(const adapter_demand&, const adapter_demand&) = default;
};

/** What a gateway knows of one backend server, and what it has open there. */
struct backend_view {
    backend_server server;
    bool is_removed = false;  /**< Removed; kept until the work that is open there has ended. */
    bool is_replaced = false; /**< A later process was seen at its address, which hasn't registered
                                   yet: another server, or this one without what it held. */
    std::optional<engine_state> engine; /**< From the agent beside it; empty before its first. */
    time_point engine_reported_at;
    std::uint32_t loading = 0; /**< Adapters that the engine is loading. */
    std::uint32_t in_flight = 0;
    std::uint64_t queued_prompt_tokens = 0; /**< To be read for own requests without an event. */
    std::uint64_t queued_prompt_tokens_at_report =
        0; /**< The same when the engine's last report came. */
    std::map<versioned_weights, adapter_demand> demand;
    std::set<std::string> seen_adapters; /**< Held before by this process; they load faster. */
    prefix_cache_estimate prompts;
    std::uint32_t consecutive_failures = 0; /**< In a row. */
    time_point avoid_until;
    time_point last_response_at;
    std::map<std::string, time_point> avoided_by; /**< Peers, and when each said so. */
    bool is_leaving = false;   /**< It said so in an answer; true until its next process. */
    time_point hold_off_until; /**< It wants nothing before. */
    double failure_rate = 0;   /**< Moving average over the answers of this server. */
    double latency_ratio = 1;  /**< Moving average of measured over expected time. */
};

/** Times by which a board judges backend servers. */
struct backend_registry_settings {
    duration engine_report_expiry{1'500}; /**< Reports older than this are no longer relied on. */
    duration initial_backoff{300}; /**< After a failure to connect; doubles with each further. */
    duration max_backoff{3'000};
    std::size_t min_avoiding_peers = 2;  /**< So many peers that avoid a server are believed, ... */
    duration peer_report_expiry{700};    /**< ... each for so long after it said so, ... */
    duration own_response_expiry{1'000}; /**< ... but for so long after it answered here. */
    load_time_estimator_settings load_times;

    friend bool operator==(const backend_registry_settings&,
                           const backend_registry_settings&) = default;
};

/**
 * All backend servers that a gateway knows, by id. Deterministic. Not thread safe.
 */
class backend_registry {
public:
    explicit backend_registry(backend_registry_settings settings);

    /** A registration that is new or has changed. */
    void put(const backend_server& server);

    /** The server left or its registration is gone: it gets nothing new. */
    void remove(const std::string& id);

    /** Forgets servers that are gone and have no open work any more. */
    void erase_removed();

    /** A report of the agent beside a server; older ones are ignored. */
    void on_engine_state(const std::string& id, engine_state state, time_point now);

    backend_view* find(const std::string& id);
    const backend_view* find(const std::string& id) const;

    /** The server said in an answer that it is leaving. */
    void on_leaving(const std::string& id);

    /** The server wants no requests before `until`; what it said before holds on, too. */
    void on_hold_off(const std::string& id, time_point until);

    /** Whether the server may be sent a request: it neither leaves nor holds off. */
    static bool accepts_requests(const backend_view& view, time_point now);

    /** Servers of the service that are registered and not leaving. */
    std::vector<backend_view*> servers_of_service(const std::string& service);

    std::map<std::string, backend_view>& all() noexcept { return views_; }
    const std::map<std::string, backend_view>& all() const noexcept { return views_; }

    /** The server could not be reached, or its connection broke. */
    void on_failure(const std::string& id, time_point now);

    /** Servers that this gateway avoids because they failed for it. */
    std::vector<avoided_server> avoided_servers(time_point now) const;

    /** A peer avoids these servers. */
    void on_peer_avoided_servers(const std::string& peer,
                                 const std::vector<avoided_server>& troubles, time_point now);

    /** Whether a server is better not used while others are there: it failed for this gateway, or
       for several peers and not for this one. */
    bool is_avoided(const backend_view& view, time_point now) const;

    /** A first answer took `measured` where `expected` would be usual. */
    void on_latency(const std::string& id, duration measured, duration expected);

    /** Prompt tokens that the engine has yet to read, of all gateways, as far as known. */
    std::uint64_t queued_prompt_tokens(const backend_view& view, time_point now) const;

    /** Adapters that all engines are loading, as far as known. */
    std::uint32_t loads_under_way() const;

    /** How fast the weight store loads adapters. */
    const load_time_estimator& load_times() const noexcept { return pace_; }

    /** The server answered; `failed` tells whether with an error of its own. */
    void on_response(const std::string& id, bool failed, time_point now);

    /** The server said that it doesn't hold these weights in this version. */
    void on_weights_missing(const std::string& id, const versioned_weights& weights);

    /** Whether the agent's reports about the engine are recent. */
    bool has_recent_report(const backend_view& view, time_point now) const;

    /** Adapters and models held, as far as known: from the agent, else from the registration. */
    bool holds(const backend_view& view, const std::string& weights, std::uint64_t version,
               time_point now) const;

private:
    /** Learns from a report that tells of one more load. */
    void note_load(const std::optional<engine_state>& before, const engine_state& now);

    backend_registry_settings settings_;
    load_time_estimator pace_;
    std::map<std::string, backend_view> views_;
};

} // namespace camphorgrade::serving
