#pragma once

#include <kernel/clock.h>
#include <peering/peer_messages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::peering {

/**
 * Sends and takes peer messages as datagrams. What is lost isn't sent again: the next report of
 * the same kind replaces it. Messages of an earlier life of a sender are dropped while a later one
 * is heard. Receivers see lives as a count of their own, which only grows, because the clock by
 * which senders name their lives may step back.
 * Not thread safe: belongs to the thread of its event loop.
 */
class peer_socket {
public:
    using receiver = std::function<void(const peer_message&)>;

    /** Throws boost::system::system_error when the address can't be had. */
    peer_socket(boost::asio::io_context& loop, const clock& clock,
                const boost::asio::ip::udp::endpoint& own, std::uint64_t life, receiver on_message);

    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    /** Own address, "ip:port". */
    const std::string& own_address() const noexcept { return own_; }

    /** Sends to each "ip:port"; an address that is none, or a full buffer, drops the message. */
    void send(const std::vector<std::string>& to, peer_body body);

private:
    static constexpr std::size_t max_datagram_bytes = 65'536;

    void receive();
    void take(std::size_t bytes);
    bool accept(peer_message& message);

    boost::asio::ip::udp::socket socket_;
    std::string own_;
    std::uint64_t life_;
    std::uint64_t sequence_ = 0;
    receiver on_message_;
    struct known_sender {
        std::uint64_t named_life = 0;
        std::uint64_t life = 0;
        std::uint64_t sequence = 0;
        time_point heard;
    };

    const clock& clock_;
    std::map<std::string, known_sender> senders_;
    boost::asio::ip::udp::endpoint from_;
    std::array<char, max_datagram_bytes> buffer_{};
};

} // namespace camphorgrade::peering
