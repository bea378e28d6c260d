#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/load_time_estimator.h>
#include <serving/prefix_cache_estimate.h>
#include <serving/request_metadata.h>
#include <serving/service_catalogue.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** This gateway's open requests for one adapter at one backend server. */
struct adapter_demand {
    std::uint32_t waiting = 0; /**< Requests that wait until the adapter is loaded. */
    std::uint32_t in_use = 0;  /**< Requests that were sent and have not ended. */

    friend bool operator==(const adapter_demand&, const adapter_demand&) = default;
};

/**
 * A gateway's view of one backend server: its registration, the reported state of its engine, its
 * observed health, and the gateway's open requests there.
 */
struct backend_view {
    backend_server server;
    bool is_removed = false; /**< Removed; kept until the open requests there have ended. */
    /** The agent reports a later process than the registered one. Until that process registers,
        it may be another server, or the same one without the weights that it held. */
    bool is_replaced = false;
    /** Latest report of the engine's agent; empty before the first one. */
    std::optional<engine_state> engine;
    time_point engine_reported_at; /**< When the latest report arrived. */
    std::uint32_t loading = 0;     /**< Adapters that the engine is loading. */
    std::uint32_t in_flight = 0;   /**< Requests that this gateway sent and that have not ended. */
    /** Unread prompt tokens of this gateway's requests that have no first event yet. */
    std::uint64_t queued_prompt_tokens = 0;
    /** Value of queued_prompt_tokens when the latest engine report arrived. */
    std::uint64_t queued_prompt_tokens_at_report = 0;
    /** Open requests by the weights that they need. */
    std::map<versioned_weights, adapter_demand> demand;
    /** Adapters that this process has held before; they load faster. */
    std::set<std::string> previously_held_adapters;
    prefix_cache_estimate prompts; /**< Prompt prefixes that the engine has likely cached. */
    /** Failures to connect and broken connections since the last response. */
    std::uint32_t consecutive_failures = 0;
    time_point avoid_until;      /**< End of the avoidance after the last failure. */
    time_point last_response_at; /**< Last response to this gateway; default if there is none. */
    /** Peers that avoid this server, with the time of their latest report. */
    std::map<std::string, time_point> avoided_by;
    /** This process announced its shutdown, in a response or as draining. */
    bool is_leaving = false;
    bool is_evacuated = false; /**< Operators have evacuated its data centre. */
    time_point hold_off_until; /**< The server accepts no requests before this time. */
    double failure_rate = 0;   /**< Moving average of the share of failed attempts, 0 to 1. */
    /** Moving average of the ratio of the measured to the expected time to the first byte. */
    double latency_ratio = 1;
};

