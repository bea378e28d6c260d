#pragma once

#include <peering/peer_socket.h>
#include <peering/relay_directory.h>
#include <peering/report_bundler.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** Times and sizes of a peer_transport. */
struct peer_transport_settings {
    duration forward_interval{100};    /**< Maximum time between two forwardings of a relay. */
    duration urgent_forward_delay{20}; /**< Longest time until a relay forwards an urgent report. */
    /** How long reports go to a gateway that peers or agents advertise but that sends nothing. */
    duration advertised_expiry{10'000};
    std::size_t max_bundle_bytes = std::size_t{8} * 1024;
    peering::relay_directory_settings relays;

    friend bool operator==(const peer_transport_settings&,
                           const peer_transport_settings&) = default;
};

/**
 * Sends and receives the datagrams of a gateway. Reports to the other gateways go directly to each
 * in a small fleet, otherwise through relays of each data centre; this gateway may be a relay
 * itself. Not thread safe.
 */
class peer_transport {
public:
    using message_handler = std::function<void(const peering::peer_message&)>;
    /**
     * Called when the routing of this gateway's reports changes: the reports now go directly to all
     * peers, or to `relays`.
     */
    using routing_change_handler =
        std::function<void(bool is_direct, const std::vector<std::string>& relays)>;

    /** Throws boost::system::system_error when the address can't be bound. */
    peer_transport(boost::asio::io_context& loop, const clock& clock,
                   const boost::asio::ip::udp::endpoint& own_endpoint, std::uint64_t incarnation,
                   peering::peer_attributes attributes, const std::vector<std::string>& seeds,
                   message_handler handler, routing_change_handler on_routing_change,
                   peer_transport_settings settings);

    /** Starts to select relays and to forward reports at regular intervals. */
    void start();

    /** Sends a report to all gateways. */
    void publish(peering::gateway_report report, bool is_urgent);

    /** Sends a demand to the agent of an engine; `agent` is its address, "ip:port". */
    void send(const std::string& agent, adapters::engine_demand demand);

    /** Sends permits or requests for permits to a gateway. */
    void send(serving::permit_message message);

    /** Sends origins of streams, or a query for them, to a gateway. */
    void send(serving::origin_message message);

    /** Sends software versions, or a query for them, to a gateway or an agent. */
    void send(serving::addressed_software_message message);

    /** Live gateways that grant permits, including this one. */
    std::vector<std::string> live_granters() const {
        return directory_.live_granters(clock_.now());
    }

    /** Adds gateways, "ip:port", that peers or agents advertise. */
    void add_advertised_gateways(const std::vector<std::string>& addresses);

    /** Addresses of all known gateways except this one. */
    std::vector<std::string> peers() const;

    /** Whether reports go to all peers without relays. */
    bool sends_directly() const noexcept { return is_direct_; }

    /** Peers that watch the store for this gateway; empty when this gateway must watch it. */
    std::vector<std::string> watching_peers() const;

    /** Which reports this gateway needs from the engines of a data centre. */
    adapters::report_subscription report_subscription_for(const std::string& data_centre);

    const std::string& own_address() const noexcept { return socket_.own_address(); }
    std::uint64_t unreadable_datagrams() const noexcept { return socket_.malformed_datagrams(); }

private:
    void on_message(const peering::peer_message& message, const peering::receive_info& info);
    /** Sends addresses of other gateways to one that reports directly. */
    void send_bootstrap_peers(const std::string& gateway);
    void queue_for_forwarding(const peering::peer_message& message,
                              const peering::receive_info& info);
    /**
     * Decides whether reports go directly to all peers, and otherwise selects `local_relays_`. Both
     * stay in effect until the next call.
     */
    void update_relays();
    void schedule_forwarding(duration delay);
    void forward_reports();

    const clock& clock_;
    peer_transport_settings settings_;
    std::string data_centre_;
    message_handler message_handler_;
    routing_change_handler routing_change_handler_;
    peering::peer_socket socket_;
    peering::relay_directory directory_;
    peering::report_bundler bundler_;
    boost::asio::steady_timer timer_;
    time_point next_forwarding_;
    bool has_urgent_report_ = false; /**< Whether an urgent report waits to be forwarded. */
    bool is_direct_ = true;
    std::vector<std::string> local_relays_; /**< Empty while reports go directly to all peers. */
    std::map<std::string, adapters::report_subscription> subscriptions_; /**< By data centre. */
    std::map<std::string, time_point> advertised_gateways_;
    std::vector<std::string> seeds_;
};

} // namespace camphorgrade::entry
