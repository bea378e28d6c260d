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

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** What the peers need of their gateway. Must outlive them. */
class gateway_peers_host {
public:
    gateway_peers_host() = default;
    gateway_peers_host(const gateway_peers_host&) = delete;
    gateway_peers_host& operator=(const gateway_peers_host&) = delete;
    virtual ~gateway_peers_host() = default;

    /** The dispatcher was told something that may have effects. */
    virtual void on_effects_pending() = 0;
    virtual event_log& log() = 0;
};

/** Times of gateway_peers. */
struct gateway_peers_settings {
    duration demand_delay{5}; /**< Changes within it are told to an engine's agent at once. */
    duration demand_heartbeat_interval{400};
    duration report_interval{100};           /**< To peers, of news, ... */
    duration relayed_report_interval{200};   /**< ... and through relays. */
    duration urgent_report_interval{20};     /**< The same, of much use of one account. */
    duration report_heartbeat_interval{300}; /**< To peers, without news. */
    duration full_report_interval{900};      /**< With what changes seldom. */
    duration usage_repeat_duration{800};     /**< So long a changed count is told again. */
    duration fetch_delay{200}; /**< Time for the own watch to bring a newer catalogue first. */
    duration fetch_timeout{800};
    std::size_t max_crash_records = 64;       /**< Crash marks in one report. */
    std::size_t max_gateways_per_report = 16; /**< Addresses of other gateways in one report. */
    peer_transport_settings exchange;

    friend bool operator==(const gateway_peers_settings&, const gateway_peers_settings&) = default;
};

/**
 * A gateway's messages with the agents beside engines and with the other gateways: demand and
 * engine state, use of client accounts, crash marks, newer catalogues, registrations. Not thread
 * safe.
 */
class gateway_peers final : public edge::caller_handler {
public:
    gateway_peers(boost::asio::io_context& loop, const clock& clock, edge::upstream_pool& pool,
                  serving::dispatcher& dispatcher, fleet_state& fleet, gateway_peers_host& host,
                  const serving::network_address& own, std::uint64_t life,
                  const peering::peer_attributes& identity, const std::vector<std::string>& seeds,
                  gateway_peers_settings settings);

    void start();

    /** What this gateway wants of an engine has changed. */
    void demand_changed();

    /** A request was admitted: tells peers soon if it weighs much on its account. */
    void usage_changed();

    /** Datagrams that were no message of ours. */
    std::uint64_t unreadable_datagrams() const noexcept { return exchange_.unreadable_datagrams(); }

    /** A request for the newest catalogue or the registered servers, from a peer. */
    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override { static_cast<void>(status); }

private:
    struct sent_demand {
        adapters::engine_demand demand;
        time_point at;
    };

    void on_message(const peering::peer_message& message);
    void log_travel(bool is_direct, const std::vector<std::string>& relays);
    void take(const std::string& sender, std::uint64_t life, const peering::gateway_report& report);
    void take(const peering::engine_report& report);
    void send_demands();
    /** Engines that may have to hear of this gateway's demand now. */
    std::set<std::string>
    engines_to_tell(const std::map<std::string, std::vector<serving::open_demand>>& open,
                    bool is_heartbeat) const;
    adapters::engine_demand demand_of(const serving::backend_view& view,
                                      const serving::engine_capacity& shape,
                                      const std::vector<serving::open_demand>& works);
    void send_demand(const serving::backend_view& view, adapters::engine_demand demand);
    void send_reports(bool is_urgent);
    void schedule_demands(duration after);
    void schedule_reports();
    /** Fetches it after `delay` if it is still newer than what is known then. */
    void fetch_catalogue(const std::string& from, std::uint64_t version, duration delay);

    boost::asio::io_context& loop_;
    const clock& clock_;
    edge::buffered_calls calls_;
    serving::dispatcher& dispatcher_;
    fleet_state& fleet_;
    gateway_peers_host& host_;
    gateway_peers_settings settings_;
    serving::network_address own_;
    peer_transport exchange_;
    peering::round_robin_selector named_;
    peering::usage_change_filter recent_;
    edge::caller_server server_;
    registration_poller follower_;
    boost::asio::steady_timer demand_timer_;
    boost::asio::steady_timer report_timer_;
    bool is_demand_soon_ = false;
    std::map<std::string, sent_demand> sent_;
    time_point all_demands_at_;
    bool is_fetching_ = false;
    time_point started_;
    time_point report_at_;
    time_point full_report_at_;
    serving::account_usage reported_usage_;
    std::uint64_t reported_catalogue_ = 0;
};

} // namespace camphorgrade::entry