/** Times and thresholds of a backend_registry. */
struct backend_registry_settings {
    duration engine_report_expiry{1'500}; /**< Age from which an engine report is no longer used. */
    /** Avoidance after the first failure; doubles with each consecutive one. */
    duration initial_backoff{300};
    duration max_backoff{3'000}; /**< Longest avoidance after a failure. */
    /** Number of avoiding peers from which a server is avoided here, too. */
    std::size_t min_avoiding_peers = 2;
    duration peer_report_expiry{700}; /**< How long a peer's report of an avoided server counts. */
    /** How long a response to this gateway overrides the reports of peers. */
    duration own_response_expiry{1'000};
    std::size_t max_leaving_processes = 8'192; /**< Remembered after they have gone. */
    load_time_estimator_settings load_times;

    friend bool operator==(const backend_registry_settings&,
                           const backend_registry_settings&) = default;
};

/**
 * All backend servers that a gateway knows, by id, with their health. Deterministic. Not thread
 * safe.
 */
class backend_registry {
public:
    explicit backend_registry(backend_registry_settings settings);

    /** Adds a server or updates its registration. The registration of another process resets the
        server's health and engine state. A process that has announced its shutdown stays leaving,
        even if its registration was removed meanwhile and an earlier one comes back. */
    void put(const backend_server& server);

    /** The server has left or its registration is gone: it receives no new requests. Its entry
        is kept while requests are open there. */
    void remove(const std::string& id);

    /** Erases removed servers that have no open requests. */
    void erase_removed();

    /** Applies the agent's report about the engine of server `id`. A report that is not newer than
        the last one is ignored. */
    void on_engine_state(const std::string& id, engine_state state, time_point now);

    /** The entry of a server; null if the id is unknown. Valid until the entry is erased. */
    backend_view* find(const std::string& id);
    const backend_view* find(const std::string& id) const;

    /** The server announced in a response that it is shutting down. */
    void on_leaving(const std::string& id);

    /** The server accepts no requests before `until`. A later time from an earlier call remains
        in effect. */
    void on_hold_off(const std::string& id, time_point until);

    /** Sets the evacuated data centres; their servers accept no requests. */
    void set_evacuated(std::set<std::string> data_centres);
    const std::set<std::string>& evacuated() const noexcept { return evacuated_; }

    /** Whether the server may be sent a request: it is neither draining nor shutting down, its data
        centre isn't evacuated, and its hold-off time has passed. */
    static bool accepts_requests(const backend_view& view, time_point now);

    /** Registered servers of the service that are neither draining nor shutting down nor in an
        evacuated data centre. The pointers are valid until the entry is erased. */
    std::vector<backend_view*> servers_of_service(const std::string& service);

    /** All entries by server id, including removed servers with open requests. */
    std::map<std::string, backend_view>& all() noexcept { return views_; }
    const std::map<std::string, backend_view>& all() const noexcept { return views_; }

    /** The server could not be reached, or its connection broke. It is avoided for a time that
        doubles with each consecutive failure. */
    void on_failure(const std::string& id, time_point now);

    /** Servers that this gateway avoids after its own failures to reach them. */
    std::vector<server_process> avoided_servers(time_point now) const;

    /** A peer reports the servers that it avoids. Reports on processes other than the registered
        ones are ignored. */
    void on_peer_avoided_servers(const std::string& peer,
                                 const std::vector<server_process>& servers, time_point now);

    /** Whether other servers are preferred: this one failed for this gateway, or it failed for
        several peers and has not responded to this gateway lately. */
    bool is_avoided(const backend_view& view, time_point now) const;

    /** The first byte of a response took `measured`; the estimate was `expected`. Short expected
        times are ignored, because network delay dominates them. */
    void on_latency(const std::string& id, duration measured, duration expected);

    /** Estimated number of prompt tokens, of all gateways, that the engine has yet to read.
        Without a recent report, only this gateway's requests are counted. */
    std::uint64_t queued_prompt_tokens(const backend_view& view, time_point now) const;

    /** Number of adapters that all engines together are loading, according to their latest
        reports. */
    std::uint32_t loads_under_way() const;

    /** Estimator of adapter load times from the weight store. */
    const load_time_estimator& load_times() const noexcept { return load_times_; }

    /** The server responded; `failed` is true for an error response or a refusal. */
    void on_response(const std::string& id, bool failed, time_point now);

    /** The server reported in a response that it does not hold these weights in this version. */
    void on_weights_missing(const std::string& id, const versioned_weights& weights);

    /** Whether the agent's report about the engine is recent enough to be used. */
    bool has_recent_report(const backend_view& view, time_point now) const;

    /** Whether the server holds the weights in at least `version`, according to a recent engine
        report, or else to the registration. */
    bool holds(const backend_view& view, const std::string& weights, std::uint64_t version,
               time_point now) const;

private:
    /** Updates the load time estimate when a report shows one more completed load. */
    void update_load_times(const std::optional<engine_state>& before, const engine_state& now);

    /** Remembers that the process is leaving; forgets the one remembered longest if there are too
        many. */
    void mark_leaving(const server_process& process);

    backend_registry_settings settings_;
    load_time_estimator load_times_;
    std::set<server_process> leaving_; /**< Processes that have announced their shutdown. */
    std::deque<server_process> leaving_in_order_;
    std::set<std::string> evacuated_; /**< Data centres. */
    std::map<std::string, backend_view> views_;
};

} // namespace camphorgrade::serving
