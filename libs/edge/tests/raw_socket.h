#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorgrade::testing {

/** A blocking TCP connection over the loopback interface. */
class raw_socket {
public:
    explicit raw_socket(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

    static raw_socket connect_to(boost::asio::io_context& loop, std::uint16_t port) {
        boost::asio::ip::tcp::socket socket(loop);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        return raw_socket(std::move(socket));
    }

    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }

    /**
     * Sends `bytes` repeatedly until the peer closes the connection or `max_bytes` were sent;
     * returns the number of bytes sent.
     */
    std::size_t send_endlessly(const std::string& bytes, std::size_t max_bytes) {
        std::size_t sent = 0;
        boost::system::error_code error;
        while (!error && sent < max_bytes) {
            sent += boost::asio::write(socket_, boost::asio::buffer(bytes), error);
        }
        return sent;
    }

    /** Reads until `delimiter` was received or the peer closes the connection. */
    std::string read_until(const std::string& delimiter) {
        std::string received;
        std::array<char, 1024> buffer{};
        while (received.find(delimiter) == std::string::npos) {
            boost::system::error_code error;
            const auto byte_count = socket_.read_some(boost::asio::buffer(buffer), error);
            if (error) {
                was_reset_ = error == boost::asio::error::connection_reset;
                break;
            }
            received.append(buffer.data(), byte_count);
        }
        return received;
    }

    /** Reads until the peer closes the connection. */
    std::string read_all() { return read_until(std::string(1, '\0') + "never"); }

    /** Whether a read ended because the peer reset the connection. */
    bool was_reset() const noexcept { return was_reset_; }

    void close() { socket_.close(); }

    /** Ends the sending direction in an orderly way and goes on receiving. */
    void shut_down_sending() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

    /** Closes the connection with a TCP reset. */
    void reset() {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }

private:
    boost::asio::ip::tcp::socket socket_;
    bool was_reset_ = false;
};

} // namespace camphorgrade::testing
