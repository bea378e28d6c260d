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

/** How a message came. Valid while its receiver runs. */
struct receive_info {
    bool is_direct = true;           /**< From its sender; else handed on by a relay. */
    bool is_for_data_centre = false; /**< A relay of another data centre handed it on, so that it is
                                          handed on within this one. */
    std::uint64_t sender_incarnation =
        0;                     /**< As the sender names it, not as this socket counts it. */
    std::string_view datagram; /**< As its sender sent it. */
};

/**
 * Sends and takes peer messages as datagrams. What is lost isn't sent again: the next report of
 * the same kind replaces it. Messages of an earlier life of a sender are dropped while a later one
 * is heard. Receivers see lives as a count of their own, which only grows, because the clock by
 * which senders name their lives may step back. Bundles are opened: the receiver gets the bundle,
 * then each report in it that is news.
 * Not thread safe: belongs to the thread of its event loop.
 */
class peer_socket {
public:
    using message_handler = std::function<void(const peer_message&, const receive_info&)>;

    /** Throws boost::system::system_error when the address can't be had. */
    peer_socket(boost::asio::io_context& loop, const clock& clock,
                const boost::asio::ip::udp::endpoint& own, std::uint64_t life,
                peer_attributes identity, message_handler on_message);

    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    /** Own address, "ip:port". */
    const std::string& own_address() const noexcept { return own_; }

    /** Sends to each "ip:port"; an address that is none, or a full buffer, drops the message. */
    void send(const std::vector<std::string>& to, peer_body body, relay_options options = {});

    /** The next message of this socket as one that a relay can hand on; not sent. */
    relayed_report prepare(peer_body body, relay_options options);

    /** Sends what was sealed. */
    void send_prepared(const std::vector<std::string>& to, const relayed_report& report);

    /** Datagrams that were no message of ours. */
    std::uint64_t malformed_datagrams() const noexcept { return unreadable_; }

private:
    static constexpr std::size_t max_datagram_bytes = 65'536;

    struct known_sender {
        std::uint64_t named_life = 0;
        std::uint64_t life = 0;
        std::array<std::uint64_t, message_kind_count> sequences{}; /**< Newest of each kind. */
        time_point heard;
    };

    void receive();
    void take(std::string_view datagram);
    void open(const report_bundle& bundle);
    bool accept(peer_message& message);
    bool is_outdated(const known_sender& known, std::uint64_t life, std::uint64_t sequence,
                     message_kind kind) const;

    boost::asio::ip::udp::socket socket_;
    std::string own_;
    std::uint64_t life_;
    peer_attributes identity_;
    std::uint64_t sequence_ = 0;
    message_handler on_message_;
    const clock& clock_;
    std::map<std::string, known_sender> senders_;
    std::uint64_t unreadable_ = 0;
    boost::asio::ip::udp::endpoint from_;
    std::array<char, max_datagram_bytes> buffer_{};
};

} // namespace camphorgrade::peering
