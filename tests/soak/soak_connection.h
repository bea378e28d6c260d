#pragma once

#include "soak_server.h"
#include "soak_stream_writer.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::soak {

/** One connection of a soak_server. Keeps itself alive while it is open. Not thread safe. */
class soak_connection : public std::enable_shared_from_this<soak_connection> {
public:
    soak_connection(boost::asio::ip::tcp::socket socket, random_source& random,
                    soak_server_handler& handler, response_ledger& responses);

    /** Reads until the connection ends. */
    void read();

    void reset();

private:
    class exchange;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    struct response {
        http_head head;
        std::string seal;
        std::string body;
        bool is_chunked = false;
    };

    void on_read(const boost::system::error_code& error, std::size_t read);
    void parse();
    bool check_head();
    void on_head();
    void on_request_end();
    edge::caller_request parsed_request() const;
    void start_exchange(edge::caller_request request, bool has_body);

    void begin(const http_head& head, std::optional<std::uint64_t> length);
    void write(std::string_view bytes);
    void write_body(std::string_view bytes);
    void finish();
    void abort();
    void end_response();
    void record_end(response_end end);
    void disconnect();

    void write_pending_repetition();
    void plan_repetition();
    std::string repeated_text(const repetition& plan) const;
    void repeat_while_idle();

    std::shared_ptr<soak_stream_writer> writer_;
    random_source& random_;
    soak_server_handler& handler_;
    response_ledger& responses_;
    std::array<char, 16'384> bytes_{};
    std::string input_;
    std::optional<request_parser> parser_;
    bool is_head_checked_ = false;
    bool is_early_ = false; // responds before the body of the request is read
    bool keeps_open_ = true;
    bool is_response_open_ = false;
    bool stops_reading_ = false; // never reads the rest of the body
    std::function<void()> disconnected_;
    response_plan plan_;
    response response_;
    std::size_t exchange_number_ = 0;
    std::optional<repetition> pending_repetition_;
    std::string repeated_within_; // written within the body of the response
    boost::asio::steady_timer repetition_timer_;
};

} // namespace camphorgrade::soak
