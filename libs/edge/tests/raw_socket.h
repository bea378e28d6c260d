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

/** A blocking connection over loopback, for tests only. */
class raw_socket {
public:
    explicit raw_socket(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

    static raw_socket to(boost::asio::io_context& loop, std::uint16_t port) {
        boost::asio::ip::tcp::socket socket(loop);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        return raw_socket(std::move(socket));
    }

    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }

    /** Sends `bytes` over and over until the peer closes, at most `most` bytes; returns how many.
     */
    std::size_t send_endlessly(const std::string& bytes, std::size_t most) {
        std::size_t sent = 0;
        boost::system::error_code error;
        while (!error && sent < most) {
            sent += boost::asio::write(socket_, boost::asio::buffer(bytes), error);
        }
        return sent;
    }

    /** Reads until `mark` was seen or the peer closes. */
    std::string read_until(const std::string& mark) {
        std::string got;
        std::array<char, 1024> part{};
        while (got.find(mark) == std::string::npos) {
            boost::system::error_code error;
            const auto bytes = socket_.read_some(boost::asio::buffer(part), error);
            if (error) {
                was_reset_ = error == boost::asio::error::connection_reset;
                break;
            }
            got.append(part.data(), bytes);
        }
        return got;
    }

    /** Reads until the peer closes. */
    std::string read_all() { return read_until(std::string(1, '\0') + "never"); }

    bool was_reset() const noexcept { return was_reset_; }

    void close() { socket_.close(); }

    /** Closes so that the peer sees a reset. */
    void reset() {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }

private:
    boost::asio::ip::tcp::socket socket_;
    bool was_reset_ = false;
};

} // namespace camphorgrade::testing
