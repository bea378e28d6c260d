#pragma once

#include <kernel/clock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** A request, and when a caller connects and sends it. A value type. */
struct planned_request {
    std::string id;
    std::string target;
    duration work{}; /**< Time that the backend server works on it. */
    time_point connect_at;
    time_point send_at;
    /** When the second half of the body is sent; empty: with the rest of the request. */
    std::optional<time_point> complete_at;
    /** Whether the caller sends further requests, each after the response to the one before. */
    bool repeats = false;

    friend bool operator==(const planned_request&, const planned_request&) = default;
};

/** What the caller of a request saw. */
struct planned_result {
    planned_request request;
    std::optional<time_point> sent; /**< When the last byte was passed to the system. */
    std::optional<time_point>
        ended; /**< When the response was complete, or the connection ended. */
    bool has_complete_response = false;
    int status = 0; /**< Of the response, if its head arrived. */
    std::string body;
    std::string error; /**< Why there is no complete response. */
};

/**
 * Sends a planned request on a connection of its own, and further ones if it repeats, until no
 * connection is accepted. Not thread safe.
 */
class planned_caller {
public:
    planned_caller(boost::asio::io_context& loop, const clock& clock,
                   boost::asio::ip::tcp::endpoint gateway, planned_request request);

    void start();
    const std::vector<planned_result>& results() const noexcept { return results_; }
    /** Whether each request has ended and no other follows. */
    bool is_done() const noexcept { return is_done_; }

private:
    void connect();
    void send();
    void send_part(std::size_t from, std::size_t to);
    void read();
    void end(const std::string& error);
    void repeat(bool keeps_connection);
    template <typename Handler>
    void wait_until(time_point at, Handler handler);
    planned_result& current() { return results_.back(); }

    boost::asio::io_context& loop_;
    const clock& clock_;
    boost::asio::ip::tcp::endpoint gateway_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::string bytes_;
    planned_request first_;
    std::vector<planned_result> results_;
    bool is_done_ = false;
};

} // namespace camphorgrade::soak
