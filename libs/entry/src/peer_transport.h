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
    duration forward_interval{100};    /**< Between two hand-ons by a relay, ... */
    duration urgent_forward_delay{20}; /**< ... and until one of an urgent report. */
    duration advertised_expiry{
        10'000}; /**< A gateway that is only known by name is told for so long. */
    std::size_t max_bundle_bytes = std::size_t{8} * 1024;
    peering::relay_directory_settings relays;

    friend bool operator==(const peer_transport_settings&,
                           const peer_transport_settings&) = default;
};

/**
 * A gateway's messages to the other gateways: directly in a small fleet, else through relays of
 * each data centre, of which this gateway may be one. Not thread safe.
 */
class peer_transport {
public:
    using message_handler = std::function<void(const peering::peer_message&)>;
    /** Hears how this gateway's reports travel from now on: directly, or to these relays. */
    using routing_change_handler =
        std::function<void(bool is_direct, const std::vector<std::string>& relays)>;

    /** Throws boost::system::system_error when the address can't be had. */
    peer_transport(boost::asio::io_context& loop, const clock& clock,
                   const boost::asio::ip::udp::endpoint& own, std::uint64_t life,
                   peering::peer_attributes identity, const std::vector<std::string>& seeds,
                   message_handler take, routing_change_handler on_travel,
                   peer_transport_settings settings);

    void start();

    /** Tells all gateways. */
    void publish(peering::gateway_report report, bool is_urgent);

    /** Tells the agent beside an engine. */
    void send(const std::string& agent, adapters::engine_demand demand);

    /** Gateways that others name. */
    void add_advertised_gateways(const std::vector<std::string>& addresses);

    /** Addresses of all gateways that are known, without this one. */
    std::vector<std::string> peers() const;

    /** Whether reports go to all peers without relays. */
    bool sends_directly() const noexcept { return is_direct_; }

    /** Peers that watch the store for this gateway; empty when it has to watch itself. */
    std::vector<std::string> watching_peers() const;

    /** What this gateway has to hear of engines in a data centre. */
    adapters::report_subscription report_subscription_for(const std::string& data_centre);

    const std::string& own_address() const noexcept { return socket_.own_address(); }
    std::uint64_t unreadable_datagrams() const noexcept { return socket_.malformed_datagrams(); }

private:
    void on_message(const peering::peer_message& message, const peering::receive_info& how);
    /** Names other gateways to one that tells directly. */
    void introduce(const std::string& newcomer);
    void gather(const peering::peer_message& message, const peering::receive_info& how);
    /** Decides anew who relays; what was decided holds until the next time. */
    void review_relays();
    void hand_on_within(duration time);
    void hand_on();

    const clock& clock_;
    peer_transport_settings settings_;
    std::string data_centre_;
    message_handler take_;
    routing_change_handler on_travel_;
    peering::peer_socket socket_;
    peering::relay_directory directory_;
    peering::report_bundler bundler_;
    boost::asio::steady_timer timer_;
    time_point hand_on_at_;
    bool is_urgent_ = false; /**< One of the gathered reports is. */
    bool is_direct_ = true;
    std::vector<std::string> local_relays_; /**< Empty while reports go directly. */
    std::map<std::string, adapters::report_subscription> wishes_; /**< By data centre. */
    std::map<std::string, time_point> named_;
    std::vector<std::string> seeds_;
};

} // namespace camphorgrade::entry
