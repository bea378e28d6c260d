#pragma once

#include "response_plan.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::soak {

/** How a backend server closes a connection. */
enum class connection_end : std::uint8_t { fin, reset };

/**
 * Writes the responses of one connection as their plans say: whole or in fragments with pauses, and
 * cut after a number of bytes. Keeps itself alive while bytes wait. Not thread safe.
 */
class soak_stream_writer : public std::enable_shared_from_this<soak_stream_writer> {
public:
    soak_stream_writer(boost::asio::ip::tcp::socket socket, random_source& random);

    /** Applies `plan` to what is written from now on. */
    void begin(const response_plan& plan);

    /** Queues `bytes` and returns how many of them are written before the plan cuts the response.
     */
    std::size_t write(std::string_view bytes);

    /** Queues `bytes` that belong to no response and aren't cut. */
    void write_unplanned(std::string_view bytes);

    /** Closes the connection when all bytes are written. */
    void end(connection_end how);

    /** Discards what waits and resets the connection. */
    void reset();

    /** Whether the response was cut, or the connection is being closed. */
    bool has_ended() const noexcept { return end_.has_value(); }
    boost::asio::ip::tcp::socket& socket() noexcept { return socket_; }

private:
    void write_next();
    void close_socket();

    boost::asio::ip::tcp::socket socket_;
    random_source& random_;
    boost::asio::steady_timer timer_;
    std::string waiting_;
    std::string being_written_;
    bool is_fragmented_ = false;
    std::optional<std::size_t> bytes_until_cut_;
    connection_end cut_end_ = connection_end::fin;
    std::optional<connection_end> end_;
};

} // namespace camphorgrade::soak
