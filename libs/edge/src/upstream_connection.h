#pragma once

#include "following_response_detector.h"
#include "unframed_servers.h"

#include <edge/upstream_pool.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::edge {

/** The state that the connections of one pool share, including the idle connections. */
class upstream_pool::state {
public:
    state(boost::asio::io_context& event_loop, const clock& clock_in_use, upstream_settings limits)
        : loop(event_loop), time_source(clock_in_use), settings(limits),
          unframed(limits.own_connection_period, limits.max_unframed_servers) {}

    boost::asio::io_context& loop;
    const clock& time_source;
    upstream_settings settings;
    /** Removes an idle connection that can carry `request`; null if there is none. */
    std::shared_ptr<connection> take_idle(const upstream_address& to,
                                          const upstream_request& request);

    std::map<upstream_address, std::vector<std::shared_ptr<connection>>> idle;
    std::size_t idle_connections = 0; /**< To all addresses. */
    unframed_servers unframed;
    bool is_closing = false;
};

/** One connection to a server; carries one call at a time. */
class upstream_pool::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<state> shared, upstream_address to);

    /**
     * Starts a call, connecting first if needed; returns the number of the call on this connection.
     * Precondition: no call is open.
     */
    std::uint64_t start(const upstream_request& request, upstream_sink& sink);

    /** Ends a call without notifying its sink. Has no effect on a call that has ended. */
    void cancel(std::uint64_t number);

    /** Fails a call that is still open after `timeout`. Has no effect on a call that has ended. */
    void set_timeout(std::uint64_t number, duration timeout);

    /**
     * Whether an idle connection may carry another call: its idle timeout has not passed, the
     * server has not closed it, and no bytes wait to be read.
     */
    bool is_usable(time_point now);

    /**
     * Whether a response to `request` could be told from repeated responses to the earlier requests
     * of this connection: the request needs no correlation, or has an id that is new here.
     */
    bool can_attribute(const upstream_request& request) const;

    void close();

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    static constexpr std::size_t body_buffer_bytes = 8'192;
    /** Ids of requests that a connection remembers; bounds its memory. */
    static constexpr std::size_t max_carried_ids = 256;

    /** How far the present call's request has been written. */
    enum class write_state : std::uint8_t { pending, complete, failed };

    /** Remembers the id of the present call, so that no later call with it is sent here. */
    void record_carried_id();
    void connect();
    void on_connected(const boost::system::error_code& error);
    void send_request();
    void read_head();
    void on_head(const boost::system::error_code& error);
    /** Skips an interim response or a response to another request, within the limits. */
    void skip_response();
    void begin_body();
    void read_body();
    void on_body(const boost::system::error_code& error);
    /** Passes a part of the response's body to the sink. */
    void deliver(std::string_view bytes);
    /** Fails the call and returns false unless the end of the body shows that it is complete. */
    bool confirm_end();
    void complete();
    void fail(upstream_failure failure);
    /** Whether the response that is being read has the correlation id of the call, or none. */
    bool belongs_to_call() const;
    /**
     * Whether the response that is being read may belong to this call or to an earlier one of the
     * connection: it has no correlation id although the call has one.
     */
    bool is_unattributable() const;
    /** How long the connection may be reused after this response; zero or less for never. */
    duration reuse_time() const;
    /** Makes the connection available for other calls for `idle_for`, or closes it. */
    void return_to_pool(duration idle_for);
    /** Removes an idle connection from the pool when the server closes it or sends bytes. */
    void watch_idle();
    /** Removes an idle connection from the pool and closes it. */
    void leave_pool();

    std::shared_ptr<state> shared_;
    upstream_address address_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer input_;
    std::optional<parser> parser_;
    std::array<char, body_buffer_bytes> body_{};
    std::string output_;
    std::string correlation_header_;
    std::string correlation_id_;
    upstream_sink* sink_ = nullptr; /**< Null while no call is open. */
    std::uint64_t call_number_ = 0;
    std::deque<std::size_t> carried_ids_; /**< Hashes of the ids of the latest requests. */
    bool is_connected_ = false;
    write_state request_write_ = write_state::pending;
    bool is_end_deferred_ = false; /**< The end of the body waited for the write's completion. */
    bool is_head_request_ = false;
    following_response_detector detector_; /**< For a body that ends with the connection. */
    bool is_unrelated_response_ = false;   /**< The response being read is to another request. */
    std::uint32_t skipped_responses_ = 0;  /**< Responses skipped in this call. */
    std::size_t skipped_bytes_ = 0;        /**< Body bytes skipped in this call. */
    bool is_closed_ = false;
    time_point usable_until_; /**< End of the reuse time of an idle connection. */
};

} // namespace camphorgrade::edge
