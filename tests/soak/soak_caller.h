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

/** An account's API key, as callers send it. */
struct caller_key {
    std::string account;
    std::string key;
    bool is_valid = true;    /**< Whether the newest configuration contains the key. */
    time_point changed_at{}; /**< Time at which `is_valid` last changed. */
};

/** What all callers share. */
struct caller_context {
    std::vector<boost::asio::ip::tcp::endpoint> gateways;
    /** Time since the last fault of a gateway or of its links to callers and to the store. */
    std::function<duration(std::size_t gateway)> fault_free_time;
    /** Number of registered servers of a software version whose links have no fault. */
    std::function<std::size_t(const std::string& version)> servers_of_version;
    std::vector<caller_key> keys;
    double crashing_share = 0;    /**< Share of the streams whose prompt crashes servers. */
    double long_body_share = 0;   /**< Share of the requests with a body that have a long one. */
    int adapters = 8;             /**< Number of adapters that callers select from. */
    bool resumes_streams = false; /**< Callers take broken streams up again. */
    bool is_stopping = false;     /**< Callers send no further requests. */
};

/** Requests that were open at and after their route's timeout, on a path without faults. */
struct timeout_counts {
    std::size_t open_at_timeout = 0;
    std::size_t open_after_slack = 0; /**< Half a second after the timeout. */
};

/**
 * A client that sends one request after another on a persistent connection and checks each
 * response. Not thread safe.
 */
class soak_caller {
public:
    soak_caller(boost::asio::io_context& loop, const clock& clock, std::uint64_t seed,
                std::string name, const caller_context& context, ledger& request_ledger,
                timeout_counts& timeouts);

    /** Sends requests until `is_stopping` of the context is set. */
    void start();

private:
    using error_code = boost::system::error_code;
    using string_response_parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    struct result {
        request_outcome outcome = request_outcome::closed;
        int status = 0;
        bool keeps_open = false;
    };

    /** A stream that broke and that the caller takes up again. */
    struct resumable_stream {
        std::string first_request; /**< Id of the request that brought its first event. */
        stream_progress progress;
        time_point give_up_at;
        int remaining_tries = 0;
        bool is_judged = false; /**< Counts in lost_figures::taken_up. */
        bool has_gone_on = false;
    };

    /** Sends the request that takes up `broken_`. */
    void resume_stream();
    /** Takes note of the stream if it is to be taken up again; returns the time until then. */
    std::optional<duration> prepare_resumption(const result& end);
    void record_resumption(const result& end);
    /** Counts the stream of `request_` for the rule about lost streams. */
    void judge_begin(const result& end);
    void judge_resumption(const result& end, bool has_new_event);
    /** Whether the entry and its links have had no fault since `request_` was sent, and the entry
        was started long enough before to listen. */
    bool is_path_sound() const;
    void connect();
    void send_request();
    /** Sends `message_` and reads its response. */
    void send_message();
    void on_sent(const error_code& error);
    void on_head(const error_code& error);
    void on_response(const error_code& error);

    /** Handles the end of the connection and the timeout of the caller. */
    void on_connection_end(const error_code& error, request_outcome outcome, int status);

    void on_request_end(const result& end);
    result check_response();
    void check_identity();
    void check_body(bool is_complete);
    /** Checks the events of a stream; returns what is wrong with them. */
    std::optional<std::string> check_stream(const std::string& body, bool is_complete);
    void schedule(duration delay, void (soak_caller::*next)());
    sent_request next_request(const caller_key& key);
    prompt next_prompt();
    void record_outcome(const result& end);
    key_state key_state_at(const caller_key& key, time_point now) const;
    bool is_fault_free_since(time_point start) const;

    const clock& clock_;
    random_source random_;
    std::string name_;
    const caller_context& context_;
    ledger& ledger_;
    timeout_counts& timeouts_;
    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> message_;
    std::optional<string_response_parser> parser_;
    sent_request request_;
    std::string adapter_;
    std::size_t key_number_ = 0;
    stream_progress progress_; /**< Of the stream of `request_`. */
    std::optional<resumable_stream>
        broken_;                 /**< The stream that `request_` or the next takes up. */
    bool is_resumption_ = false; /**< Of `request_`. */
    bool was_in_touch_ = false;  /**< The gateway, when `request_` was sent. */
    int remaining_requests_ = 0;
    std::size_t gateway_ = 0;
    std::uint64_t sent_count_ = 0;
};

/** Path prefix of the route for a kind of request. */
std::string route_path(request_class kind);
inline constexpr const char* soak_host = "soak.example";
inline constexpr duration route_timeout{4'000};

} // namespace camphorgrade::soak
