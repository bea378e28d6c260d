#pragma once

#include <kernel/clock.h>
#include <peering/peer_messages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::peering {

/** Transport information on a received message. Valid during the call of the message handler. */
struct receive_info {
    /** Received from the sender itself; false: forwarded by a relay. */
    bool is_direct = true;
    /** Forwarded by a relay of another data centre, to be forwarded within this one. */
    bool is_for_data_centre = false;
    /** Incarnation as sent; peer_message::incarnation holds the local count. */
    std::uint64_t sender_incarnation = 0;
    std::string_view datagram; /**< The message as encoded by its original sender. */
};

/**
 * Sends and receives peer messages as UDP datagrams. A lost message is not sent again, since the
 * next report of the same kind replaces it. While a sender's newer incarnation is active, messages
 * of an older one are dropped. The message handler receives a local count of each sender's
 * incarnations instead of the value on the wire: the count never decreases, whereas the wire value
 * comes from the sender's wall clock, which may step back. For a bundle, the handler is called with
 * the bundle itself and then with each report in it that is newer than the last accepted report of
 * the same sender and kind.
 *
 * Not thread safe: belongs to the thread of its event loop.
 */
class peer_socket {
public:
    using message_handler = std::function<void(const peer_message&, const receive_info&)>;

    /** Throws boost::system::system_error if the socket cannot be bound to `own`. */
    peer_socket(boost::asio::io_context& loop, const clock& clock,
                const boost::asio::ip::udp::endpoint& own, std::uint64_t incarnation,
                peer_attributes attributes, message_handler on_message);

    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    /** The bound address, "ip:port". */
    const std::string& own_address() const noexcept { return own_address_; }

    /**
     * Sends one message to each address "ip:port". Malformed addresses are skipped, and send errors
     * such as a full buffer are ignored.
     */
    void send(const std::vector<std::string>& to, peer_body body, relay_options options = {});

    /**
     * Encodes `body` as the next message of this socket without sending it. The result can be sent
     * with send_prepared() and, if this gateway is a relay itself, be added to its bundles.
     */
    relayed_report prepare(peer_body body, relay_options options);

    /** Sends a report that prepare() returned. */
    void send_prepared(const std::vector<std::string>& to, const relayed_report& report);

    /** Number of received datagrams or bundled reports that were malformed or inconsistent. */
    std::uint64_t malformed_datagrams() const noexcept { return malformed_datagrams_; }

private:
    static constexpr std::size_t max_datagram_bytes = 65'536;

    struct sender_state {
        std::uint64_t wire_incarnation = 0;
        std::uint64_t incarnation = 0; /**< Local count of the sender's incarnations. */
        /** Highest accepted sequence number of each kind. */
        std::array<std::uint64_t, message_kind_count> sequences{};
        time_point last_received;
    };

    void receive();
    void on_datagram(std::string_view datagram);
    void unpack_bundle(const report_bundle& bundle);
    bool accept(peer_message& message);
    bool is_outdated(const sender_state& sender, std::uint64_t incarnation, std::uint64_t sequence,
                     message_kind kind) const;

    boost::asio::ip::udp::socket socket_;
    std::string own_address_;
    std::uint64_t incarnation_;
    peer_attributes attributes_;
    std::uint64_t sequence_ = 0;
    message_handler on_message_;
    const clock& clock_;
    std::map<std::string, sender_state> senders_;
    std::uint64_t malformed_datagrams_ = 0;
    boost::asio::ip::udp::endpoint sender_endpoint_;
    std::array<char, max_datagram_bytes> buffer_{};
};

} // namespace camphorgrade::peering
