#pragma once

#include "ledger.h"

#include <kernel/random.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** An account's key, as callers send it. */
struct caller_key {
    std::string account;
    std::string key;
    bool is_valid = true; /**< Operators hold it to be in force, in the newest text. */
    time_point changed{}; /**< When that was written. */
};

/** What a caller needs of the world around it. */
struct caller_world {
    std::vector<boost::asio::ip::tcp::endpoint> gateways;
    /** How long the path to a gateway and the gateway itself have worked without a fault. */
    std::function<duration(std::size_t gateway)> calm_for;
    std::vector<caller_key> keys;
    int adapters = 8;
    bool is_over = false;
};

/** Requests that were open at their route's timeout, on a calm path. */
struct timeout_count {
    std::size_t open = 0;
    std::size_t open_half_a_second_later = 0;
};

/**
 * One caller: keeps a connection open, sends one request after the other and checks each answer.
 * Not thread safe.
 */
class soak_caller {
public:
    soak_caller(boost::asio::io_context& loop, const clock& clock, std::uint64_t seed,
                std::string name, const caller_world& world, ledger& record, timeout_count& late);

    /** Sends requests until the world is over. */
    void start();

private:
    using error_code = boost::system::error_code;
    using answer_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    struct result {
        caller_end how = caller_end::closed;
        int status = 0;
        bool keeps_open = false;
    };

    void connect();
    void ask();
    void on_sent(const error_code& error);
    void on_head(const error_code& error);
    void on_answer(const error_code& error);
    /** The connection ended, or the caller's patience did. */
    void on_cut(const error_code& error, caller_end how, int status);
    void on_end(const result& end);
    result judge_answer();
    void after(duration length, void (soak_caller::*then)());
    sent_request next_request(const caller_key& key);
    const caller_key& pick_key();
    void note(const result& end);
    key_state state_of(const caller_key& key, time_point now) const;
    bool is_calm_since(time_point begin) const;

    const clock& clock_;
    random_source random_;
    std::string name_;
    const caller_world& world_;
    ledger& record_;
    timeout_count& late_;
    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> message_;
    std::optional<answer_parser> answer_;
    sent_request request_;
    int left_on_connection_ = 0;
    std::size_t gateway_ = 0;
    std::uint64_t sent_ = 0;
};

/** Prefix of each route's paths. */
std::string path_of(request_class what);
inline constexpr const char* soak_host = "soak.example";
inline constexpr duration route_timeout{4'000};

} // namespace camphorgrade::soak
