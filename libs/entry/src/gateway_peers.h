#pragma once

#include "fleet_state.h"
#include "peer_transport.h"
#include "registration_poller.h"

#include <adapters/adapter_manager.h>
#include <edge/buffered_calls.h>
#include <edge/caller_server.h>
#include <edge/upstream_pool.h>
#include <peering/round_robin_selector.h>
#include <peering/usage_change_filter.h>
#include <serving/dispatcher.h>
#include <telemetry/event_log.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** Interface of gateway_peers to its gateway. Must outlive gateway_peers. */
class gateway_peers_host {
public:
    gateway_peers_host() = default;
    gateway_peers_host(const gateway_peers_host&) = delete;
    gateway_peers_host& operator=(const gateway_peers_host&) = delete;
    virtual ~gateway_peers_host() = default;

    /** The dispatcher processed an event and may have effects to execute. */
    virtual void on_effects_pending() = 0;
    /** The number of gateways that are known, this one included. */
    virtual void on_gateway_count(std::size_t count) = 0;
    /** A peer knows of a checkpoint in the store. */
    virtual void on_peer_checkpoint(const serving::checkpoint_state& state) = 0;
    /** The newest checkpoint that this gateway knows. */
    virtual const serving::checkpoint_state& newest_checkpoint() const = 0;
    virtual event_log& log() = 0;
};

/** Times and limits of gateway_peers. */
struct gateway_peers_settings {
    /** Changes of demand within this time go to an engine's agent in one message. */
    duration demand_delay{5};
    /** Time between demand messages to an engine's agent while the demand doesn't change. */
    duration demand_heartbeat_interval{400};
    /** Time between reports of changes that go directly to all peers. */
    duration report_interval{100};
    /** Time between reports that go through relays. */
    duration relayed_report_interval{200};
    /** Minimum time between a report and an urgent one. An urgent report is sent after a client
        account has used much of its burst. */
    duration urgent_report_interval{20};
    /** Time between reports that go directly to all peers while nothing changes. */
    duration report_heartbeat_interval{300};
    /** Time between reports that include rarely changing data. */
    duration full_report_interval{900};
    /** For this duration, reports repeat a changed usage count. */
    duration usage_repeat_duration{800};
    /** Delay before a newer catalogue is fetched from a peer. Within this time, this gateway's own
        watch of the store may deliver the catalogue. */
    duration fetch_delay{200};
    duration fetch_timeout{800};
    /** Delay after an event until permits are requested and granted. */
    duration permit_delay{1};
    /** Minimum time between two regular exchanges of permits. */
    duration permit_interval{5};
    /** Time between two updates of the gateways that share request limits. */
    duration granter_update_interval{200};
    std::size_t max_crash_records = 64; /**< Maximum number of crash records in one report. */
    /** Maximum number of addresses of other gateways in one report. */
    std::size_t max_gateways_per_report = 16;
    peer_transport_settings transport;

    friend bool operator==(const gateway_peers_settings&, const gateway_peers_settings&) = default;
};

/**
 * Exchanges messages with the engines' agents (demand and engine state) and with the other gateways
 * (usage of client accounts, crash records, newer catalogues, registrations). Not thread safe.
 */
class gateway_peers final : public edge::caller_handler {
public:
    gateway_peers(boost::asio::io_context& loop, const clock& clock, edge::upstream_pool& pool,
                  serving::dispatcher& dispatcher, fleet_state& fleet, gateway_peers_host& host,
                  const serving::network_address& own_address, std::uint64_t incarnation,
                  const peering::peer_attributes& attributes, const std::vector<std::string>& seeds,
                  gateway_peers_settings settings);

    /**
     * Listens for HTTP requests of peers and starts all timers.
     * Throws boost::system::system_error when the address can't be bound.
     */
    void start();

    /** Schedules demand messages, since this gateway's demand for an engine may have changed. */
    void demand_changed();

    /** A request was admitted; sends an urgent report if one is due. */
    void usage_changed();

    /** An attempt ended; reports at once what was observed of parts that crash servers. */
    void crashes_changed();

    /** Sends what this gateway tells or asks others about origins of streams and software
        versions. */
    void exchange_origins();

    /** Schedules an exchange of permits, since requests may wait for some. */
    void permits_changed();

    /** Number of received datagrams that could not be decoded. */
    std::uint64_t unreadable_datagrams() const noexcept {
        return transport_.unreadable_datagrams();
    }

    /** Responds to a request of a peer for the newest catalogue or the registered servers. */
    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override { static_cast<void>(status); }

private:
    struct sent_demand {
        adapters::engine_demand demand;
        time_point sent_at;
    };

    void on_message(const peering::peer_message& message);
    void log_routing_change(bool is_direct, const std::vector<std::string>& relays);
    void handle_gateway_report(const std::string& sender, std::uint64_t incarnation,
                               const peering::gateway_report& report);
    void handle_engine_report(const peering::engine_report& report);
    void send_demands();
    /** Backend servers whose agents may need this gateway's present demand. */
    std::set<std::string> backends_to_update(
        const std::map<std::string, std::vector<serving::open_demand>>& demand_by_backend,
        bool is_heartbeat) const;
    adapters::engine_demand make_demand(const serving::backend_view& view,
                                        const serving::engine_capacity& capacity,
                                        const std::vector<serving::open_demand>& open_demands);
    void send_demand(const serving::backend_view& view, adapters::engine_demand demand);
    void send_reports(bool is_urgent);
    void schedule_demands(duration delay);
    void schedule_reports();
    void schedule_permits(duration delay);
    void exchange_permits();
    void update_granters();
    /** Updates the processes that know the history of software versions. */
    void update_software_peers(const std::vector<std::string>& peers);
    /** Addresses of the agents beside the engines of all services. */
    std::vector<std::string> agents() const;
    std::string agent_of(const serving::backend_view& view) const;
    /** Fetches a catalogue from a peer after `delay`, unless one as new is known by then. */
    void fetch_catalogue(const std::string& peer, std::uint64_t version, duration delay);

    boost::asio::io_context& loop_;
    const clock& clock_;
    edge::buffered_calls calls_;
    serving::dispatcher& dispatcher_;
    fleet_state& fleet_;
    gateway_peers_host& host_;
    gateway_peers_settings settings_;
    serving::network_address own_address_;
    peer_transport transport_;
    peering::round_robin_selector gateway_selector_;
    peering::usage_change_filter usage_filter_;
    edge::caller_server server_;
    registration_poller registration_poller_;
    boost::asio::steady_timer demand_timer_;
    boost::asio::steady_timer report_timer_;
    boost::asio::steady_timer permit_timer_;
    std::optional<time_point> next_permit_exchange_;
    time_point granters_updated_at_;
    bool knows_agents_ = false;
    bool is_demand_scheduled_ = false;
    std::map<std::string, sent_demand> sent_demands_;
    time_point last_demand_heartbeat_;
    bool is_fetching_ = false;
    time_point started_;
    time_point last_report_;
    time_point last_full_report_;
    serving::account_usage reported_usage_;
    std::uint64_t reported_catalogue_version_ = 0;
};

} // namespace camphorgrade::entry
